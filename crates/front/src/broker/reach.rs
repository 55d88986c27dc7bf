//! Requests that other daemons serve while this one does not reach the endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::seq::SliceRandom;
use relay::admission::Admission;
use relay::admission::Arrival;
use relay::admission::Outcome;

use super::Broker;
use super::Stage;
use super::requests::time_limit;
use crate::metrics;
use crate::reach_probe;

/// Age up to which a response of a service to another daemon counts as recent.
const RECENT: Duration = Duration::from_millis(1_500);
/// Number of daemons that are tried one after the other.
pub(super) const MAX_HOPS: usize = 2;

impl Broker {
    /// Returns where a request is forwarded to, if links to its service are cut, or if its
    /// endpoints are brittle and only other daemons may send to them.
    pub(super) fn forward(&mut self, arrival: &Arrival, now: Instant) -> Option<Admission> {
        let may_be_needed = self.reach.is_cut() || self.rooms.is_any_brittle(now);
        if !may_be_needed || arrival.attributes.is_forwarded || self.stage != Stage::Running {
            return None;
        }
        let attributes = &arrival.attributes;
        let table = Rc::clone(&self.table);
        let key = attributes.key.as_deref();
        let found = table.find(&arrival.host, &arrival.path, key, attributes.stream_id()).ok()?;
        let found = self.at_origin(found, attributes, now);
        let (is_idempotent, draw) = (found.route.is_idempotent(), self.rng.random_range(0..100));
        let is_direct = self.reach.goes_directly(found.service, is_idempotent, draw, now);
        let daemons = if is_direct {
            self.daemons_with_room(found.service, now)
        } else {
            self.daemons_that_reach(found.service, now)
        };
        if daemons.is_empty() {
            return None;
        }
        metrics::count("reach", "forwarded");
        spdlog::info!("forwarded", kv: {
            request = attributes.id.as_str(),
            route = found.route.name.as_str(),
            service = found.service,
            cause = if is_direct { "no_room" } else { "cut" },
            daemon = daemons[0].to_string(),
        });
        Some(Admission::Forward { daemons, timeout: time_limit(&found, attributes), is_idempotent })
    }

    /// Records what the end of an attempt says about this daemon's links.
    pub(super) fn record_reach(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let member = self.pool.member(&pending.endpoint);
        let is_current =
            member.is_some_and(|it| it.instance == pending.instance && it.is_usable(now));
        match outcome {
            Outcome::Broken | Outcome::Unreachable
                if is_current && !self.is_rejected(pending, now) =>
            {
                self.reach.record_failure(&pending.service, &pending.endpoint, now);
            }
            Outcome::Served
            | Outcome::ServedToClose
            | Outcome::Failed
            | Outcome::Declined
            | Outcome::Misdirected => {
                self.reach.record_response(&pending.service, pending.is_fresh, now);
            }
            Outcome::Broken
            | Outcome::Unreachable
            | Outcome::OtherProcess
            | Outcome::Unverified
            | Outcome::TimedOut
            | Outcome::Abandoned => {}
        }
    }

    /// Judges this daemon's links again and probes those that are cut.
    pub(super) fn judge_links(&mut self, now: Instant) {
        if self.reach.has_failures() {
            self.find_cuts(now);
        }
        for service in self.reach.due_probes(now) {
            self.probe(service, now);
        }
    }

    fn find_cuts(&mut self, now: Instant) {
        let mut served: BTreeMap<&str, Instant> = BTreeMap::new();
        for (_, peer) in self.peers.live(now) {
            let (Some(digest), Some(received_at)) = (&peer.digest, peer.received_at) else {
                continue;
            };
            for (service, age_ms) in &digest.responses {
                let at = received_at.checked_sub(Duration::from_millis(*age_ms));
                let latest = served.entry(service).or_insert(self.started_at);
                *latest = at.unwrap_or(*latest).max(*latest);
            }
        }
        for service in self.reach.update(&served, now) {
            metrics::count("reach", "cut");
            spdlog::warn!("links to endpoints lost", kv: {
                service = service.as_str(),
                heard = self.peers.live(now).count(),
            });
        }
    }

    pub(super) fn handle_probe(
        &mut self,
        service: &str,
        endpoint: &str,
        is_success: bool,
        now: Instant,
    ) {
        let before = self.reach.state(service);
        self.reach.record_probe(service, is_success, now);
        let after = self.reach.state(service);
        metrics::count("probe", if is_success { "reached" } else { "unreachable" });
        if before != after {
            spdlog::info!("links to endpoints", kv: {
                service = service,
                before = before.name(),
                after = after.name(),
                probed = endpoint,
            });
        }
    }

    /// Whether the end of an attempt may be due to this daemon's links.
    pub(super) fn doubts_own_links(&self) -> bool {
        self.reach.is_cut()
    }

    /// Returns how long ago services last responded, for the other daemons.
    pub(super) fn recent_responses(&self, now: Instant) -> Vec<(String, u64)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let recent = self.reach.responses().filter(|(_, at)| age(*at) < RECENT);
        recent.map(|(service, at)| (service.to_owned(), age(at).as_millis() as u64)).collect()
    }

    /// Returns callers' addresses of daemons that reach the service as far as known, first
    /// those to which it has responded recently.
    fn daemons_that_reach(&mut self, service: &str, now: Instant) -> Vec<SocketAddr> {
        let port = self.context.settings.callers.port();
        let mut daemons: Vec<(bool, SocketAddr)> = Vec::new();
        for (_, peer) in self.peers.live(now) {
            let Some(digest) = &peer.digest else { continue };
            if digest.stopping || digest.unreached.iter().any(|it| it == service) {
                continue;
            }
            let is_idle = !digest.responses.iter().any(|(name, _)| name == service);
            daemons.push((is_idle, SocketAddr::new(peer.address.ip(), port)));
        }
        daemons.shuffle(&mut self.rng);
        daemons.sort_by_key(|(is_idle, _)| *is_idle);
        daemons.into_iter().take(MAX_HOPS).map(|(_, it)| it).collect()
    }

    fn probe(&mut self, service: String, now: Instant) {
        self.probe_count += 1;
        let usable = self.pool.members().filter(|it| it.is_usable(now));
        let endpoints: Vec<_> = usable.filter(|it| it.endpoint.service == service).collect();
        let Some(chosen) = endpoints.get(self.probe_count % endpoints.len().max(1)) else { return };
        let (endpoint, address) = (chosen.endpoint.id.clone(), chosen.endpoint.address);
        let _ = self.context.probes.send(reach_probe::Job { service, endpoint, address });
    }
}
