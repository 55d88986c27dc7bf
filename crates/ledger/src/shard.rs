//! One shard: who holds it, what is written, what may leave.

use std::time::Duration;
use std::time::Instant;

use platform::table::Check;
use platform::table::Commit;
use platform::table::Put;
use platform::table::Row;
use platform::table::Transaction;

use crate::book::Book;
use crate::book::Entry;
use crate::queue::Pending;
use crate::queue::Queue;
use crate::record::Answer;
use crate::record::Batch;
use crate::record::Head;
use crate::record::Holder;
use crate::record::Identity;
use crate::record::LEASE;
use crate::record::RENEW_AFTER;
use crate::record::ShardId;
use crate::record::Step;
use crate::record::batch_key;
use crate::record::batch_prefix;
use crate::record::head_key;

/// Identifies a call that asks for permission, on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What a shard is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call asks whether it may leave.
    Begin(Ticket, Identity),
    /// A call that was granted has ended.
    End(Identity, Step),
    /// The head row was read, or could not be.
    HeadRead(Result<Row, platform::Error>),
    /// The batch rows were read, or could not be.
    BatchesRead(Result<Vec<Row>, platform::Error>),
    /// The commit under way was answered.
    Committed(Result<Commit, platform::Error>),
    /// Time has passed.
    Tick,
    /// The daemon shuts down: give the lease up once nothing runs.
    Release,
}

/// What a shard wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head row and answer with [`Input::HeadRead`].
    ReadHead(String),
    /// Read all rows with this prefix and answer with [`Input::BatchesRead`].
    ReadBatches(String),
    /// Commit and answer with [`Input::Committed`].
    Commit(Transaction),
    /// Tell a call what was decided.
    Tell(Ticket, Verdict),
}

/// The decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The intent is written: it may leave, once, with this fencing number.
    Granted {
        /// Fencing number to send along.
        fence: u64,
    },
    /// The same call is running under an earlier ticket on this daemon.
    Running,
    /// It was executed before.
    Done(Answer),
    /// It may have been executed before.
    Unknown,
    /// Another daemon holds the shard.
    Elsewhere(Holder),
    /// It can't be recorded now; nothing left this daemon.
    NotNow {
        /// Seconds after which a new try is useful.
        retry_after_s: u32,
    },
}

/// Seconds after which to come back while the table can't be written.
const TABLE_RETRY_S: u32 = 2;

/// A shard as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    me: Holder,
    next_token: u64,
    lease: Lease,
    asking: Vec<(Ticket, Identity)>,
    queue: Queue,
    book: Book,
    running: usize,
    releasing: bool,
}

#[derive(Clone, Debug)]
enum Lease {
    /// Not held; what was last seen of another holder, and since when.
    Away { seen: Option<Seen> },
    /// The head row is being read.
    Looking { seen: Option<Seen> },
    /// The lease is being taken by this commit.
    Taking { head: Head, transaction: Transaction },
    /// The lease is taken and the batches are being read.
    Loading { head: Head, version: u64 },
    /// Held. `commit` is under way, if any.
    Held { head: Head, version: u64, written_at: Instant, commit: Option<Under> },
}

/// A head row as seen, and when it was first seen unchanged.
#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    since: Instant,
    holder: Holder,
}

/// A commit under way.
#[derive(Clone, Debug)]
struct Under {
    head: Head,
    transaction: Transaction,
    batch: Vec<Pending>,
}

impl Shard {
    /// A shard that this daemon does not hold. `token_seed` must differ
    /// between daemons and incarnations.
    pub fn new(id: ShardId, me: Holder, token_seed: u64) -> Shard {
        Shard {
            id,
            me,
            next_token: token_seed,
            lease: Lease::Away { seen: None },
            asking: Vec::new(),
            queue: Queue::default(),
            book: Book::default(),
            running: 0,
            releasing: false,
        }
    }

    /// Takes an input and gives the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Begin(ticket, identity) => self.begin(now, ticket, identity),
            Input::End(identity, step) => self.end(now, identity, step),
            Input::HeadRead(result) => self.head_read(now, result),
            Input::BatchesRead(result) => self.batches_read(now, result),
            Input::Committed(result) => self.committed(now, result),
            Input::Tick => self.pump(now),
            Input::Release => {
                self.releasing = true;
                self.pump(now)
            }
        }
    }

    /// Whether this daemon holds the lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        matches!(self.lease, Lease::Held { .. })
    }

    /// Fencing number, when held.
    pub fn fence(&self) -> Option<u64> {
        match &self.lease {
            Lease::Held { head, .. } => Some(head.fence),
            _ => None,
        }
    }

    /// Whether nothing waits and nothing is held.
    pub fn is_idle(&self) -> bool {
        matches!(self.lease, Lease::Away { .. }) && self.asking.is_empty()
    }

    fn begin(&mut self, now: Instant, ticket: Ticket, identity: Identity) -> Vec<Action> {
        if self.releasing {
            return vec![not_now(ticket, 1)];
        }
        match &self.lease {
            Lease::Held { .. } => {
                let mut actions = self.decide(ticket, identity);
                actions.extend(self.pump(now));
                actions
            }
            Lease::Away { seen } => {
                let seen = seen.clone();
                self.asking.push((ticket, identity));
                self.lease = Lease::Looking { seen };
                vec![Action::ReadHead(head_key(self.id))]
            }
            _ => {
                self.asking.push((ticket, identity));
                Vec::new()
            }
        }
    }

    /// Decides on a call while the lease is held.
    fn decide(&mut self, ticket: Ticket, identity: Identity) -> Vec<Action> {
        let verdict = match self.book.entry(&identity) {
            Some(Entry::Running) => Verdict::Running,
            Some(Entry::Done(answer)) => Verdict::Done(answer.clone()),
            Some(Entry::Unknown) => Verdict::Unknown,
            None if self.is_intended(&identity) => Verdict::Running,
            None => {
                self.queue.push(identity, Step::Intent, Some(ticket));
                return Vec::new();
            }
        };
        vec![Action::Tell(ticket, verdict)]
    }

    fn is_intended(&self, identity: &Identity) -> bool {
        let under = match &self.lease {
            Lease::Held { commit: Some(under), .. } => under.batch.as_slice(),
            _ => &[],
        };
        let intent = |it: &Pending| it.ticket.is_some() && it.record.identity == *identity;
        self.queue.holds_intent(identity) || under.iter().any(intent)
    }

    fn end(&mut self, now: Instant, identity: Identity, step: Step) -> Vec<Action> {
        self.running = self.running.saturating_sub(1);
        if !self.is_held() {
            // The lease was lost meanwhile; the new holder counts it as unknown.
            return Vec::new();
        }
        // Known here at once, so that a resubmission sees it before it is written.
        let record = crate::record::Record { identity: identity.clone(), step: step.clone() };
        self.book.note(&record);
        self.queue.push(identity, step, None);
        self.pump(now)
    }

    fn head_read(&mut self, now: Instant, result: Result<Row, platform::Error>) -> Vec<Action> {
        let Lease::Looking { seen } = &self.lease else { return Vec::new() };
        let seen = seen.clone();
        let Ok(row) = result else {
            self.lease = Lease::Away { seen };
            return self.turn_away(TABLE_RETRY_S);
        };
        let head: Head = serde_json::from_str(&row.value).unwrap_or_default();
        let seen = match seen {
            Some(seen) if seen.version == row.version => seen,
            _ => Seen { version: row.version, since: now, holder: head.holder.clone() },
        };
        let lapsed = now.duration_since(seen.since) >= LEASE;
        let free = head.holder.daemon.is_empty() || head.holder == self.me;
        let replaced =
            head.holder.daemon == self.me.daemon && head.holder.incarnation < self.me.incarnation;
        if !(free || replaced || lapsed) {
            return self.send_elsewhere(seen);
        }
        self.take(&head, row.version)
    }

    fn take(&mut self, head: &Head, version: u64) -> Vec<Action> {
        let next = Head {
            fence: head.fence + 1,
            holder: self.me.clone(),
            next_batch: head.next_batch,
            token: self.take_token(),
        };
        let transaction = self.transaction(&next, version, None);
        self.lease = Lease::Taking { head: next, transaction: transaction.clone() };
        vec![Action::Commit(transaction)]
    }

    fn batches_read(
        &mut self,
        now: Instant,
        result: Result<Vec<Row>, platform::Error>,
    ) -> Vec<Action> {
        let Lease::Loading { head, version } = &self.lease else { return Vec::new() };
        let (head, version) = (head.clone(), *version);
        let Ok(rows) = result else {
            self.lease = Lease::Away { seen: None };
            return self.turn_away(TABLE_RETRY_S);
        };
        self.book = Book::default();
        for row in &rows {
            let batch: Batch = serde_json::from_str(&row.value).unwrap_or_default();
            self.book.replay(&batch.records);
        }
        self.book.close_open();
        self.lease = Lease::Held { head, version, written_at: now, commit: None };
        let mut actions = Vec::new();
        for (ticket, identity) in std::mem::take(&mut self.asking) {
            actions.extend(self.decide(ticket, identity));
        }
        actions.extend(self.pump(now));
        actions
    }

    fn committed(&mut self, now: Instant, result: Result<Commit, platform::Error>) -> Vec<Action> {
        match std::mem::replace(&mut self.lease, Lease::Away { seen: None }) {
            Lease::Taking { head, transaction } => self.taken(head, transaction, result),
            Lease::Held { head, version, written_at, commit: Some(under) } => {
                match outcome(&under.head, result) {
                    Effect::Took(version) => self.written(now, version, under),
                    Effect::Lost => self.lost(under.batch),
                    Effect::Open => {
                        // Sending the same commit again settles whether it took effect.
                        let again = under.transaction.clone();
                        let commit = Some(under);
                        self.lease = Lease::Held { head, version, written_at, commit };
                        vec![Action::Commit(again)]
                    }
                }
            }
            other => {
                self.lease = other;
                Vec::new()
            }
        }
    }

    fn taken(
        &mut self,
        head: Head,
        transaction: Transaction,
        result: Result<Commit, platform::Error>,
    ) -> Vec<Action> {
        match outcome(&head, result) {
            Effect::Took(version) => {
                self.lease = Lease::Loading { head, version };
                vec![Action::ReadBatches(batch_prefix(self.id))]
            }
            Effect::Lost => self.turn_away(1),
            Effect::Open => {
                self.lease = Lease::Taking { head, transaction: transaction.clone() };
                let mut actions = self.turn_away(TABLE_RETRY_S);
                actions.push(Action::Commit(transaction));
                actions
            }
        }
    }

    fn written(&mut self, now: Instant, version: u64, under: Under) -> Vec<Action> {
        let fence = under.head.fence;
        let released = under.head.holder.daemon.is_empty();
        let mut actions = Vec::new();
        for pending in under.batch {
            if let Some(ticket) = pending.ticket {
                self.book.note(&pending.record);
                self.running += 1;
                actions.push(Action::Tell(ticket, Verdict::Granted { fence }));
            }
        }
        if released {
            return actions;
        }
        let head = under.head;
        self.lease = Lease::Held { head, version, written_at: now, commit: None };
        actions.extend(self.pump(now));
        actions
    }

    /// The shard has a newer holder. Nothing of the batch has left.
    fn lost(&mut self, batch: Vec<Pending>) -> Vec<Action> {
        let waiting = batch.into_iter().chain(self.queue.take_all());
        let mut actions: Vec<Action> =
            waiting.filter_map(|it| it.ticket).map(|ticket| not_now(ticket, 1)).collect();
        self.book = Book::default();
        self.running = 0;
        actions.extend(self.turn_away(1));
        actions
    }

    /// Starts the next commit, if one is due and none is under way.
    fn pump(&mut self, now: Instant) -> Vec<Action> {
        let Lease::Held { head, version, written_at, commit: None } = &self.lease else {
            return Vec::new();
        };
        let (mut next, version) = (head.clone(), *version);
        let give_up = self.releasing && self.queue.is_empty() && self.running == 0;
        let renew = now.duration_since(*written_at) >= RENEW_AFTER;
        if self.queue.is_empty() && !renew && !give_up {
            return Vec::new();
        }
        let batch = self.queue.take_batch();
        next.token = self.take_token();
        let records = (!batch.is_empty()).then(|| batch.iter().map(|it| it.record.clone()));
        let row = records.map(|records| Batch { records: records.collect() });
        let transaction = {
            let number = next.next_batch;
            if row.is_some() {
                next.next_batch += 1;
            }
            if give_up {
                next.holder = Holder::default();
            }
            let put = row.map(|batch| Put {
                key: batch_key(self.id, number),
                value: serde_json::to_string(&batch).unwrap_or_default(),
            });
            self.transaction(&next, version, put)
        };
        let under = Under { head: next, transaction: transaction.clone(), batch };
        if let Lease::Held { commit, .. } = &mut self.lease {
            *commit = Some(under);
        }
        vec![Action::Commit(transaction)]
    }

    fn transaction(&self, head: &Head, version: u64, batch: Option<Put>) -> Transaction {
        let key = head_key(self.id);
        let value = serde_json::to_string(head).unwrap_or_default();
        let mut puts = vec![Put { key: key.clone(), value }];
        puts.extend(batch);
        Transaction { checks: vec![Check { key, version }], puts, deletes: Vec::new() }
    }

    fn send_elsewhere(&mut self, seen: Seen) -> Vec<Action> {
        let holder = seen.holder.clone();
        self.lease = Lease::Away { seen: Some(seen) };
        let asking = std::mem::take(&mut self.asking).into_iter();
        let tell = |(ticket, _)| Action::Tell(ticket, Verdict::Elsewhere(holder.clone()));
        asking.map(tell).collect()
    }

    fn turn_away(&mut self, retry_after_s: u32) -> Vec<Action> {
        let asking = std::mem::take(&mut self.asking).into_iter();
        asking.map(|(ticket, _)| not_now(ticket, retry_after_s)).collect()
    }

    fn take_token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }
}

enum Effect {
    /// The commit took effect; version of the head row.
    Took(u64),
    /// Another daemon wrote the head row.
    Lost,
    /// Not known.
    Open,
}

/// Whether a commit that wrote `head` took effect.
fn outcome(head: &Head, result: Result<Commit, platform::Error>) -> Effect {
    match result {
        Ok(Commit::Done { version }) => Effect::Took(version),
        Ok(Commit::Conflict { rows }) => {
            let Some(row) = rows.first() else { return Effect::Lost };
            let found: Head = serde_json::from_str(&row.value).unwrap_or_default();
            let mine = found.token == head.token && found.fence == head.fence;
            if mine { Effect::Took(row.version) } else { Effect::Lost }
        }
        Err(_) => Effect::Open,
    }
}

fn not_now(ticket: Ticket, retry_after_s: u32) -> Action {
    Action::Tell(ticket, Verdict::NotNow { retry_after_s })
}

/// Time after which a call that waits for the table is turned away.
pub const WAIT_LIMIT: Duration = Duration::from_secs(2);
