//! Calls that the ledger records: its verdicts, calls that were turned away
//! before it spoke, and calls whose owner was lost.

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
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::job::Way;
use crate::daemon::dispatch::problems;
use crate::daemon::lifecycle::request::Event;

/// Time for which a call that was turned away is kept, so that a grant that
/// is on its way is given back.
const KEEP_TURNED_AWAY: Duration = Duration::from_secs(10);
/// Longest time of asking again for a call whose owner was lost: the lease,
/// and the time to find out.
const AGAIN_LIMIT: Duration = Duration::from_secs(12);
/// Pause between two times of asking.
const AGAIN_PAUSE: Duration = Duration::from_millis(500);

/// Final words on calls that may not be repeated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Words {
    /// "Not run", because the ledger could not record the call.
    pub not_recorded: u64,
    /// "Unknown", because the ledger says so.
    pub unknown_recorded: u64,
    /// "Unknown", because the owner was lost and none answered in time.
    pub unknown_owner: u64,
    /// Grants given back because the call was turned away before.
    pub given_back: u64,
}

/// A call that was sent to an owner which was lost. It is asked again under
/// the same key. Until an owner answers, "not run" would be no true word.
#[derive(Clone)]
pub struct Again {
    /// The call.
    pub call: Call,
    /// Its service.
    pub service: Service,
    /// Way to the caller.
    pub way: Way,
    /// When to say that its outcome is unknown.
    pub deadline: Instant,
    /// Where to ask for another try.
    pub retries: Channel<Again>,
}

impl Again {
    /// Sends a piece of the answer, or asks again where it says "not run".
    pub fn send(&self, transport: &peer::transport::Transport, reply: Reply) {
        match reply {
            Reply::Problem(problem) if problem.outcome == Outcome::NotRun => {
                self.retries.send(self.clone());
            }
            reply => self.way.send(transport, reply),
        }
    }
}

impl Dispatch {
    /// The ledger decided on a call.
    pub fn ruled(&mut self, cx: CX![], ticket: Ticket, verdict: Verdict) {
        let id = JobId(ticket.0);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !matches!(job.stage, Stage::Recording) {
            self.give_back(id, &verdict);
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
                    Some(whole) => Reply::Response(whole),
                    None => Reply::Problem(problems::answer_not_kept()),
                };
                self.end(cx, id, reply);
            }
            Verdict::KeyReused => self.end_unkept(id, Reply::Problem(problems::key_reused())),
            Verdict::Unknown => {
                self.words.unknown_recorded += 1;
                let problem = problems::unknown("an earlier holder of its record was lost");
                self.end(cx, id, Reply::Problem(problem));
            }
            Verdict::Running => self.not_recorded(id, 1),
            Verdict::Redirect(holder) => self.send_on(cx, id, &holder),
            Verdict::Unavailable { retry_after_s } => self.not_recorded(id, retry_after_s),
        }
    }

    fn not_recorded(&mut self, id: JobId, retry_after_s: u32) {
        self.words.not_recorded += 1;
        self.end_unkept(id, Reply::Problem(problems::not_recorded(retry_after_s)));
    }

    /// Turned away meanwhile: what was granted must not count as running.
    fn give_back(&mut self, id: JobId, verdict: &Verdict) {
        let Some(job) = self.jobs.get(&id) else { return };
        if let Verdict::Granted { .. } = verdict
            && job.fence.is_none()
            && let Some(identity) = ledger_identity(&job.call)
        {
            self.words.given_back += 1;
            spdlog::info!("grant given back", kv: { job = id.0, words: ? = self.words });
            call!([self.shards], end(identity, Step::NotRun));
            self.forget(id);
        }
    }

    /// The ledger did not speak in time.
    pub(super) fn record_timed_out(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !matches!(job.stage, Stage::Recording) {
            return;
        }
        if let Some(identity) = ledger_identity(&job.call) {
            call!([self.shards], withdraw(Ticket(id.0), identity));
        }
        self.words.not_recorded += 1;
        // The job stays for a while, so that a grant on its way is given back.
        let reply = Reply::Problem(problems::not_recorded(2));
        job.stage = Stage::Ended(reply.clone());
        for waiter in job.waiters.drain(..) {
            waiter.way.send(&self.transport, reply.clone());
        }
        self.advance_to_end(id, &reply);
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(identity) = job.call.identity() {
            self.by_identity.remove(&identity);
        }
        after!(KEEP_TURNED_AWAY, [cx], forget_ended(id));
    }

    /// The owner was lost after a call was sent to it: asks again under the
    /// same key, which the ledger makes safe.
    pub(super) fn owner_lost(&mut self, cx: CX![], call: Call, service: Service, way: Way) {
        let again = match way {
            Way::Again(again) => *again,
            way => {
                let deadline = cx.now() + AGAIN_LIMIT;
                Again { call, service, way, deadline, retries: self.retries.clone() }
            }
        };
        self.ask_again(cx, again);
    }

    /// Tries once more, or says that the outcome is unknown.
    pub(super) fn ask_again(&mut self, cx: CX![], again: Again) {
        if cx.now() >= again.deadline {
            self.words.unknown_owner += 1;
            spdlog::warn!("owner lost", kv: { words: ? = self.words });
            again.way.send(&self.transport, Reply::Problem(problems::owner_lost()));
            return;
        }
        self.asking_again += 1;
        after!(AGAIN_PAUSE, [cx], place_again(again));
    }

    fn place_again(&mut self, cx: CX![], again: Again) {
        self.asking_again -= 1;
        let (call, service) = (again.call.clone(), again.service.clone());
        self.place(cx, call, service, Way::Again(Box::new(again)), 0);
    }
}

/// What the ledger is asked before a call leaves that must not be executed twice.
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

/// Identity in the ledger of a call that must not be executed twice and can
/// be recognized when it is sent again.
pub(super) fn ledger_identity(call: &Call) -> Option<Identity> {
    let identity = call.identity()?;
    call.is_non_idempotent().then(|| Identity::from_name(&identity))
}
