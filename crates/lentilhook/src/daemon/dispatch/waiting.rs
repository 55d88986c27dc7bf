//! Accepted completions that wait for an endpoint.

use std::time::Duration;

use ::job::call::Body;
use stakker::CX;
use stakker::after;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::attempts::MAX_FAILURES;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Stage;

/// Maximum wait of an accepted completion for an endpoint.
const CAPACITY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two rounds of starts.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of starts in a round, so that a new endpoint is not overloaded
/// (thundering herd).
const STARTS_PER_ROUND: usize = 4;

impl Dispatch {
    /// Queues a job until an endpoint is available, unless it has to be given up.
    pub(super) fn wait_for_endpoint(&mut self, cx: CX![], id: JobId) -> Waiting {
        let now = cx.now();
        let Some(job) = self.jobs.get_mut(&id) else { return Waiting::GiveUp };
        let is_exhausted = job.failures >= MAX_FAILURES;
        if is_exhausted || !job.accepted || !matches!(job.call.body, Body::Chat(_)) {
            return Waiting::GiveUp;
        }
        let since = *job.waiting_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= CAPACITY_TIMEOUT {
            return Waiting::GiveUp;
        }
        // An endpoint that failed before may be the only one that returns.
        job.avoid.clear();
        job.stage = Stage::Waiting;
        self.schedule_round(cx);
        Waiting::Queued
    }

    fn schedule_round(&mut self, cx: CX![]) {
        if !self.is_round_scheduled {
            self.is_round_scheduled = true;
            after!(ROUND_INTERVAL, [cx], start_round());
        }
    }

    fn start_round(&mut self, cx: CX![]) {
        self.is_round_scheduled = false;
        let is_waiting = |job: &Job| matches!(job.stage, Stage::Waiting) && job.plan.is_none();
        let waiting = self.jobs.iter().filter(|(_, job)| is_waiting(job));
        let mut ordered: Vec<_> =
            waiting.map(|(id, job)| (job.service.priority, job.waiting_since, *id)).collect();
        ordered.sort();
        let has_more = ordered.len() > STARTS_PER_ROUND;
        for (_, _, id) in ordered.into_iter().take(STARTS_PER_ROUND) {
            self.attempt(cx, id);
        }
        if has_more {
            self.schedule_round(cx);
        }
    }
}

/// Whether a job was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiting {
    /// The job waits for an endpoint.
    Queued,
    /// The job has reached the wait or failure limit, was not accepted, or is not a
    /// completion.
    GiveUp,
}
