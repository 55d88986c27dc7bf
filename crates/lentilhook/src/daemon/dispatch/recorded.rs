//! Calls that are recorded in the ledger: its verdicts, verdicts that arrive after the
//! timeout, and calls whose owner was lost.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use ::job::call::Body;
use ::job::call::Call;
use ::job::problem::Outcome;
use ::job::reply::Reply;
use config::object::Service;
use ledger::message::Ticket;
use ledger::message::Verdict;
use ledger::record::Claim;
use ledger::record::Identity;
use ledger::record::Step;
use stakker::CX;
use stakker::after;
use stakker::call;
use stakker::sync::Channel;
use xxhash_rust::xxh3::Xxh3;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Sink;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::problems;
use crate::daemon::lifecycle::request::Event;

/// How long a call that was rejected on timeout is retained, so that a grant that
/// arrives late is released.
const TIMED_OUT_RETENTION: Duration = Duration::from_secs(10);
/// How long a call whose owner was lost is retried. Covers the duration of the lease
/// and the time to detect the loss.
const OWNER_RETRY_TIMEOUT: Duration = Duration::from_secs(12);
/// Delay between two retries.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Counts of calls that may not be repeated, by outcome.
#[derive(Clone, Copy, Default)]
pub struct Counters {
    /// Reported as not run, because the ledger could not record the call.
    pub not_recorded: u64,
    /// Reported as unknown, because the ledger does not know the outcome.
    pub unknown_recorded: u64,
    /// Reported as unknown, because the owner was lost and no other one replied in
    /// time.
    pub unknown_owner: u64,
    /// Grants released because the call had been rejected before.
    pub released_grants: u64,
}

/// Keeps the names that are part of the log format.
impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Words")
            .field("not_recorded", &self.not_recorded)
            .field("unknown_recorded", &self.unknown_recorded)
            .field("unknown_owner", &self.unknown_owner)
            .field("given_back", &self.released_grants)
            .finish()
    }
}

/// A call whose owner was lost after the call was sent. It is retried under the same
/// key. Until an owner replies, the call may have been executed, so that "not run"
/// would be wrong.
#[derive(Clone)]
pub struct Retry {
    /// The call.
    pub call: Call,
    /// Configuration of the service.
    pub service: Service,
    /// Reply channel to the caller.
    pub sink: Sink,
    /// Time at which its outcome is reported as unknown.
    pub deadline: Instant,
    /// Channel to the actor, for another retry.
    pub retries: Channel<Retry>,
}

impl Retry {
    /// Sends a part of the reply, or retries the call if the reply is "not run".
    pub fn send(&self, transport: &peer::transport::Transport, reply: Reply) {
        match reply {
            Reply::Problem(problem) if problem.outcome == Outcome::NotRun => {
                self.retries.send(self.clone());
            }
            reply => self.sink.send(transport, reply),
        }
    }
}

impl Dispatch {
    /// Handles the ledger's verdict on a call.
    pub fn verdict_received(&mut self, cx: CX![], ticket: Ticket, verdict: Verdict) {
        let id = JobId(ticket.0);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !matches!(job.stage, Stage::Pending) {
            self.release_grant(id, &verdict);
            return;
        }
        match verdict {
            Verdict::Granted { fence } => {
                job.fence = Some(fence);
                self.advance(id, Event::Recorded);
                self.attempt(cx, id);
            }
            Verdict::Done(answer) => {
                let reply = match answer.into_response() {
                    Some(response) => Reply::Response(response),
                    None => Reply::Problem(problems::answer_not_kept()),
                };
                self.end(cx, id, reply);
            }
            Verdict::KeyReused => self.end_and_remove(id, Reply::Problem(problems::key_reused())),
            Verdict::Unknown => {
                self.counters.unknown_recorded += 1;
                let problem = problems::unknown("an earlier holder of its record was lost");
                self.end(cx, id, Reply::Problem(problem));
            }
            Verdict::Running => self.not_recorded(id, 1),
            Verdict::Redirect(holder) => self.redirect(cx, id, &holder),
            Verdict::Unavailable { retry_after_s } => self.not_recorded(id, retry_after_s),
        }
    }

    fn not_recorded(&mut self, id: JobId, retry_after_s: u32) {
        self.counters.not_recorded += 1;
        self.end_and_remove(id, Reply::Problem(problems::not_recorded(retry_after_s)));
    }

    /// Releases a grant for a call that was rejected in the meantime. Otherwise the
    /// ledger would list the call as running.
    fn release_grant(&mut self, id: JobId, verdict: &Verdict) {
        let Some(job) = self.jobs.get(&id) else { return };
        if let Verdict::Granted { .. } = verdict
            && job.fence.is_none()
            && let Some(identity) = ledger_identity(&job.call)
        {
            self.counters.released_grants += 1;
            spdlog::info!("grant given back", kv: { job = id.0, words: ? = self.counters });
            call!([self.shards], end(identity, Step::NotRun));
            self.remove_job(id);
        }
    }

    /// Rejects a call if the ledger has not replied in time.
    pub(super) fn record_timed_out(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !matches!(job.stage, Stage::Pending) {
            return;
        }
        if let Some(identity) = ledger_identity(&job.call) {
            call!([self.shards], withdraw(Ticket(id.0), identity));
        }
        self.counters.not_recorded += 1;
        // The job is retained for a while, so that a late grant is released.
        let reply = Reply::Problem(problems::not_recorded(2));
        job.stage = Stage::Ended(reply.clone());
        for waiter in job.waiters.drain(..) {
            waiter.sink.send(&self.transport, reply.clone());
        }
        self.advance_to_final(id, &reply);
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(identity) = job.call.identity() {
            self.by_identity.remove(&identity);
        }
        after!(TIMED_OUT_RETENTION, [cx], remove_ended(id));
    }

    /// Retries a call whose owner was lost after the call was sent. The key stays the
    /// same, so that the ledger prevents a second execution.
    pub(super) fn owner_lost(&mut self, cx: CX![], call: Call, service: Service, sink: Sink) {
        let retry = match sink {
            Sink::Retry(retry) => *retry,
            sink => {
                let deadline = cx.now() + OWNER_RETRY_TIMEOUT;
                Retry { call, service, sink, deadline, retries: self.retries.clone() }
            }
        };
        self.retry_call(cx, retry);
    }

    /// Schedules a retry, or reports the outcome as unknown after the deadline.
    pub(super) fn retry_call(&mut self, cx: CX![], retry: Retry) {
        if cx.now() >= retry.deadline {
            self.counters.unknown_owner += 1;
            spdlog::warn!("owner lost", kv: { words: ? = self.counters });
            retry.sink.send(&self.transport, Reply::Problem(problems::owner_lost()));
            return;
        }
        self.pending_retries += 1;
        after!(OWNER_RETRY_DELAY, [cx], dispatch_retry(retry));
    }

    fn dispatch_retry(&mut self, cx: CX![], retry: Retry) {
        self.pending_retries -= 1;
        let (call, service) = (retry.call.clone(), retry.service.clone());
        self.dispatch_call(cx, call, service, Sink::Retry(Box::new(retry)), 0);
    }
}

/// Returns the claim to record in the ledger before a call that must not be executed
/// twice is sent. `None` for other calls.
pub(super) fn claim(call: &Call) -> Option<Claim> {
    let identity = ledger_identity(call)?;
    let Body::Plain(plain) = &call.body else { return None };
    let mut hash = Xxh3::new();
    for part in [plain.method.as_bytes(), plain.target.as_bytes(), &plain.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Some(Claim { identity, fingerprint: hash.digest() })
}

/// Returns the ledger identity of a call that must not be executed twice and has a key.
/// `None` for other calls.
pub(super) fn ledger_identity(call: &Call) -> Option<Identity> {
    let identity = call.identity()?;
    call.is_non_idempotent().then(|| Identity::from_name(&identity))
}
