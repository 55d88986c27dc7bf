//! Accepted completions that wait for an endpoint.

use std::time::Duration;

use ::job::call::Body;
use stakker::CX;
use stakker::after;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::attempts::TRIES;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Stage;

/// Longest wait of an accepted completion for an endpoint.
const CAPACITY_WAIT: Duration = Duration::from_secs(30);
/// Time between two rounds of starts.
const ROUND: Duration = Duration::from_millis(100);
/// Most starts in a round, so that an endpoint that comes is not stampeded.
const STARTS_PER_ROUND: usize = 4;

impl Dispatch {
    /// Lets a job wait for an endpoint, unless it has to be given up.
    pub(super) fn wait(&mut self, cx: CX![], id: JobId) -> Waiting {
        let now = cx.now();
        let Some(job) = self.jobs.get_mut(&id) else { return Waiting::GiveUp };
        let is_spent = job.failures >= TRIES;
        if is_spent || !job.accepted || !matches!(job.call.body, Body::Chat(_)) {
            return Waiting::GiveUp;
        }
        let since = *job.waiting_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= CAPACITY_WAIT {
            return Waiting::GiveUp;
        }
        // An endpoint that failed may be the only one that comes back.
        job.avoid.clear();
        job.stage = Stage::Waiting;
        self.round_soon(cx);
        Waiting::Waits
    }

    fn round_soon(&mut self, cx: CX![]) {
        if !self.rounds_due {
            self.rounds_due = true;
            after!(ROUND, [cx], start_round());
        }
    }

    fn start_round(&mut self, cx: CX![]) {
        self.rounds_due = false;
        let waits = |job: &Job| matches!(job.stage, Stage::Waiting) && job.planned.is_none();
        let waiting = self.jobs.iter().filter(|(_, job)| waits(job));
        let mut ordered: Vec<_> =
            waiting.map(|(id, job)| (job.service.priority, job.waiting_since, *id)).collect();
        ordered.sort();
        let more = ordered.len() > STARTS_PER_ROUND;
        for (_, _, id) in ordered.into_iter().take(STARTS_PER_ROUND) {
            self.attempt(cx, id);
        }
        if more {
            self.round_soon(cx);
        }
    }
}

/// Whether a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiting {
    /// It does.
    Waits,
    /// It has waited long enough, or was not accepted.
    GiveUp,
}
