//! Simulated daemons, their table and an endpoint that ignores fencing tokens.

mod calls;
pub mod checks;
mod platform;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use ledger::lifecycle::Chart;
use ledger::message::Action;
use ledger::message::Input;
use ledger::message::Ticket;
use ledger::message::Timestamp;
use ledger::message::Verdict;
use ledger::record::Answer;
use ledger::record::Body;
use ledger::record::Claim;
use ledger::record::Holder;
use ledger::record::Identity;
use ledger::record::ShardId;
use ledger::record::Step;
use ledger::shard::Shard;
use store::memory::Memory;

/// Number of keys in use at a time.
const ACTIVE_KEYS: usize = 4;
/// Number of calls after which the next key replaces the oldest one.
const CALLS_PER_NEW_KEY: usize = 24;
/// Number of batch rows at which a snapshot replaces them.
const COMPACTION_ROWS: u64 = 5;
/// Time after which the dispatcher rejects a call without a verdict.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Daemons that compete for the same shard, and the state of their calls.
pub struct World {
    start: Instant,
    now: Instant,
    memory: Memory,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    executed: HashMap<Identity, Vec<Ticket>>,
    snapshots_loaded: usize,
    seed: u64,
}

struct Daemon {
    holder: Holder,
    shard: Shard,
    paused: bool,
    released: bool,
    inbox: Vec<Input>,
}

/// A platform request in flight, or its answer.
struct Request {
    daemon: usize,
    incarnation: u64,
    action: Action,
    answer: Option<Input>,
}

struct Call {
    ticket: Ticket,
    identity: Identity,
    daemon: usize,
    incarnation: u64,
    began_at: Instant,
    stage: Stage,
    verdict: Option<Verdict>,
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Rejected,
    Granted,
    Sent,
    Ended { not_run: bool },
}

impl World {
    /// Creates a world with the given number of daemons and an empty table.
    pub fn new(daemons: usize, seed: u64) -> World {
        let daemons = (0..daemons).map(|number| Daemon::new(number, 1)).collect();
        let start = Instant::now();
        World {
            start,
            now: start,
            memory: Memory::default(),
            daemons,
            requests: Vec::new(),
            calls: Vec::new(),
            executed: HashMap::new(),
            snapshots_loaded: 0,
            seed,
        }
    }

    /// Performs one random step.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let daemon = u.choose_index(self.daemons.len())?;
        match u.int_in_range(0..=99u8)? {
            0..=14 => self.advance(*u.choose(&[1, 20, 300, 2_000, 7_000])?),
            15..=29 => {
                let key = u.choose_index(ACTIVE_KEYS)? + self.calls.len() / CALLS_PER_NEW_KEY;
                self.begin(daemon, key_identity(key));
            }
            30..=44 => self.platform_step(u)?,
            45..=69 => self.answer_step(u)?,
            70..=79 => self.input(daemon, Input::Tick),
            80..=91 => self.call_step(u)?,
            92..=93 => self.daemons[daemon].paused = true,
            94..=96 => self.resume(daemon),
            97 => self.restart(daemon),
            98 => {
                self.daemons[daemon].released = true;
                self.input(daemon, Input::Release);
            }
            _ => self.reject_late_calls(),
        }
        Ok(())
    }

    /// Resumes paused daemons, restarts released ones and completes all requests.
    pub fn clear_faults(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.resume(daemon);
            if self.daemons[daemon].released {
                self.restart(daemon);
            }
        }
        self.settle();
    }

    fn begin(&mut self, daemon: usize, identity: Identity) -> Ticket {
        let ticket = Ticket(self.calls.len() as u64);
        self.calls.push(Call {
            ticket,
            identity: identity.clone(),
            daemon,
            incarnation: self.daemons[daemon].holder.incarnation,
            began_at: self.now,
            stage: Stage::Waiting,
            verdict: None,
            may_have_run: false,
        });
        self.input(daemon, Input::Begin(ticket, Claim { identity, fingerprint: 1 }));
        ticket
    }

    fn input(&mut self, daemon: usize, input: Input) {
        let is_snapshot = matches!(input, Input::SnapshotRead(Ok(Some(_))));
        self.snapshots_loaded += usize::from(is_snapshot);
        let it = &mut self.daemons[daemon];
        if it.paused {
            it.inbox.push(input);
            return;
        }
        let incarnation = it.holder.incarnation;
        let now =
            Timestamp { instant: self.now, wall_s: self.now.duration_since(self.start).as_secs() };
        for action in it.shard.handle(now, input) {
            match action {
                Action::Reply(ticket, verdict) => self.receive_verdict(ticket, verdict),
                Action::ScheduleTick(_) => {}
                Action::Report(error) => panic!("{error}, seed {:#x}", self.seed),
                action => {
                    self.requests.push(Request { daemon, incarnation, action, answer: None });
                }
            }
        }
    }

    fn receive_verdict(&mut self, ticket: Ticket, verdict: Verdict) {
        let seed = self.seed;
        let call = &self.calls[ticket.0 as usize];
        assert!(
            call.verdict.is_none(),
            "{ticket:?} got a second verdict: {verdict:?}, seed {seed:#x}"
        );
        if let Verdict::Granted { .. } = verdict {
            let unfinished =
                self.calls.iter().filter(|it| it.identity == call.identity && it.may_have_run);
            let unfinished: Vec<Ticket> = unfinished.map(|it| it.ticket).collect();
            assert!(
                unfinished.is_empty(),
                "{ticket:?} granted while {unfinished:?} may run, seed {seed:#x}"
            );
        }
        if let Verdict::Done(_) = verdict {
            let ran = self.executed.contains_key(&call.identity);
            assert!(
                ran,
                "{ticket:?} got the answer of a call that was not executed, seed {seed:#x}"
            );
        }
        let granted = matches!(verdict, Verdict::Granted { .. });
        let (daemon, identity) = (call.daemon, call.identity.clone());
        let call = &mut self.calls[ticket.0 as usize];
        call.verdict = Some(verdict);
        match (call.stage, granted) {
            (Stage::Waiting, true) => {
                call.stage = Stage::Granted;
                call.may_have_run = true;
            }
            (Stage::Waiting, false) => call.stage = Stage::Ended { not_run: false },
            (Stage::Rejected, true) => {
                call.stage = Stage::Ended { not_run: true };
                self.input(daemon, Input::End(identity, Step::NotRun));
            }
            _ => {}
        }
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
    }

    fn resume(&mut self, daemon: usize) {
        self.daemons[daemon].paused = false;
        for input in std::mem::take(&mut self.daemons[daemon].inbox) {
            self.input(daemon, input);
        }
    }

    /// Replaces the daemon by a new incarnation. Requests of the old one may still
    /// arrive.
    fn restart(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].holder.incarnation + 1;
        self.daemons[daemon] = Daemon::new(daemon, incarnation);
    }
}

impl Daemon {
    fn new(number: usize, incarnation: u64) -> Daemon {
        let holder = Holder {
            daemon: format!("entry-{number}"),
            incarnation,
            address: format!("127.0.0.{number}:1"),
        };
        let seed = (number as u64) << 40 | incarnation << 20;
        let shard = Shard::new(ShardId(0), holder.clone(), seed, chart())
            .with_compaction_rows(COMPACTION_ROWS);
        Daemon { holder, shard, paused: false, released: false, inbox: Vec::new() }
    }
}

fn chart() -> Rc<Chart> {
    let text = include_str!("../../../../lentilhook/charts/lease.json");
    Rc::new(Chart::parse("charts/lease.json", text).unwrap())
}

fn key_identity(key: usize) -> Identity {
    Identity::from_name(&format!("key {key}"))
}

fn answer(ticket: Ticket) -> Answer {
    Answer { status: 200, media_type: String::new(), body: Body::Text(format!("{ticket:?}")) }
}
