//! Recognition of requests that crash endpoints, from how their attempts end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::interruption;
use balance::interruption::Attempt;
use balance::interruption::End;
use balance::suspects::CRASH_POINTS;
use balance::suspects::Evidence;
use balance::suspects::Limit;
use relay::admission::Outcome;

use super::Broker;
use crate::metrics;

/// Limit of three crashes. Two may be due to other requests.
pub(super) const LIMIT: Limit =
    Limit { points: 3 * CRASH_POINTS, rejection_time: Duration::from_secs(120) };
/// Maximum time from an interrupted attempt until the end of the endpoint becomes known.
const CRASH_DETECTION_TIME: Duration = Duration::from_secs(10);
/// Maximum number of interrupted attempts that wait for signs of a crash.
const MAX_INTERRUPTIONS: usize = 4_096;

/// An attempt that ended without a complete response.
#[derive(Debug)]
pub struct Interruption {
    request: String,
    outcome: Outcome,
    fingerprint: u128,
    endpoint: String,
    address: SocketAddr,
    instance: Instance,
    at: Instant,
}

impl Broker {
    /// Whether the request must not reach a further endpoint, since it crashed some before.
    pub(super) fn is_suspect(&self, id: &str, fingerprint: u128, now: Instant) -> bool {
        if !self.suspects.is_rejected(fingerprint, now) {
            return false;
        }
        spdlog::info!("request crashes endpoints", kv: {
            request = id,
            fingerprint = hex(fingerprint),
            crashes = self.suspects.count(fingerprint),
        });
        true
    }

    /// Records crashes of instances that an endpoint has replaced: former instances of
    /// its own, and other endpoints at its address.
    pub(super) fn handle_joined(&mut self, id: &str, now: Instant) {
        let Some(member) = self.pool.member(id) else { return };
        let (instance, address) = (member.instance, member.endpoint.address);
        self.interruptions.retain(|it| now < it.at + CRASH_DETECTION_TIME);
        let (replaced, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.interruptions).into_iter().partition(|it| {
                it.instance != instance && (it.endpoint == id || it.address == address)
            });
        self.interruptions = others;
        for it in &replaced {
            self.record(it, Evidence::Replaced, now);
        }
    }

    /// Forgets interruptions at an endpoint that has announced its end.
    pub(super) fn handle_left(&mut self, id: &str) {
        if self.pool.member(id).is_some_and(|it| it.leaving) {
            self.interruptions.retain(|it| it.endpoint != id);
        }
    }

    /// Records what the end of an attempt says about its request and its endpoint.
    pub(super) fn record_evidence(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let (fingerprint, instance) = (pending.fingerprint, pending.instance);
        let id = pending.attributes.id.as_str();
        match outcome {
            Outcome::Served | Outcome::ServedToClose | Outcome::Failed | Outcome::Declined => {
                let is_cleared =
                    outcome == Outcome::Served && self.suspects.record_service(fingerprint);
                if is_cleared {
                    self.spread.push(&self.suspects, fingerprint, true);
                    metrics::count("crash", "cleared");
                    spdlog::info!("suspected request served",
                        kv: { request = id, fingerprint = hex(fingerprint) });
                }
                let (endpoint, sent_at) = (pending.endpoint.clone(), pending.sent_at);
                self.record_response(&endpoint, instance, sent_at, now);
            }
            Outcome::Broken | Outcome::TimedOut | Outcome::Abandoned => {
                self.record_interruption(ticket, outcome, now);
            }
            Outcome::Unreachable | Outcome::Misdirected => {}
        }
    }

    fn record_interruption(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let end = if outcome == Outcome::Broken { End::Broken } else { End::GivenUp };
        let attempt = Attempt { instance: pending.instance, end, sent_at: pending.sent_at };
        let member = self.pool.member(&pending.endpoint);
        if let Some(reason) = interruption::reason_not_to_count(&attempt, member, now) {
            metrics::count("crash", "not_counted");
            spdlog::info!("interruption not counted", kv: {
                request = pending.attributes.id.as_str(),
                after = outcome.name(),
                endpoint = pending.endpoint.as_str(),
                fingerprint = hex(pending.fingerprint),
                reason = reason.name(),
            });
            return;
        }
        let interruption = Interruption {
            request: pending.attributes.id.clone(),
            outcome,
            fingerprint: pending.fingerprint,
            endpoint: pending.endpoint.clone(),
            address: pending.address,
            instance: pending.instance,
            at: now,
        };
        self.record(&interruption, Evidence::Interrupted, now);
        if self.interruptions.len() >= MAX_INTERRUPTIONS {
            self.interruptions.pop_front();
        }
        self.interruptions.push_back(interruption);
    }

    fn record(&mut self, interruption: &Interruption, evidence: Evidence, now: Instant) {
        let Interruption { fingerprint, instance, .. } = *interruption;
        if !self.suspects.record(fingerprint, instance, evidence, now) {
            return;
        }
        self.spread.push(&self.suspects, fingerprint, true);
        let (cause, payload) = match evidence {
            Evidence::Replaced => ("recorded", "endpoint crashed under request"),
            _ => ("suspected", "attempt interrupted"),
        };
        metrics::count("crash", cause);
        spdlog::info!("{payload}", kv: {
            request = interruption.request.as_str(),
            after = interruption.outcome.name(),
            endpoint = interruption.endpoint.as_str(),
            fingerprint = hex(fingerprint),
            crashes = self.suspects.count(fingerprint),
        });
    }

    /// Records that an endpoint responded to a request sent at `sent_at`.
    pub(super) fn record_response(
        &mut self,
        endpoint: &str,
        instance: Instance,
        sent_at: Instant,
        now: Instant,
    ) {
        if let Some(member) = self.pool.member_mut(endpoint)
            && member.instance == instance
        {
            member.responded_at = Some(now);
        }
        for fingerprint in self.suspects.record_response(instance, sent_at) {
            self.spread.push(&self.suspects, fingerprint, true);
            metrics::count("crash", "refuted");
            spdlog::info!("endpoint responded after interruption",
                kv: { endpoint = endpoint, fingerprint = hex(fingerprint) });
        }
    }
}

/// Formats a fingerprint for logs.
pub(super) fn hex(fingerprint: u128) -> String {
    format!("{fingerprint:032x}")
}
