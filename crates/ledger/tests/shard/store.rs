//! Fake platform that answers immediately, and simulated time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ledger::Error;
use ledger::lifecycle::Chart;
use ledger::message::Action;
use ledger::message::Input;
use ledger::message::Ticket;
use ledger::message::Timestamp;
use ledger::message::Verdict;
use ledger::record::Answer;
use ledger::record::Body;
use ledger::record::Claim;
use ledger::record::Head;
use ledger::record::Holder;
use ledger::record::Identity;
use ledger::record::ShardId;
use ledger::record::Step;
use ledger::record::batch_prefix;
use ledger::record::head_key;
use ledger::shard::Shard;
use store::memory::Memory;
use store::objects::Objects;
use store::table::Put;
use store::table::Table;
use store::table::Transaction;

/// Shard under test.
pub const SHARD: ShardId = ShardId(3);
/// Number of batch rows at which a snapshot replaces them.
pub const COMPACTION_ROWS: u64 = 6;

/// The platform, the time, and the verdicts and reports of shards.
pub struct Store {
    /// Table and object store.
    pub memory: Memory,
    /// Errors reported by shards.
    pub reports: Vec<Error>,
    /// Number of commits so far.
    pub commits: u64,
    /// Number of objects written so far.
    pub objects_written: u64,
    /// Number of objects deleted so far.
    pub objects_deleted: u64,
    start: Instant,
    elapsed: Duration,
    ticks: Vec<Duration>,
    verdicts: Vec<(Ticket, Verdict)>,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            memory: Memory::default(),
            reports: Vec::new(),
            commits: 0,
            objects_written: 0,
            objects_deleted: 0,
            start: Instant::now(),
            elapsed: Duration::ZERO,
            ticks: Vec::new(),
            verdicts: Vec::new(),
        }
    }
}

impl Store {
    /// Creates the shard from the point of view of a daemon.
    pub fn shard(&self, daemon: &str) -> Shard {
        let address = "127.0.0.1:1".to_owned();
        let holder = Holder { daemon: daemon.to_owned(), incarnation: 1, address };
        let text = include_str!("../../../lentilhook/charts/lease.json");
        let chart = Rc::new(Chart::parse("charts/lease.json", text).unwrap());
        Shard::new(SHARD, holder, daemon.len() as u64, chart).with_compaction_rows(COMPACTION_ROWS)
    }

    /// Passes an input to the shard and executes the resulting platform actions.
    pub fn handle(&mut self, shard: &mut Shard, input: Input) {
        let wall_s = self.elapsed.as_secs();
        let now = Timestamp { instant: self.now(), wall_s };
        for action in shard.handle(now, input) {
            if let Some(answer) = self.execute_action(action) {
                self.handle(shard, answer);
            }
        }
    }

    /// Like [`Store::handle`], but also advances the time until no tick is scheduled.
    pub fn drive(&mut self, shard: &mut Shard, input: Input) {
        self.handle(shard, input);
        while let Some(delay) = self.ticks.pop() {
            self.advance(delay);
            self.handle(shard, Input::Tick);
        }
    }

    /// Sends a tick to the shard if one is scheduled.
    pub fn run_scheduled_tick(&mut self, shard: &mut Shard) {
        if !self.ticks.is_empty() {
            self.handle(shard, Input::Tick);
        }
    }

    /// Requests execution of a call and returns the verdict.
    pub fn begin(&mut self, shard: &mut Shard, ticket: u64, key: &str) -> Option<Verdict> {
        self.drive(shard, Input::Begin(Ticket(ticket), claim(key, 1)));
        self.verdict(ticket)
    }

    /// Returns the verdict on a ticket.
    pub fn verdict(&self, ticket: u64) -> Option<Verdict> {
        let found = self.verdicts.iter().find(|(it, _)| *it == Ticket(ticket));
        found.map(|(_, verdict)| verdict.clone())
    }

    /// Runs a call from its request to its answer.
    pub fn run_one(&mut self, shard: &mut Shard, ticket: u64, key: &str) {
        let verdict = self.begin(shard, ticket, key);
        assert!(matches!(verdict, Some(Verdict::Granted { .. })), "{verdict:?}");
        let answer =
            Answer { status: 200, media_type: String::new(), body: Body::Text(key.to_owned()) };
        self.drive(shard, Input::End(Identity::from_name(key), Step::Done(answer)));
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    /// Advances the time.
    pub fn advance(&mut self, time: Duration) {
        self.elapsed += time;
    }

    /// Returns the content of the head row.
    pub fn head(&self) -> Head {
        serde_json::from_str(&self.memory.read(&head_key(SHARD)).unwrap().value).unwrap()
    }

    /// Returns the number of batch rows.
    pub fn rows(&self) -> usize {
        self.memory.scan(&batch_prefix(SHARD), "", 1000).unwrap().len()
    }

    /// Writes a row directly, bypassing the shards.
    pub fn write(&self, key: &str, value: &str) {
        let put = Put { key: key.to_owned(), value: value.to_owned() };
        let transaction = Transaction { puts: vec![put], ..Transaction::default() };
        self.memory.commit(&transaction).unwrap();
    }

    /// Deletes a row directly, bypassing the shards.
    pub fn delete(&self, key: &str) {
        let deletes = vec![key.to_owned()];
        let transaction = Transaction { deletes, ..Transaction::default() };
        self.memory.commit(&transaction).unwrap();
    }

    fn execute_action(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::ReadHead(key) => Some(Input::HeadRead(self.memory.read(&key))),
            Action::ReadSnapshot(name) => Some(Input::SnapshotRead(self.memory.get(&name))),
            Action::ReadBatches(prefix) => {
                Some(Input::BatchesRead(self.memory.scan(&prefix, "", 1000)))
            }
            Action::Commit(transaction) => {
                self.commits += 1;
                Some(Input::Committed(self.memory.commit(&transaction)))
            }
            Action::WriteSnapshot { name, content } => {
                self.objects_written += 1;
                let written = self.memory.put(&name, &content);
                Some(Input::SnapshotWritten(name, written))
            }
            Action::DeleteSnapshot(name) => {
                self.objects_deleted += 1;
                let _ = self.memory.delete(&name);
                None
            }
            Action::ScheduleTick(delay) => {
                self.ticks.push(delay);
                None
            }
            Action::Reply(ticket, verdict) => {
                self.verdicts.push((ticket, verdict));
                None
            }
            Action::Report(error) => {
                self.reports.push(error);
                None
            }
        }
    }
}

/// Creates the claim of a call.
pub fn claim(key: &str, fingerprint: u64) -> Claim {
    Claim { identity: Identity::from_name(key), fingerprint }
}
