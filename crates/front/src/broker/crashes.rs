//! Recognition of requests that crash endpoints, from how their attempts end.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::suspects;
use balance::suspects::CRASH_POINTS;
use balance::suspects::Evidence;
use balance::suspects::Limit;
use relay::admission::Outcome;
use route::config::Workspace;

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
        let (instance, address) = (member.endpoint.instance(), member.endpoint.address);
        let is_replaced = |it: &Interruption| {
            it.instance != instance && (it.endpoint == id || it.address == address)
        };
        self.record_crashes(is_replaced, Evidence::Replaced, now);
    }

    /// Handles the end of an endpoint's use. Without an announcement, the endpoint may have
    /// crashed under the requests that it left unanswered.
    pub(super) fn handle_left(&mut self, id: &str, now: Instant) {
        if self.pool.member(id).is_some_and(|it| it.leaving) {
            self.interruptions.retain(|it| it.endpoint != id);
        } else {
            self.record_crashes(|it| it.endpoint == id, Evidence::Interrupted, now);
        }
    }

    fn record_crashes(
        &mut self,
        is_crash: impl Fn(&Interruption) -> bool,
        evidence: Evidence,
        now: Instant,
    ) {
        self.interruptions.retain(|it| now < it.at + CRASH_DETECTION_TIME);
        for it in self.interruptions.iter().filter(|it| is_crash(it)) {
            if !self.suspects.record(it.fingerprint, it.instance, evidence, now) {
                continue;
            }
            self.spread.push(&self.suspects, it.fingerprint, true);
            metrics::count("crash", "recorded");
            spdlog::warn!("endpoint crashed under request", kv: {
                request = it.request.as_str(),
                endpoint = it.endpoint.as_str(),
                fingerprint = hex(it.fingerprint),
                evidence:? = evidence,
                crashes = self.suspects.count(it.fingerprint),
            });
        }
        if evidence == Evidence::Replaced {
            self.interruptions.retain(|it| !is_crash(it));
        }
    }

    /// Records what the end of an attempt says about its request and its endpoint.
    pub(super) fn record_evidence(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let (fingerprint, instance) = (pending.fingerprint, pending.instance);
        let id = pending.attributes.id.as_str();
        match outcome {
            Outcome::Served | Outcome::Failed | Outcome::Declined => {
                let is_cleared =
                    outcome == Outcome::Served && self.suspects.record_service(fingerprint);
                if is_cleared {
                    self.spread.push(&self.suspects, fingerprint, true);
                    metrics::count("crash", "cleared");
                    spdlog::info!("suspected request served",
                        kv: { request = id, fingerprint = hex(fingerprint) });
                }
                let (endpoint, sent_at) = (pending.endpoint.clone(), pending.sent_at);
                self.record_response(&endpoint, instance, sent_at);
            }
            Outcome::Broken | Outcome::TimedOut | Outcome::Abandoned => {
                self.record_interruption(ticket, outcome, now);
            }
            Outcome::Unreachable => {
                let endpoint = pending.endpoint.clone();
                self.record_crashes(|it| it.endpoint == endpoint, Evidence::Interrupted, now);
            }
            Outcome::Misdirected => {}
        }
    }

    fn record_interruption(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        // An endpoint that announced its end also breaks off requests that it can't finish.
        let is_leaving = self.pool.member(&pending.endpoint).is_some_and(|it| it.leaving);
        // A caller or a timeout may end an attempt whose endpoint is slow or has crashed.
        let is_unanswered = outcome == Outcome::Broken || !pending.has_started;
        if is_leaving || !is_unanswered {
            return;
        }
        if self.interruptions.len() >= MAX_INTERRUPTIONS {
            self.interruptions.pop_front();
        }
        self.interruptions.push_back(Interruption {
            request: pending.attributes.id.clone(),
            fingerprint: pending.fingerprint,
            endpoint: pending.endpoint.clone(),
            address: pending.address,
            instance: pending.instance,
            at: now,
        });
        if outcome != Outcome::Broken {
            return;
        }
        if self.suspects.record(pending.fingerprint, pending.instance, Evidence::Interrupted, now) {
            self.spread.push(&self.suspects, pending.fingerprint, true);
        }
        metrics::count("crash", "suspected");
        spdlog::info!("attempt broke", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            fingerprint = hex(pending.fingerprint),
            crashes = self.suspects.count(pending.fingerprint),
        });
    }

    /// Records that an endpoint responded to a request sent at `sent_at`.
    pub(super) fn record_response(&mut self, endpoint: &str, instance: Instance, sent_at: Instant) {
        for fingerprint in self.suspects.record_response(instance, sent_at) {
            self.spread.push(&self.suspects, fingerprint, true);
            metrics::count("crash", "refuted");
            spdlog::info!("endpoint responded after broken attempt",
                kv: { endpoint = endpoint, fingerprint = hex(fingerprint) });
        }
    }
}

/// Returns the fingerprint of a request's content and caller. A caller is known by its
/// workspace, as its API key may be replaced.
pub(super) fn fingerprint(content: u128, workspace: Option<&Workspace>) -> u128 {
    let name = workspace.map_or("", |it| it.name.as_str());
    suspects::fingerprint(&[&content.to_be_bytes(), name.as_bytes()])
}

/// Formats a fingerprint for logs.
pub(super) fn hex(fingerprint: u128) -> String {
    format!("{fingerprint:032x}")
}
