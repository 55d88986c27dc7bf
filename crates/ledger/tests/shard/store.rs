//! A platform that answers at once, and time that passes when told.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ledger::Error;
use ledger::lifecycle::Chart;
use ledger::message::Action;
use ledger::message::Input;
use ledger::message::Moment;
use ledger::message::Ticket;
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
/// Batch rows that are replaced by a snapshot.
pub const COMPACT_ROWS: u64 = 6;

/// The platform, the time, and what shards told.
pub struct Store {
    /// Table and objects.
    pub memory: Memory,
    /// What was reported.
    pub reports: Vec<Error>,
    /// Commits so far.
    pub commits: u64,
    /// Objects written so far.
    pub objects_written: u64,
    /// Objects deleted so far.
    pub objects_deleted: u64,
    start: Instant,
    passed: Duration,
    wakes: Vec<Duration>,
    told: Vec<(Ticket, Verdict)>,
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
            passed: Duration::ZERO,
            wakes: Vec::new(),
            told: Vec::new(),
        }
    }
}

impl Store {
    /// A shard as a daemon sees it.
    pub fn shard(&self, daemon: &str) -> Shard {
        let address = "127.0.0.1:1".to_owned();
        let holder = Holder { daemon: daemon.to_owned(), incarnation: 1, address };
        let text = include_str!("../../../lentilhook/charts/lease.json");
        let chart = Rc::new(Chart::parse("charts/lease.json", text).unwrap());
        Shard::new(SHARD, holder, daemon.len() as u64, chart).compacting_after(COMPACT_ROWS)
    }

    /// Gives an input and carries the platform's part out.
    pub fn start(&mut self, shard: &mut Shard, input: Input) {
        let wall_s = self.passed.as_secs();
        let now = Moment { instant: self.now(), wall_s };
        for action in shard.handle(now, input) {
            if let Some(answer) = self.carry_out(action) {
                self.start(shard, answer);
            }
        }
    }

    /// The same, and lets time pass until nothing waits for it.
    pub fn drive(&mut self, shard: &mut Shard, input: Input) {
        self.start(shard, input);
        while let Some(after) = self.wakes.pop() {
            self.pass(after);
            self.start(shard, Input::Tick);
        }
    }

    /// Wakes a shard that asked for it, when it is time.
    pub fn wake(&mut self, shard: &mut Shard) {
        if !self.wakes.is_empty() {
            self.start(shard, Input::Tick);
        }
    }

    /// Asks whether a call may leave.
    pub fn begin(&mut self, shard: &mut Shard, ticket: u64, key: &str) -> Option<Verdict> {
        self.drive(shard, Input::Begin(Ticket(ticket), claim(key, 1)));
        self.told(ticket)
    }

    /// What a ticket was told.
    pub fn told(&self, ticket: u64) -> Option<Verdict> {
        let told = self.told.iter().find(|(it, _)| *it == Ticket(ticket));
        told.map(|(_, verdict)| verdict.clone())
    }

    /// Runs a call from its start to its answer.
    pub fn run_one(&mut self, shard: &mut Shard, ticket: u64, key: &str) {
        let told = self.begin(shard, ticket, key);
        assert!(matches!(told, Some(Verdict::Granted { .. })), "{told:?}");
        let answer =
            Answer { status: 200, media_type: String::new(), body: Body::Text(key.to_owned()) };
        self.drive(shard, Input::End(Identity::of(key), Step::Done(answer)));
    }

    /// Time now.
    pub fn now(&self) -> Instant {
        self.start + self.passed
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Duration) {
        self.passed += time;
    }

    /// Head row.
    pub fn head(&self) -> Head {
        serde_json::from_str(&self.memory.read(&head_key(SHARD)).unwrap().value).unwrap()
    }

    /// Number of batch rows.
    pub fn rows(&self) -> usize {
        self.memory.scan(&batch_prefix(SHARD), "", 1000).unwrap().len()
    }

    /// Writes a row behind everybody's back.
    pub fn write(&self, key: &str, value: &str) {
        let put = Put { key: key.to_owned(), value: value.to_owned() };
        let transaction = Transaction { puts: vec![put], ..Transaction::default() };
        self.memory.commit(&transaction).unwrap();
    }

    /// Deletes a row behind everybody's back.
    pub fn delete(&self, key: &str) {
        let deletes = vec![key.to_owned()];
        let transaction = Transaction { deletes, ..Transaction::default() };
        self.memory.commit(&transaction).unwrap();
    }

    fn carry_out(&mut self, action: Action) -> Option<Input> {
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
            Action::Wake(after) => {
                self.wakes.push(after);
                None
            }
            Action::Tell(ticket, verdict) => {
                self.told.push((ticket, verdict));
                None
            }
            Action::Report(error) => {
                self.reports.push(error);
                None
            }
        }
    }
}

/// A call under a key.
pub fn claim(key: &str, request: u64) -> Claim {
    Claim { identity: Identity::of(key), request }
}
