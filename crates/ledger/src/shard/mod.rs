//! One shard: who holds it, what is written, what may leave.

mod acquire;
mod commit;
mod compact;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use store::table::Transaction;

use crate::Error;
use crate::book::Book;
use crate::book::Entry;
use crate::lifecycle::Chart;
use crate::lifecycle::Event;
use crate::lifecycle::State;
use crate::message::Action;
use crate::message::Counts;
use crate::message::Input;
use crate::message::Moment;
use crate::message::Ticket;
use crate::message::Verdict;
use crate::message::not_now;
use crate::queue::Pending;
use crate::queue::Queue;
use crate::record::COMPACT_ROWS;
use crate::record::Claim;
use crate::record::Head;
use crate::record::Holder;
use crate::record::Identity;
use crate::record::Record;
use crate::record::ShardId;
use crate::record::Step;
use crate::record::head_key;
use crate::snapshot::Named;

/// Seconds after which to come back while the table can't be used.
const TABLE_RETRY_S: u32 = 2;
/// Seconds after which to come back when the lease moves.
const MOVE_RETRY_S: u32 = 1;
/// Most calls and records that wait.
const WAITING_LIMIT: usize = 4096;

/// A shard as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    me: Holder,
    next_token: u64,
    chart: Rc<Chart>,
    state: State,
    fault: Option<Error>,
    lease: Lease,
    asking: Vec<(Ticket, Claim)>,
    queue: Queue,
    book: Book,
    /// Calls that were granted under this lease and have not ended.
    running: HashSet<Identity>,
    used_at: Option<Instant>,
    releasing: bool,
    compact_rows: u64,
    counts: Counts,
}

#[derive(Clone, Debug)]
enum Lease {
    /// Not held; what was last seen of another holder, and since when.
    Away { seen: Option<Seen> },
    /// The head row is being read.
    Looking { seen: Option<Seen> },
    /// The lease is being taken by a commit.
    Taking(Taking),
    /// The lease is taken; snapshot and batches are being read.
    Loading(Loading),
    /// Held.
    Held(Box<Held>),
}

/// A head row as seen, and when it was first seen unchanged.
#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    since: Instant,
    holder: Holder,
}

#[derive(Clone, Debug)]
struct Taking {
    head: Head,
    transaction: Transaction,
    /// The commit had no answer and was sent again.
    unresolved: bool,
}

#[derive(Clone, Debug)]
struct Loading {
    head: Head,
    version: u64,
    /// Records of the snapshot, read before the batches.
    book: Book,
    /// What is wrong with what was read, unless the lease was lost meanwhile.
    doubt: Option<Error>,
}

#[derive(Clone, Debug)]
struct Held {
    head: Head,
    version: u64,
    /// When the last commit was started.
    committed_at: Option<Instant>,
    /// When the head row was last known to be written.
    written_at: Instant,
    /// The commit under way.
    commit: Option<Under>,
    compaction: Compaction,
    wakes_at: Option<Instant>,
}

/// A commit under way.
#[derive(Clone, Debug)]
struct Under {
    head: Head,
    transaction: Transaction,
    batch: Vec<Pending>,
    /// The commit had no answer and was sent again.
    unresolved: bool,
}

/// How far a snapshot is.
#[derive(Clone, Debug)]
enum Compaction {
    /// None is under way; no new one before this time.
    Idle { not_before: Option<Instant> },
    /// The head row is told the name of the draft.
    Naming { name: String },
    /// The object is being written.
    Writing(Draft),
    /// The object is written; the next commit names it.
    Written(Draft),
    /// The commit under way names it.
    Applying,
}

/// A snapshot that the head row does not name yet.
#[derive(Clone, Debug)]
struct Draft {
    named: Named,
    /// First batch that it does not contain.
    first_batch: u64,
}

impl Shard {
    /// A shard that this daemon does not hold. `token_seed` must differ
    /// between daemons and incarnations.
    pub fn new(id: ShardId, me: Holder, token_seed: u64, chart: Rc<Chart>) -> Shard {
        Shard {
            id,
            me,
            next_token: token_seed,
            state: chart.initial(),
            chart,
            fault: None,
            lease: Lease::Away { seen: None },
            asking: Vec::new(),
            queue: Queue::default(),
            book: Book::default(),
            running: HashSet::new(),
            used_at: None,
            releasing: false,
            compact_rows: COMPACT_ROWS,
            counts: Counts::default(),
        }
    }

    /// The same shard, with a snapshot after another number of batch rows.
    pub fn compacting_after(mut self, rows: u64) -> Shard {
        self.compact_rows = rows;
        self
    }

    /// Takes an input and gives the actions to carry out, in order.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Action> {
        let mut actions = self.react(now, input);
        if let Some(fault) = self.fault.take() {
            // Without the lease nothing leaves, and what is open is unknown to others.
            self.lease = Lease::Away { seen: None };
            self.state = self.chart.initial();
            self.forget();
            actions.push(Action::Report(fault));
            actions.extend(self.turn_away(TABLE_RETRY_S));
        }
        actions
    }

    /// Moves along the chart; what it doesn't expect drops the lease.
    fn step(&mut self, event: Event) {
        match self.chart.next(self.state, event) {
            Ok(state) => self.state = state,
            Err(error) => self.fault = Some(Error::Lifecycle { detail: error.to_string() }),
        }
    }

    fn react(&mut self, now: Moment, input: Input) -> Vec<Action> {
        match input {
            Input::Begin(ticket, claim) => self.begin(now, ticket, claim),
            Input::Withdraw(ticket) => self.withdraw(ticket),
            Input::End(identity, step) => self.end(now, identity, step),
            Input::HeadRead(result) => self.head_read(now, result),
            Input::SnapshotRead(result) => self.snapshot_read(result),
            Input::BatchesRead(result) => self.batches_read(now, result),
            Input::Committed(result) => self.committed(now, result),
            Input::SnapshotWritten(name, result) => self.snapshot_written(now, &name, result),
            Input::Tick => self.pump(now),
            Input::Release => {
                if self.state == State::Unheld && !self.releasing {
                    self.step(Event::Leave);
                }
                self.releasing = true;
                self.pump(now)
            }
        }
    }

    /// Whether this daemon holds the lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.state == State::Held
    }

    /// Calls that may be called unknown though they were not run.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Fencing number, when held.
    pub fn fence(&self) -> Option<u64> {
        match &self.lease {
            Lease::Held(held) => Some(held.head.fence),
            _ => None,
        }
    }

    fn begin(&mut self, now: Moment, ticket: Ticket, claim: Claim) -> Vec<Action> {
        self.used_at = Some(now.instant);
        if self.releasing {
            return vec![not_now(ticket, MOVE_RETRY_S)];
        }
        if self.asking.len() + self.queue.len() >= WAITING_LIMIT {
            return vec![not_now(ticket, TABLE_RETRY_S)];
        }
        match &self.lease {
            Lease::Held(_) => {
                let mut actions = self.decide(now, ticket, claim);
                actions.extend(self.pump(now));
                actions
            }
            Lease::Away { seen } => {
                let seen = seen.clone();
                self.asking.push((ticket, claim));
                self.step(Event::Asked);
                self.lease = Lease::Looking { seen };
                vec![Action::ReadHead(head_key(self.id))]
            }
            Lease::Taking(Taking { unresolved: true, .. }) => {
                vec![not_now(ticket, TABLE_RETRY_S)]
            }
            _ => {
                self.asking.push((ticket, claim));
                Vec::new()
            }
        }
    }

    /// Decides on a call while the lease is held.
    fn decide(&mut self, now: Moment, ticket: Ticket, claim: Claim) -> Vec<Action> {
        let verdict = match self.book.entry(&claim.identity) {
            Some(_) if self.book.differs(&claim) => Verdict::Reused,
            Some(Entry::Running) => Verdict::Running,
            Some(Entry::Done(answer)) => Verdict::Done(answer.clone()),
            Some(Entry::Unknown) => Verdict::Unknown,
            None if self.is_intended(&claim.identity) => Verdict::Running,
            None if self.is_unresolved() => {
                return vec![not_now(ticket, TABLE_RETRY_S)];
            }
            None => {
                let Claim { identity, request } = claim;
                let record = Record { identity, step: Step::Intent, wall_s: now.wall_s, request };
                self.queue.push(record, Some(ticket));
                return Vec::new();
            }
        };
        vec![Action::Tell(ticket, verdict)]
    }

    fn is_intended(&self, identity: &Identity) -> bool {
        let under = self.under().map_or(&[][..], |it| &it.batch);
        self.queue.holds_intent(identity) || under.iter().any(|it| it.is_intent_of(identity))
    }

    fn is_unresolved(&self) -> bool {
        self.under().is_some_and(|it| it.unresolved)
    }

    /// The commit of records that is under way.
    fn under(&self) -> Option<&Under> {
        match &self.lease {
            Lease::Held(held) => held.commit.as_ref(),
            _ => None,
        }
    }

    /// Forgets a call that was turned away. An intent that is already being
    /// written is recorded as not run once it is known to be there.
    fn withdraw(&mut self, ticket: Ticket) -> Vec<Action> {
        self.asking.retain(|(asking, _)| *asking != ticket);
        self.queue.withdraw(ticket);
        if let Lease::Held(held) = &mut self.lease
            && let Some(under) = &mut held.commit
        {
            let batch = under.batch.iter_mut().filter(|it| it.ticket == Some(ticket));
            batch.for_each(|it| it.ticket = None);
        }
        Vec::new()
    }

    fn end(&mut self, now: Moment, identity: Identity, step: Step) -> Vec<Action> {
        self.used_at = Some(now.instant);
        self.running.remove(&identity);
        if !self.is_held() {
            // The next holder counts the call as unknown.
            self.counts.ends_lost += u64::from(step == Step::NotRun);
            return Vec::new();
        }
        if matches!(self.book.entry(&identity), Some(Entry::Done(_))) {
            return Vec::new();
        }
        // Known here at once, so that a resubmission sees it before it is written.
        self.record(now, identity, step);
        self.pump(now)
    }

    fn record(&mut self, now: Moment, identity: Identity, step: Step) {
        let record = Record { identity, step, wall_s: now.wall_s, request: 0 };
        self.book.note(&record);
        self.queue.push(record, None);
    }

    fn turn_away(&mut self, retry_after_s: u32) -> Vec<Action> {
        let asking = std::mem::take(&mut self.asking).into_iter();
        asking.map(|(ticket, _)| not_now(ticket, retry_after_s)).collect()
    }

    /// Forgets what is known only while the lease is held.
    fn forget(&mut self) {
        self.book = Book::default();
        self.queue.clear();
        self.running.clear();
    }

    fn take_token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }
}
