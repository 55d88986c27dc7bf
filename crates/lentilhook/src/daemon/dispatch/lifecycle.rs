//! State transitions of requests according to the request chart.

use ::job::problem::Outcome;
use ::job::reply::Reply;
use statechart::Label;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::lifecycle::request::Event;

impl Dispatch {
    /// Applies an event to a request. Returns `false` if the chart has no transition
    /// for it.
    pub(super) fn advance(&mut self, id: JobId, event: Event) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        match self.chart.next(job.state, event) {
            Ok(state) => {
                job.state = state;
                true
            }
            Err(error) => {
                spdlog::error!("unexpected event", kv: {
                    job = id.0,
                    state = job.state.name(),
                    event = event.name(),
                    error = error.to_string(),
                });
                false
            }
        }
    }

    /// Applies the event that corresponds to the final reply.
    pub(super) fn advance_to_final(&mut self, id: JobId, reply: &Reply) {
        let event = match reply {
            Reply::Finished(_) | Reply::Response(_) => Event::Completed,
            Reply::Problem(problem) => match problem.outcome {
                Outcome::NotRun => Event::Refused,
                Outcome::Failed => Event::Failed,
                Outcome::Unknown => Event::Uncertain,
            },
            _ => return,
        };
        self.advance(id, event);
    }
}
