//! Daemons, their table and an endpoint that ignores fencing numbers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use ledger::lifecycle::Chart;
use ledger::message::Action;
use ledger::message::Input;
use ledger::message::Moment;
use ledger::message::Ticket;
use ledger::message::Verdict;
use ledger::record::Answer;
use ledger::record::Body;
use ledger::record::Claim;
use ledger::record::Holder;
use ledger::record::Identity;
use ledger::record::ShardId;
use ledger::record::Step;
use ledger::record::decode_head;
use ledger::record::head_key;
use ledger::shard::Shard;
use store::memory::Memory;
use store::objects::Objects;
use store::table::Table;

/// Keys in use at a time.
const KEYS: usize = 4;
/// Calls after which other keys come into use.
const KEY_CALLS: usize = 24;
/// Batch rows that are replaced by a snapshot.
const COMPACT_ROWS: u64 = 5;
/// Time after which the dispatcher turns a call away.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Daemons that hold the same shard by turns, and what became of calls.
pub struct World {
    start: Instant,
    now: Instant,
    memory: Memory,
    daemons: Vec<Daemon>,
    flights: Vec<Flight>,
    calls: Vec<Call>,
    executed: HashMap<Identity, Vec<Ticket>>,
    snapshots_loaded: usize,
    seed: u64,
}

/// Sums over runs.
#[derive(Debug, Default)]
pub struct Tally {
    /// Calls that asked.
    pub calls: usize,
    /// Calls that were granted.
    pub granted: usize,
    /// Keys that were executed.
    pub executed: usize,
    /// Calls that were told "unknown".
    pub unknown: usize,
    /// Those of them whose key was never executed.
    pub unknown_not_run: usize,
    /// Snapshots that a holder read.
    pub snapshots_loaded: usize,
    /// Leases taken.
    pub holders: usize,
}

struct Daemon {
    holder: Holder,
    shard: Shard,
    paused: bool,
    released: bool,
    inbox: Vec<Input>,
}

/// A platform call on its way there or back.
struct Flight {
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
    asked: Instant,
    stage: Stage,
    told: Option<Verdict>,
    left: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    TurnedAway,
    Granted,
    Sent,
    Ended { not_run: bool },
}

impl World {
    /// So many daemons and an empty table.
    pub fn new(daemons: usize, seed: u64) -> World {
        let daemons = (0..daemons).map(|number| Daemon::new(number, 1)).collect();
        let start = Instant::now();
        World {
            start,
            now: start,
            memory: Memory::default(),
            daemons,
            flights: Vec::new(),
            calls: Vec::new(),
            executed: HashMap::new(),
            snapshots_loaded: 0,
            seed,
        }
    }

    /// Does one thing that may happen.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let daemon = u.choose_index(self.daemons.len())?;
        match u.int_in_range(0..=99u8)? {
            0..=14 => self.advance(*u.choose(&[1, 20, 300, 2_000, 7_000])?),
            15..=29 => {
                let key = u.choose_index(KEYS)? + self.calls.len() / KEY_CALLS;
                self.ask(daemon, key_identity(key));
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
            _ => self.turn_away(),
        }
        Ok(())
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.resume(daemon);
            if self.daemons[daemon].released {
                self.restart(daemon);
            }
        }
        self.settle();
    }

    /// No call was executed twice, or executed and said not run.
    pub fn check_words(&self) {
        for (identity, tickets) in &self.executed {
            let seed = self.seed;
            assert!(tickets.len() <= 1, "{identity:?} executed by {tickets:?}, seed {seed:#x}");
        }
        for call in &self.calls {
            let turned_away = matches!(call.told, Some(Verdict::NotNow { .. }))
                || call.stage == Stage::TurnedAway
                || matches!(call.stage, Stage::Ended { not_run: true });
            let ran = self.executed.get(&call.identity).is_some_and(|it| it.contains(&call.ticket));
            assert!(!(turned_away && ran), "{:?} said not run, seed {:#x}", call.ticket, self.seed);
        }
    }

    /// Every call gets a final word soon, asked anywhere, and one that nobody
    /// has seen is granted.
    pub fn check_progress(&mut self, within: Duration) {
        self.end_all();
        for daemon in 0..self.daemons.len() {
            let fresh = Identity::of(&format!("fresh {daemon}"));
            let word = self.final_word(daemon, &fresh, within);
            assert!(matches!(word, Verdict::Granted { .. }), "{word:?}, seed {:#x}", self.seed);
            self.end_all();
        }
        let identities: HashSet<Identity> =
            self.calls.iter().map(|it| it.identity.clone()).collect();
        for identity in identities {
            self.final_word(0, &identity, within);
            self.end_all();
        }
    }

    fn final_word(&mut self, daemon: usize, identity: &Identity, within: Duration) -> Verdict {
        let deadline = self.now + within;
        let mut asked = daemon;
        loop {
            let ticket = self.ask(asked, identity.clone());
            self.settle();
            self.advance(500);
            self.settle();
            self.settle();
            match self.calls[ticket.0 as usize].told.clone() {
                Some(Verdict::Elsewhere(holder)) => {
                    let found = self.daemons.iter().position(|it| it.holder == holder);
                    asked = found.unwrap_or(asked);
                }
                Some(Verdict::NotNow { .. } | Verdict::Running) | None => {}
                Some(word) => return word,
            }
            let (seed, told) = (self.seed, &self.calls[ticket.0 as usize].told);
            assert!(self.now < deadline, "no final word on {identity:?}: {told:?}, seed {seed:#x}");
        }
    }

    /// What happened, added up over runs.
    pub fn tally(&self, sum: &mut Tally) {
        let told = |wanted: fn(&Verdict) -> bool| {
            self.calls.iter().filter(move |it| it.told.as_ref().is_some_and(wanted))
        };
        sum.calls += self.calls.len();
        sum.granted += told(|it| matches!(it, Verdict::Granted { .. })).count();
        sum.executed += self.executed.len();
        sum.unknown += told(|it| *it == Verdict::Unknown).count();
        sum.unknown_not_run += told(|it| *it == Verdict::Unknown)
            .filter(|it| !self.executed.contains_key(&it.identity))
            .count();
        sum.snapshots_loaded += self.snapshots_loaded;
        let head = self.memory.read(&head_key(ShardId(0))).unwrap();
        sum.holders += decode_head(&head).unwrap().fence as usize;
    }

    fn ask(&mut self, daemon: usize, identity: Identity) -> Ticket {
        let ticket = Ticket(self.calls.len() as u64);
        self.calls.push(Call {
            ticket,
            identity: identity.clone(),
            daemon,
            incarnation: self.daemons[daemon].holder.incarnation,
            asked: self.now,
            stage: Stage::Waiting,
            told: None,
            left: false,
        });
        self.input(daemon, Input::Begin(ticket, Claim { identity, request: 1 }));
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
            Moment { instant: self.now, wall_s: self.now.duration_since(self.start).as_secs() };
        for action in it.shard.handle(now, input) {
            match action {
                Action::Tell(ticket, verdict) => self.told(ticket, verdict),
                Action::Wake(_) => {}
                Action::Report(error) => panic!("{error}, seed {:#x}", self.seed),
                action => {
                    self.flights.push(Flight { daemon, incarnation, action, answer: None });
                }
            }
        }
    }

    fn told(&mut self, ticket: Ticket, verdict: Verdict) {
        let seed = self.seed;
        let call = &self.calls[ticket.0 as usize];
        assert!(call.told.is_none(), "{ticket:?} told again: {verdict:?}, seed {seed:#x}");
        if let Verdict::Granted { .. } = verdict {
            let open = self.calls.iter().filter(|it| it.identity == call.identity && it.left);
            let open: Vec<Ticket> = open.map(|it| it.ticket).collect();
            assert!(open.is_empty(), "{ticket:?} granted beside {open:?}, seed {seed:#x}");
        }
        if let Verdict::Done(_) = verdict {
            let ran = self.executed.contains_key(&call.identity);
            assert!(ran, "{ticket:?} told of an answer that nobody gave, seed {seed:#x}");
        }
        let granted = matches!(verdict, Verdict::Granted { .. });
        let (daemon, identity) = (call.daemon, call.identity.clone());
        let call = &mut self.calls[ticket.0 as usize];
        call.told = Some(verdict);
        match (call.stage, granted) {
            (Stage::Waiting, true) => {
                call.stage = Stage::Granted;
                call.left = true;
            }
            (Stage::Waiting, false) => call.stage = Stage::Ended { not_run: false },
            (Stage::TurnedAway, true) => {
                call.stage = Stage::Ended { not_run: true };
                self.input(daemon, Input::End(identity, Step::NotRun));
            }
            _ => {}
        }
    }

    /// The platform takes a call, refuses it, or loses the answer.
    fn platform_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let waiting: Vec<usize> = self.flight_numbers(|it| it.answer.is_none());
        if waiting.is_empty() {
            return Ok(());
        }
        let number = *u.choose(&waiting)?;
        let action = self.flights[number].action.clone();
        let lost = store::Error::NoAnswer { detail: "lost".to_owned() };
        let refused = store::Error::Refused { status: 503, detail: "down".to_owned() };
        let answer = match u.int_in_range(0..=9u8)? {
            0 => failed(&action, refused),
            1 => {
                self.carry_out(&action);
                failed(&action, lost)
            }
            2 => {
                // The caller hears nothing; the call itself arrives later.
                let late =
                    Flight { daemon: 0, incarnation: 0, action: action.clone(), answer: None };
                self.flights.push(late);
                failed(&action, lost)
            }
            _ => self.carry_out(&action),
        };
        self.flights[number].answer = Some(answer);
        Ok(())
    }

    fn answer_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ready: Vec<usize> = self.flight_numbers(|it| it.answer.is_some());
        if !ready.is_empty() {
            let number = *u.choose(&ready)?;
            self.deliver(number);
        }
        Ok(())
    }

    /// A granted call reaches the endpoint, or ends.
    fn call_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<usize> = (0..self.calls.len())
            .filter(|it| matches!(self.calls[*it].stage, Stage::Granted | Stage::Sent))
            .collect();
        if open.is_empty() {
            return Ok(());
        }
        let number = *u.choose(&open)?;
        let refused = u.ratio(1, 4u8)?;
        let silent = u.ratio(1, 4u8)?;
        match self.calls[number].stage {
            Stage::Granted if refused => self.end(number, Step::NotRun),
            Stage::Granted => self.execute(number),
            _ if silent => self.end(number, Step::Unknown),
            _ => self.end(number, Step::Done(answer(self.calls[number].ticket))),
        }
        Ok(())
    }

    fn execute(&mut self, number: usize) {
        let call = &mut self.calls[number];
        call.stage = Stage::Sent;
        self.executed.entry(call.identity.clone()).or_default().push(call.ticket);
    }

    fn end(&mut self, number: usize, step: Step) {
        let call = &mut self.calls[number];
        if self.daemons[call.daemon].paused {
            return;
        }
        call.stage = Stage::Ended { not_run: step == Step::NotRun };
        call.left = step != Step::NotRun;
        let (daemon, identity) = (call.daemon, call.identity.clone());
        if self.daemons[daemon].holder.incarnation == call.incarnation {
            self.input(daemon, Input::End(identity, step));
        }
    }

    fn end_all(&mut self) {
        for number in 0..self.calls.len() {
            if self.calls[number].stage == Stage::Granted {
                self.execute(number);
            }
            if self.calls[number].stage == Stage::Sent {
                self.end(number, Step::Done(answer(self.calls[number].ticket)));
            }
        }
        self.settle();
    }

    /// The dispatcher turns away who waited too long.
    fn turn_away(&mut self) {
        let now = self.now;
        let late = |it: &&mut Call| it.stage == Stage::Waiting && now - it.asked >= RECORD_TIMEOUT;
        let awake: Vec<bool> = self.daemons.iter().map(|it| !it.paused).collect();
        let late = self.calls.iter_mut().filter(late).filter(|it| awake[it.daemon]);
        let late: Vec<(usize, Ticket)> = late
            .map(|call| {
                call.stage = Stage::TurnedAway;
                (call.daemon, call.ticket)
            })
            .collect();
        for (daemon, ticket) in late {
            self.input(daemon, Input::Withdraw(ticket));
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

    /// The process dies. What it had sent may still arrive.
    fn restart(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].holder.incarnation + 1;
        self.daemons[daemon] = Daemon::new(daemon, incarnation);
    }

    fn carry_out(&self, action: &Action) -> Input {
        match action {
            Action::ReadHead(key) => Input::HeadRead(self.memory.read(key)),
            Action::ReadBatches(prefix) => Input::BatchesRead(self.memory.scan(prefix, "", 10_000)),
            Action::Commit(transaction) => Input::Committed(self.memory.commit(transaction)),
            Action::ReadSnapshot(name) => Input::SnapshotRead(self.memory.get(name)),
            Action::WriteSnapshot { name, content } => {
                Input::SnapshotWritten(name.clone(), self.memory.put(name, content))
            }
            Action::DeleteSnapshot(name) => {
                let _ = self.memory.delete(name);
                Input::Tick
            }
            _ => unreachable!("not for the platform"),
        }
    }

    /// Everything under way arrives, in order, without faults.
    fn settle(&mut self) {
        for _ in 0..1_000 {
            if self.flights.is_empty() {
                break;
            }
            if self.flights[0].answer.is_none() {
                self.flights[0].answer = Some(self.carry_out(&self.flights[0].action));
            }
            self.deliver(0);
        }
        assert!(self.flights.is_empty(), "it never settles, seed {:#x}", self.seed);
        for daemon in 0..self.daemons.len() {
            self.input(daemon, Input::Tick);
        }
    }

    fn deliver(&mut self, number: usize) {
        let flight = self.flights.swap_remove(number);
        let is_there = self.daemons[flight.daemon].holder.incarnation == flight.incarnation;
        if let Some(answer) = flight.answer
            && is_there
        {
            self.input(flight.daemon, answer);
        }
    }

    fn flight_numbers(&self, wanted: impl Fn(&Flight) -> bool) -> Vec<usize> {
        (0..self.flights.len()).filter(|it| wanted(&self.flights[*it])).collect()
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
        let shard =
            Shard::new(ShardId(0), holder.clone(), seed, chart()).compacting_after(COMPACT_ROWS);
        Daemon { holder, shard, paused: false, released: false, inbox: Vec::new() }
    }
}

fn failed(action: &Action, error: store::Error) -> Input {
    match action {
        Action::ReadHead(_) => Input::HeadRead(Err(error)),
        Action::ReadBatches(_) => Input::BatchesRead(Err(error)),
        Action::ReadSnapshot(_) => Input::SnapshotRead(Err(error)),
        Action::WriteSnapshot { name, .. } => Input::SnapshotWritten(name.clone(), Err(error)),
        Action::DeleteSnapshot(_) => Input::Tick,
        _ => Input::Committed(Err(error)),
    }
}

fn chart() -> Rc<Chart> {
    let text = include_str!("../../../lentilhook/charts/lease.json");
    Rc::new(Chart::parse("charts/lease.json", text).unwrap())
}

fn key_identity(key: usize) -> Identity {
    Identity::of(&format!("key {key}"))
}

fn answer(ticket: Ticket) -> Answer {
    Answer { status: 200, media_type: String::new(), body: Body::Text(format!("{ticket:?}")) }
}
