//! Request limits that endpoints name.

use std::time::Duration;
use std::time::Instant;

use balance::member::Member;
use balance::software::Requirement;
use membership::digest::Peer;
use quota::endpoint::Notice;
use quota::endpoint::Statement;
use xxhash_rust::xxh3::xxh3_64;

use super::Broker;
use super::Stage;
use super::brittle;
use super::origins::NO_SOFTWARE_DELAY;
use super::refusal::Cause;
use super::requests::NO_ENDPOINT_DELAY;
use crate::metrics;

/// Maximum number of limits in a digest.
const MAX_LIMITS_PER_DIGEST: usize = 256;
/// Least retry delay for callers when brittle endpoints have no room: requests end about as
/// often as that at an endpoint with all slots in use.
const NO_ROOM_DELAY: Duration = Duration::from_millis(300);

impl Broker {
    /// Handles what the response to a request says about its endpoint.
    pub(super) fn handle_limit_statement(
        &mut self,
        ticket: u64,
        statement: Statement,
        now: Instant,
    ) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        metrics::count("endpoint_limit", statement.name());
        let (endpoint, instance) = (pending.endpoint.clone(), pending.instance);
        let limits = &mut self.endpoint_limits;
        if limits.observe(&endpoint, instance.0, statement, pending.sent_at, now) {
            self.has_urgent_changes = true;
            self.handle_limit_change(&endpoint, "endpoint", now);
        }
    }

    /// Returns the limits for the other daemons.
    pub(super) fn limit_notices(&self) -> Vec<Notice> {
        self.endpoint_limits.notices(MAX_LIMITS_PER_DIGEST)
    }

    /// Merges the limits that another daemon knows.
    pub(super) fn merge_limits(&mut self, notices: &[Notice], now: Instant) {
        for notice in notices {
            let member = self.pool.member(&notice.endpoint);
            let is_current = member.is_some_and(|it| it.instance.0 == notice.instance);
            if is_current && self.endpoint_limits.merge_remote(notice, now) {
                self.handle_limit_change(&notice.endpoint, "peer", now);
            }
        }
    }

    /// Chooses which daemons send to limited endpoints and to those of brittle services.
    pub(super) fn choose_senders(&mut self, now: Instant) {
        let pool = &self.pool;
        self.endpoint_limits.retain(|endpoint, instance| {
            pool.member(endpoint).is_some_and(|it| it.instance.0 == instance)
        });
        // A daemon that has just started doesn't know the others yet.
        let is_sender =
            self.stage == Stage::Running && self.age(now) >= self.peers.liveness_timeout();
        let own = is_sender.then_some(self.context.instance_id.as_str());
        let is_stopping = |it: &Peer| it.digest.as_ref().is_some_and(|it| it.stopping);
        let others = self.peers.expected(now).filter(|(_, it)| !is_stopping(it));
        let others: Vec<&str> = others.map(|(id, _)| id.as_str()).collect();
        self.endpoint_limits.choose_senders(own, &others, rank, now);
        let endpoints = self.pool.members().map(brittle::endpoint);
        self.rooms.choose_senders(own, &others, endpoints, rank, now);
    }

    /// Returns why no endpoint is available for a request, and when to come back.
    pub(super) fn explain_no_endpoint(
        &self,
        service: &str,
        requirement: &Requirement,
        tried: &[String],
        now: Instant,
    ) -> (Cause, Duration) {
        let of_service = self.pool.members().filter(|it| {
            it.endpoint.service == service && it.is_usable(now) && !tried.contains(&it.endpoint.id)
        });
        let usable = of_service.filter(|it| requirement.admits(&it.endpoint.software));
        let (declining, usable): (Vec<&Member>, Vec<&Member>) =
            usable.partition(|it| it.declines_for(now).is_some());
        let limited: Vec<&str> = usable
            .iter()
            .map(|it| it.endpoint.id.as_str())
            .filter(|it| self.endpoint_limits.rate(it).is_some())
            .collect();
        let waits = declining.iter().filter_map(|it| it.declines_for(now));
        if usable.is_empty()
            && let Some(wait) = waits.min()
        {
            return (Cause::EndpointsDecline, wait);
        }
        if let Some(wait) = self.room_wait(service, now) {
            return (Cause::NoRoom, wait.max(NO_ROOM_DELAY));
        }
        if limited.is_empty() && *requirement != Requirement::Any {
            return (Cause::NoSoftware, NO_SOFTWARE_DELAY);
        }
        if limited.is_empty() {
            return (Cause::NoEndpoint, NO_ENDPOINT_DELAY);
        }
        let waits = limited.iter().filter_map(|it| self.endpoint_limits.wait(it, now));
        (Cause::EndpointLimit, waits.min().unwrap_or(NO_ENDPOINT_DELAY))
    }

    fn handle_limit_change(&mut self, endpoint: &str, source: &'static str, now: Instant) {
        self.choose_senders(now);
        spdlog::info!("endpoint limit", kv: {
            endpoint = endpoint,
            per_second = self.endpoint_limits.rate(endpoint).unwrap_or(-1.0),
            source = source,
            sends = self.endpoint_limits.wait(endpoint, now).is_some(),
            heard = self.peers.live(now).count(),
        });
    }
}

/// Orders the daemons that may send to an endpoint.
pub(super) fn rank(instance_id: &str, endpoint: &str) -> u64 {
    xxh3_64(format!("{endpoint} {instance_id}").as_bytes())
}
