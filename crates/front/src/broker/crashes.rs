//! Recognition of requests and prompt parts that crash endpoints, from how attempts end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::interruption;
use balance::interruption::Attempt;
use balance::interruption::End;
use balance::services::Response;
use balance::subject::Subject;
use balance::suspect;
use balance::suspect::CRASH_POINTS;
use balance::suspect::Evidence;
use balance::suspect::Limit;
use balance::suspect::Verdict;
use relay::admission::Outcome;

use super::Broker;
use super::pending::Pending;
use super::refusal::Cause;
use crate::metrics;

/// Limit of crashes of a request, of which two may be due to other requests.
pub(super) const REQUEST_LIMIT: Limit = Limit {
    points: 3 * CRASH_POINTS,
    rejection_time: Duration::from_secs(120),
    growth: 2,
    min_interval: Duration::ZERO,
};
/// Time from the first byte of a response from which on its request is less likely the cause
/// of a crash.
const MIN_PROGRESS: Duration = Duration::from_millis(250);
/// Minimum and maximum retry delay for callers of rejected requests.
const MIN_DELAY: Duration = Duration::from_secs(2);
const MAX_DELAY: Duration = Duration::from_secs(30);
/// Maximum time from an interrupted attempt until the end of the endpoint becomes known.
const CRASH_DETECTION_TIME: Duration = Duration::from_secs(10);
/// Maximum number of interrupted attempts that wait for signs of a crash.
const MAX_INTERRUPTIONS: usize = 4_096;

/// An attempt that ended without a complete response.
#[derive(Debug)]
pub struct Interruption {
    request: String,
    outcome: Outcome,
    /// Subjects to which the interruption is attributed.
    accused: Vec<Subject>,
    /// Whether the response had made progress.
    has_progressed: bool,
    endpoint: String,
    address: SocketAddr,
    instance: Instance,
    at: Instant,
}

impl Broker {
    /// Returns why a request with these subjects must not reach an endpoint, if some of them
    /// crashed endpoints before, and after which time the caller may retry.
    pub(super) fn cause_to_reject(
        &self,
        id: &str,
        subjects: &[Subject],
        now: Instant,
    ) -> Option<(Cause, Duration)> {
        let rejected = subjects.iter().find(|it| !self.may_send(**it, subjects, now))?;
        let delay = match self.suspects.verdict(*rejected, subjects, now) {
            Verdict::Rejected { until } => until.saturating_duration_since(now),
            Verdict::Admitted | Verdict::Expired { .. } => Duration::ZERO,
        };
        let (cause, payload) = match rejected {
            Subject::Request(_) => (Cause::Suspect, "request crashes endpoints"),
            Subject::Part(_) => (Cause::SuspectPart, "prompt part crashes endpoints"),
        };
        spdlog::info!("{payload}", kv: {
            request = id,
            subject = rejected.to_string(),
            crashes = self.suspects.count(*rejected),
        });
        Some((cause, delay.clamp(MIN_DELAY, MAX_DELAY)))
    }

    /// Whether an admitted request must not be sent any more.
    pub(super) fn is_rejected(&self, pending: &Pending, now: Instant) -> bool {
        !pending.is_trial && self.suspects.is_rejected(&pending.subjects, now)
    }

    /// Returns why a request that waits for its next attempt must not reach an endpoint.
    pub(super) fn cause_to_end(
        &self,
        pending: &Pending,
        outcome: Outcome,
        now: Instant,
    ) -> Option<(Cause, Duration)> {
        let may_have_crashed = matches!(outcome, Outcome::Broken | Outcome::TimedOut);
        if pending.is_trial && !may_have_crashed {
            return None;
        }
        let id = pending.attributes.id.as_str();
        if self.suspects.is_rejected(&pending.subjects, now) {
            return self.cause_to_reject(id, &pending.subjects, now);
        }
        if !may_have_crashed || has_progressed(pending, now) {
            return None;
        }
        let mut parts = pending.subjects.iter().filter(|it| matches!(it, Subject::Part(_)));
        let doubtful = parts.find(|it| self.suspects.is_doubtful(**it))?;
        spdlog::info!("prompt part may crash endpoints", kv: {
            request = id,
            subject = doubtful.to_string(),
            crashes = self.suspects.count(*doubtful),
        });
        Some((Cause::SuspectPart, MIN_DELAY))
    }

    /// Whether a request with these subjects may be sent, as far as one of them is concerned.
    /// Once a rejection has ended, one daemon after the other may try the subject again.
    fn may_send(&self, subject: Subject, subjects: &[Subject], now: Instant) -> bool {
        match self.suspects.verdict(subject, subjects, now) {
            Verdict::Admitted => true,
            Verdict::Rejected { .. } => false,
            Verdict::Expired { since } => {
                let preceding = self.peers.preceding(subject, &self.context.instance_id, now);
                now >= since + suspect::trial_delay(preceding)
            }
        }
    }

    /// Records that a request is sent. Returns whether it tries a subject again that was
    /// rejected.
    pub(super) fn record_trial(&mut self, id: &str, subjects: &[Subject], now: Instant) -> bool {
        let mut is_trial = false;
        for subject in subjects {
            if !self.suspects.record_trial(*subject, subjects, now) {
                continue;
            }
            is_trial = true;
            self.spread.push(&self.suspects, *subject, true);
            metrics::count("crash", "tried_again");
            spdlog::info!("rejected subject tried again",
                kv: { request = id, subject = subject.to_string() });
        }
        is_trial
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
        let (instance, subjects) = (pending.instance, pending.subjects.clone());
        let has_started = pending.has_started;
        match outcome {
            Outcome::Served | Outcome::ServedToClose | Outcome::Failed | Outcome::Declined => {
                let (endpoint, sent_at) = (pending.endpoint.clone(), pending.sent_at);
                match outcome {
                    Outcome::Served if has_started => self.record_service(&subjects, now),
                    Outcome::ServedToClose if has_started => {
                        self.unconfirmed.push(instance, Response { at: now, subjects });
                    }
                    _ => {}
                }
                self.record_response(&endpoint, instance, sent_at, now);
            }
            Outcome::Broken | Outcome::TimedOut | Outcome::Abandoned => {
                self.record_interruption(ticket, outcome, now);
            }
            Outcome::Unreachable
            | Outcome::Misdirected
            | Outcome::OtherProcess
            | Outcome::Unverified => {}
        }
    }

    /// Records to which requests endpoints have been responding for some time.
    pub(super) fn record_progress(&mut self, now: Instant) {
        let mut progressed = Vec::new();
        for pending in self.requests.values_mut() {
            if !pending.is_progress_known && has_progressed(pending, now) {
                pending.is_progress_known = true;
                progressed.extend_from_slice(&pending.subjects);
            }
        }
        for subject in progressed {
            if self.suspects.record_progress(subject) {
                self.spread.push(&self.suspects, subject, true);
            }
        }
    }

    /// Records that an endpoint has completed a response to a request with these subjects.
    fn record_service(&mut self, subjects: &[Subject], at: Instant) {
        for subject in subjects {
            if !self.suspects.record_service(*subject, at) {
                continue;
            }
            self.spread.push(&self.suspects, *subject, true);
            metrics::count("crash", "cleared");
            spdlog::info!("suspected subject served", kv: { subject = subject.to_string() });
        }
    }

    fn record_interruption(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        if self.doubts_own_links() {
            metrics::count("crash", "own_links");
            spdlog::info!("interruption not counted", kv: {
                request = pending.attributes.id.as_str(),
                after = outcome.name(),
                endpoint = pending.endpoint.as_str(),
                reason = "own_links",
            });
            return;
        }
        let end = if outcome == Outcome::Broken { End::Broken } else { End::GivenUp };
        let attempt = Attempt { instance: pending.instance, end, sent_at: pending.sent_at };
        let member = self.pool.member(&pending.endpoint);
        if let Some(reason) = interruption::reason_not_to_count(&attempt, member, now) {
            metrics::count("crash", "not_counted");
            spdlog::info!("interruption not counted", kv: {
                request = pending.attributes.id.as_str(),
                after = outcome.name(),
                endpoint = pending.endpoint.as_str(),
                reason = reason.name(),
            });
            return;
        }
        let interruption = Interruption {
            request: pending.attributes.id.clone(),
            outcome,
            accused: self.suspects.accused(&pending.subjects),
            has_progressed: has_progressed(pending, now),
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
        let mut is_new = false;
        for subject in &interruption.accused {
            let evidence = match subject {
                Subject::Part(_) if interruption.has_progressed => Evidence::Progressed,
                Subject::Part(_) | Subject::Request(_) => evidence,
            };
            if self.suspects.record(*subject, interruption.instance, evidence, now) {
                self.spread.push(&self.suspects, *subject, true);
                is_new = true;
            }
        }
        if !is_new {
            return;
        }
        let (cause, payload) = match evidence {
            Evidence::Replaced => ("recorded", "endpoint crashed under request"),
            _ => ("suspected", "attempt interrupted"),
        };
        metrics::count("crash", cause);
        let accused: Vec<String> = interruption
            .accused
            .iter()
            .map(|it| format!("{it} {}", self.suspects.count(*it)))
            .collect();
        spdlog::info!("{payload}", kv: {
            request = interruption.request.as_str(),
            after = interruption.outcome.name(),
            endpoint = interruption.endpoint.as_str(),
            has_progressed = interruption.has_progressed,
            crashes = accused.join(", "),
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
        for response in self.unconfirmed.confirm(instance, sent_at) {
            self.record_service(&response.subjects, response.at);
        }
        for subject in self.suspects.record_response(instance, sent_at) {
            self.spread.push(&self.suspects, subject, true);
            metrics::count("crash", "refuted");
            spdlog::info!("endpoint responded after interruption",
                kv: { endpoint = endpoint, subject = subject.to_string() });
        }
    }
}

/// Whether an attempt had made progress for some time, so that its request is less likely the
/// cause of its end.
fn has_progressed(pending: &Pending, now: Instant) -> bool {
    pending.began_at.is_some_and(|it| now >= it + MIN_PROGRESS)
}
