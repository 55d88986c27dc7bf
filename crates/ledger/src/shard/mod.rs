//! State machine of a shard: its lease, its records and its waiting calls.

mod acquire;
mod commit;
mod compact;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use store::table::Transaction;

use crate::Error;
use crate::index::Index;
use crate::index::Status;
use crate::lifecycle::Chart;
use crate::lifecycle::Event;
use crate::lifecycle::State;
use crate::message::Action;
use crate::message::Input;
use crate::message::Losses;
use crate::message::Ticket;
use crate::message::Timestamp;
use crate::message::Verdict;
use crate::message::unavailable;
use crate::queue::Pending;
use crate::queue::Queue;
use crate::record::COMPACTION_ROWS;
use crate::record::Claim;
use crate::record::Head;
use crate::record::Holder;
use crate::record::Identity;
use crate::record::Record;
use crate::record::ShardId;
use crate::record::Step;
use crate::record::head_key;
use crate::snapshot::Descriptor;

/// Retry hint in seconds while the table is unavailable or the shard overloaded.
const TABLE_RETRY_S: u32 = 2;
/// Retry hint in seconds while the lease changes hands.
const LEASE_MOVE_RETRY_S: u32 = 1;
/// Maximum number of waiting calls and queued records.
const MAX_WAITING: usize = 4096;

/// A shard from the point of view of this daemon.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    this_daemon: Holder,
    last_token: u64,
    chart: Rc<Chart>,
    state: State,
    fault: Option<Error>,
    lease: Lease,
    waiting: Vec<(Ticket, Claim)>,
    queue: Queue,
    index: Index,
    /// Calls granted under the current lease that have not ended.
    running: HashSet<Identity>,
    last_used_at: Option<Instant>,
    releasing: bool,
    compaction_rows: u64,
    losses: Losses,
}

#[derive(Clone, Debug)]
enum Lease {
    /// Not held. Remembers the last observation of another holder, if any.
    Unheld { observed: Option<Observation> },
    /// The head row is being read.
    ReadingHead { observed: Option<Observation> },
    /// The commit that claims the lease is in flight.
    Claiming(Acquisition),
    /// The lease is claimed. The snapshot and the batches are being read.
    Loading(Loading),
    /// Held by this daemon.
    Held(Box<Held>),
}

/// A version of the head row and when it was first observed. If it stays
/// unchanged for [`LEASE_DURATION`](crate::record::LEASE_DURATION), the lease has
/// expired.
#[derive(Clone, Debug)]
struct Observation {
    version: u64,
    since: Instant,
    holder: Holder,
}

/// A claim of the lease that is being committed.
#[derive(Clone, Debug)]
struct Acquisition {
    head: Head,
    transaction: Transaction,
    /// The commit got no reply and was sent again.
    unresolved: bool,
}

/// The stored state that is being read after a claim.
#[derive(Clone, Debug)]
struct Loading {
    head: Head,
    version: u64,
    /// The calls of the snapshot, which is read before the batches.
    index: Index,
    /// Error in the rows or objects read. It only counts if the head row turns
    /// out to be unchanged; otherwise the lease was lost meanwhile.
    load_error: Option<Error>,
}

/// State kept while the lease is held.
#[derive(Clone, Debug)]
struct Held {
    head: Head,
    version: u64,
    /// Start time of the last commit.
    commit_started_at: Option<Instant>,
    /// When the last successful write of the head row was confirmed.
    written_at: Instant,
    /// The commit in flight.
    commit: Option<Group>,
    compaction: Compaction,
    next_tick_at: Option<Instant>,
}

/// A group commit in flight.
#[derive(Clone, Debug)]
struct Group {
    head: Head,
    transaction: Transaction,
    batch: Vec<Pending>,
    /// The commit got no reply and was sent again.
    unresolved: bool,
}

/// Progress of a compaction.
#[derive(Clone, Debug)]
enum Compaction {
    /// No compaction is running. The next one may not start before this time.
    Idle { not_before: Option<Instant> },
    /// The draft's name is being added to the objects to delete in the head row.
    Registering { name: String },
    /// The draft object is being written.
    Writing(Draft),
    /// The draft object is written. The next commit makes it the snapshot.
    Written(Draft),
    /// The commit in flight makes the draft the snapshot.
    Applying,
}

/// An object that is not the shard's snapshot yet.
#[derive(Clone, Debug)]
struct Draft {
    descriptor: Descriptor,
    /// Number of the first batch that is not part of it.
    first_batch: u64,
}

impl Shard {
    /// Creates a shard that this daemon does not hold. `token_seed` must differ
    /// between daemons and incarnations.
    pub fn new(id: ShardId, this_daemon: Holder, token_seed: u64, chart: Rc<Chart>) -> Shard {
        Shard {
            id,
            this_daemon,
            last_token: token_seed,
            state: chart.initial(),
            chart,
            fault: None,
            lease: Lease::Unheld { observed: None },
            waiting: Vec::new(),
            queue: Queue::default(),
            index: Index::default(),
            running: HashSet::new(),
            last_used_at: None,
            releasing: false,
            compaction_rows: COMPACTION_ROWS,
            losses: Losses::default(),
        }
    }

    /// Sets the number of batch rows at which a snapshot replaces them.
    pub fn with_compaction_rows(mut self, rows: u64) -> Shard {
        self.compaction_rows = rows;
        self
    }

    /// Processes an input and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<Action> {
        let mut actions = self.apply(now, input);
        if let Some(fault) = self.fault.take() {
            // Without the lease no call is sent. The next holder marks the
            // running calls as unknown.
            self.lease = Lease::Unheld { observed: None };
            self.state = self.chart.initial();
            self.clear_calls();
            actions.push(Action::Report(fault));
            actions.extend(self.reject_waiting(TABLE_RETRY_S));
        }
        actions
    }

    /// Makes a transition in the state chart. An unexpected event sets `fault`, which
    /// drops the lease.
    fn advance_state(&mut self, event: Event) {
        match self.chart.next(self.state, event) {
            Ok(state) => self.state = state,
            Err(error) => self.fault = Some(Error::Lifecycle { detail: error.to_string() }),
        }
    }

    fn apply(&mut self, now: Timestamp, input: Input) -> Vec<Action> {
        match input {
            Input::Begin(ticket, claim) => self.begin(now, ticket, claim),
            Input::Withdraw(ticket) => self.withdraw(ticket),
            Input::End(identity, step) => self.end(now, identity, step),
            Input::HeadRead(result) => self.head_read(now, result),
            Input::SnapshotRead(result) => self.snapshot_read(result),
            Input::BatchesRead(result) => self.batches_read(now, result),
            Input::Committed(result) => self.committed(now, result),
            Input::SnapshotWritten(name, result) => self.snapshot_written(now, &name, result),
            Input::Tick => self.commit_if_due(now),
            Input::Release => {
                if self.state == State::Unheld && !self.releasing {
                    self.advance_state(Event::Leave);
                }
                self.releasing = true;
                self.commit_if_due(now)
            }
        }
    }

    /// Whether this daemon holds the lease, to its knowledge. Another daemon may
    /// have taken it over since the last commit.
    pub fn is_held(&self) -> bool {
        self.state == State::Held
    }

    /// Returns the numbers of calls that may be reported as unknown although they
    /// were not run.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// Returns the fencing token if the lease is held.
    pub fn fence(&self) -> Option<u64> {
        match &self.lease {
            Lease::Held(held) => Some(held.head.fence),
            _ => None,
        }
    }

    fn begin(&mut self, now: Timestamp, ticket: Ticket, claim: Claim) -> Vec<Action> {
        self.last_used_at = Some(now.instant);
        if self.releasing {
            return vec![unavailable(ticket, LEASE_MOVE_RETRY_S)];
        }
        if self.waiting.len() + self.queue.len() >= MAX_WAITING {
            return vec![unavailable(ticket, TABLE_RETRY_S)];
        }
        match &self.lease {
            Lease::Held(_) => {
                let mut actions = self.decide(now, ticket, claim);
                actions.extend(self.commit_if_due(now));
                actions
            }
            Lease::Unheld { observed } => {
                let observed = observed.clone();
                self.waiting.push((ticket, claim));
                self.advance_state(Event::Asked);
                self.lease = Lease::ReadingHead { observed };
                vec![Action::ReadHead(head_key(self.id))]
            }
            Lease::Claiming(Acquisition { unresolved: true, .. }) => {
                vec![unavailable(ticket, TABLE_RETRY_S)]
            }
            _ => {
                self.waiting.push((ticket, claim));
                Vec::new()
            }
        }
    }

    /// Decides on a call while the lease is held. A new call is answered once its
    /// intent is written.
    fn decide(&mut self, now: Timestamp, ticket: Ticket, claim: Claim) -> Vec<Action> {
        let verdict = match self.index.status(&claim.identity) {
            Some(_) if self.index.has_other_fingerprint(&claim) => Verdict::KeyReused,
            Some(Status::Running) => Verdict::Running,
            Some(Status::Done(answer)) => Verdict::Done(answer.clone()),
            Some(Status::Unknown) => Verdict::Unknown,
            None if self.has_pending_intent(&claim.identity) => Verdict::Running,
            None if self.is_commit_unresolved() => {
                return vec![unavailable(ticket, TABLE_RETRY_S)];
            }
            None => {
                let Claim { identity, fingerprint } = claim;
                let record = Record {
                    identity,
                    step: Step::Intent,
                    wall_s: now.wall_s,
                    request: fingerprint,
                };
                self.queue.push(record, Some(ticket));
                return Vec::new();
            }
        };
        vec![Action::Reply(ticket, verdict)]
    }

    fn has_pending_intent(&self, identity: &Identity) -> bool {
        let batch = self.commit_in_flight().map_or(&[][..], |it| &it.batch);
        self.queue.contains_intent(identity) || batch.iter().any(|it| it.is_intent_of(identity))
    }

    fn is_commit_unresolved(&self) -> bool {
        self.commit_in_flight().is_some_and(|it| it.unresolved)
    }

    /// Returns the group commit in flight, if any.
    fn commit_in_flight(&self) -> Option<&Group> {
        match &self.lease {
            Lease::Held(held) => held.commit.as_ref(),
            _ => None,
        }
    }

    /// Removes a call that the dispatcher rejected. If its intent is already being
    /// written, the call is recorded as not run once the write is confirmed.
    fn withdraw(&mut self, ticket: Ticket) -> Vec<Action> {
        self.waiting.retain(|(it, _)| *it != ticket);
        self.queue.withdraw(ticket);
        if let Lease::Held(held) = &mut self.lease
            && let Some(group) = &mut held.commit
        {
            let withdrawn = group.batch.iter_mut().filter(|it| it.ticket == Some(ticket));
            withdrawn.for_each(|it| it.ticket = None);
        }
        Vec::new()
    }

    fn end(&mut self, now: Timestamp, identity: Identity, step: Step) -> Vec<Action> {
        self.last_used_at = Some(now.instant);
        self.running.remove(&identity);
        if !self.is_held() {
            // The next holder marks the call as unknown.
            self.losses.ends += u64::from(step == Step::NotRun);
            return Vec::new();
        }
        if matches!(self.index.status(&identity), Some(Status::Done(_))) {
            return Vec::new();
        }
        // Applied to the index immediately, so that a resubmission finds the
        // outcome before it is written.
        self.record_step(now, identity, step);
        self.commit_if_due(now)
    }

    fn record_step(&mut self, now: Timestamp, identity: Identity, step: Step) {
        let record = Record { identity, step, wall_s: now.wall_s, request: 0 };
        self.index.apply(&record);
        self.queue.push(record, None);
    }

    fn reject_waiting(&mut self, retry_after_s: u32) -> Vec<Action> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.map(|(ticket, _)| unavailable(ticket, retry_after_s)).collect()
    }

    /// Clears the state that is valid only while the lease is held.
    fn clear_calls(&mut self) {
        self.index = Index::default();
        self.queue.clear();
        self.running.clear();
    }

    fn issue_token(&mut self) -> u64 {
        self.last_token = self.last_token.wrapping_add(1);
        self.last_token
    }
}
