//! Replicas, a table, and everything between them that can go wrong.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use config::Error;
use config::catalog::Catalog;
use config::change::Change;
use config::change::Edit;
use config::log::ENTRY_PREFIX;
use config::log::Entry;
use config::object::Workspace;
use config::replica::Action;
use config::replica::Input;
use config::replica::Replica;
use config::replica::ReplyTo;
use config::replica::TICK;
use config::replica::Ticket;
use config::replica::message::Message;
use store::memory::Memory;
use store::table::Put;
use store::table::Table;
use store::table::Transaction;

const FREEZE: Duration = Duration::from_secs(20);
const ROUNDS: usize = 60;

/// Something under way.
enum Flight {
    Table(usize, Action),
    Answer(usize, Input),
    Message { from: usize, to: usize, message: Message },
    LateCommit(Transaction),
}

/// All replicas and what is between them.
pub struct World {
    /// What was reported.
    pub reports: Vec<String>,
    memory: Memory,
    replicas: Vec<Replica>,
    clocks: Vec<Instant>,
    flights: Vec<Flight>,
    history: Vec<Catalog>,
    asked: BTreeMap<u64, Change>,
    told: BTreeMap<u64, std::result::Result<u64, Error>>,
    lost: BTreeSet<u64>,
    down: bool,
    seeds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Refused,
    LostBefore,
    LostAfter,
    Late,
    Twice,
}

impl World {
    /// Replicas that have just started, before an empty table.
    pub fn new(replicas: usize) -> World {
        let now = Instant::now();
        World {
            reports: Vec::new(),
            memory: Memory::default(),
            replicas: (0..replicas).map(|it| Replica::new((it as u64) << 32, now)).collect(),
            clocks: vec![now; replicas],
            flights: Vec::new(),
            history: vec![Catalog::default()],
            asked: BTreeMap::new(),
            told: BTreeMap::new(),
            lost: BTreeSet::new(),
            down: false,
            seeds: replicas as u64,
        }
    }

    /// One event, chosen at random.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(self.replicas.len())?;
        match u.int_in_range(0..=40)? {
            0..=2 => self.change(at, u.int_in_range(0..=1)?, u.ratio(1, 4)?),
            3..=9 => self.tick(at),
            10 if u.ratio(1, 3)? => self.clocks[at] += FREEZE,
            11 if u.ratio(1, 5)? => self.restart(at),
            12 => self.down = !self.down,
            _ if self.flights.is_empty() => self.tick(at),
            _ => {
                let fault = *u.choose(&[
                    Fault::None,
                    Fault::None,
                    Fault::None,
                    Fault::Refused,
                    Fault::LostBefore,
                    Fault::LostAfter,
                    Fault::Late,
                    Fault::Twice,
                ])?;
                let flight = self.flights.swap_remove(u.choose_index(self.flights.len())?);
                self.fly(flight, fault);
            }
        }
        Ok(())
    }

    /// Ends all faults and lets everything settle.
    pub fn heal(&mut self) {
        self.down = false;
        self.run_rounds(ROUNDS);
    }

    /// Lets everything settle while the table is down.
    pub fn settle_in_outage(&mut self) {
        self.down = true;
        self.run_rounds(14);
    }

    /// Delivers everything and ticks all replicas, some times.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            while let Some(flight) = self.flights.pop() {
                self.fly(flight, Fault::None);
            }
            (0..self.replicas.len()).for_each(|at| self.tick(at));
        }
    }

    /// Lets one daemon accept a change, after which the table is down.
    pub fn accept_then_outage(&mut self, at: usize) -> u64 {
        self.change(at, 0, false);
        while self.told.is_empty() {
            let next = self.flights.iter().position(|it| !matches!(it, Flight::Message { .. }));
            let flight = self.flights.swap_remove(next.expect("an answer under way"));
            self.fly(flight, Fault::None);
        }
        self.down = true;
        self.history.len() as u64 - 1
    }

    /// Overwrites a row with what is no such row, and ends the outage.
    pub fn damage(&mut self, key: &str) {
        let put = Put { key: key.to_owned(), value: "{}".to_owned() };
        let transaction = Transaction { puts: vec![put], ..Transaction::default() };
        self.memory.commit(&transaction).expect("memory takes commits");
        self.down = false;
    }

    /// Replaces a process; what it had sent still arrives.
    pub fn restart(&mut self, at: usize) {
        self.seeds += 1;
        self.replicas[at] = Replica::new(self.seeds << 32, self.clocks[at]);
        for flight in std::mem::take(&mut self.flights) {
            match flight {
                Flight::Answer(to, _) if to == at => {}
                // The process is gone, its commit still arrives.
                Flight::Table(from, Action::Commit(_, transaction)) if from == at => {
                    self.flights.push(Flight::LateCommit(transaction));
                }
                Flight::Table(from, _) if from == at => {}
                other => self.flights.push(other),
            }
        }
        let open = self.asked.keys().filter(|it| *it % 8 == at as u64);
        self.lost.extend(open.filter(|it| !self.told.contains_key(it)));
    }

    /// Replaces all processes and loses what was under way.
    pub fn restart_all(&mut self) {
        self.flights.clear();
        (0..self.replicas.len()).for_each(|at| self.restart(at));
    }

    /// Revision in force on each replica.
    pub fn revisions(&self) -> Vec<u64> {
        self.replicas.iter().map(|it| it.catalog().revision).collect()
    }

    /// Whether all replicas are ready.
    pub fn all_ready(&self) -> bool {
        self.replicas.iter().all(Replica::is_ready)
    }

    /// Whether any replica is ready.
    pub fn any_ready(&self) -> bool {
        self.replicas.iter().any(Replica::is_ready)
    }

    /// Checks that everyone agrees with the table and was told the truth.
    pub fn check_end(&self) {
        assert_eq!(self.revisions(), vec![self.history.len() as u64 - 1; self.replicas.len()]);
        assert!(self.all_ready(), "not ready after healing");
        assert_eq!(self.reports, Vec::<String>::new());
        for (ticket, change) in &self.asked {
            let written = self.entries().iter().filter(|it| it.edit == change.edit).count();
            match self.told.get(ticket) {
                Some(Ok(_)) => assert_eq!(written, 1, "accepted change {ticket}"),
                Some(Err(Error::Unknown { .. })) => assert!(written <= 1, "change {ticket}"),
                Some(Err(error)) => assert_eq!(written, 0, "change {ticket} refused: {error}"),
                None => assert!(self.lost.contains(ticket) && written <= 1, "untold {ticket}"),
            }
        }
    }

    fn change(&mut self, at: usize, name: u8, wrong: bool) {
        let ticket = self.asked.len() as u64 * 8 + at as u64;
        let name = format!("workspace-{name}");
        // The share tells changes apart.
        let share = ticket as u32 + 1;
        let workspace = Workspace { name, token_sha256: Vec::new(), share };
        let edit = Edit::PutWorkspace(workspace);
        let known = self.replicas[at].catalog().revision_of(&edit.object());
        let change = Change { edit, expected_revision: known + u64::from(wrong) };
        self.asked.insert(ticket, change.clone());
        self.handle(at, Input::Change(Ticket(ticket), change));
    }

    fn tick(&mut self, at: usize) {
        self.clocks[at] += TICK;
        self.handle(at, Input::Tick);
        // As gossip does.
        let other = (at + self.flights.len()) % self.replicas.len();
        let revision = self.replicas[other].catalog().revision;
        self.handle(at, Input::Heard { revision, peer: other.to_string() });
    }

    fn handle(&mut self, at: usize, input: Input) {
        let before = self.replicas[at].catalog().revision;
        let actions = self.replicas[at].handle(self.clocks[at], input);
        let catalog = self.replicas[at].catalog();
        assert!(catalog.revision >= before, "replica {at} went back");
        let truth = self.history.get(catalog.revision as usize).expect("a written revision");
        assert_eq!(**catalog, *truth, "replica {at}");
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Tell(Ticket(ticket), result) => self.tell(ticket, result),
            Action::Publish | Action::Ready(_) | Action::SaveSnapshot(_) => {}
            Action::Spread(message, fanout) => {
                (1..=fanout).for_each(|it| self.send(at, at + it, &message));
            }
            Action::Ask(Some(peer), message) => {
                self.send(at, peer.parse().expect("an index"), &message);
            }
            Action::Ask(None, message) => (1..=2).for_each(|it| self.send(at, at + it, &message)),
            Action::Reply(ReplyTo(to), message) => self.send(at, to as usize, &message),
            Action::Report(text) => self.reports.push(text),
            table => self.flights.push(Flight::Table(at, table)),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let to = to % self.replicas.len();
        self.flights.push(Flight::Message { from, to, message: message.clone() });
    }

    fn tell(&mut self, ticket: u64, result: std::result::Result<u64, Error>) {
        if let Ok(revision) = result {
            let entries = self.entries();
            let entry = entries.iter().find(|it| it.revision == revision).expect("in the table");
            assert_eq!(entry.edit, self.asked[&ticket].edit, "accepted another's change");
        }
        assert!(self.told.insert(ticket, result).is_none(), "told twice");
    }

    fn fly(&mut self, flight: Flight, fault: Fault) {
        match flight {
            Flight::Table(at, action) => self.call(at, action, fault),
            Flight::Answer(at, input) => self.handle(at, input),
            Flight::Message { .. } if matches!(fault, Fault::LostBefore | Fault::Refused) => {}
            Flight::Message { from, to, message } => {
                if fault == Fault::Twice {
                    self.send(from, to, &message);
                }
                self.handle(to, Input::Received(ReplyTo(from as u64), message));
            }
            Flight::LateCommit(transaction) => self.commit(&transaction),
        }
    }

    /// Carries a call of the table out, unless a fault comes before it.
    fn call(&mut self, at: usize, action: Action, fault: Fault) {
        let fault = if self.down { Fault::Refused } else { fault };
        let failure = match fault {
            Fault::Refused => {
                Some(store::Error::Refused { status: 503, detail: "down".to_owned() })
            }
            Fault::LostBefore | Fault::LostAfter | Fault::Late => {
                Some(store::Error::NoAnswer { detail: "lost".to_owned() })
            }
            Fault::None | Fault::Twice => None,
        };
        let input = match action {
            Action::ReadHead => {
                Input::HeadRead(failure.map_or_else(|| self.memory.read("config/head"), Err))
            }
            Action::ReadEntries(after) => {
                let read = || self.memory.scan(ENTRY_PREFIX, &after, 3);
                Input::EntriesRead(failure.map_or_else(read, Err))
            }
            Action::ReadSnapshot => Input::SnapshotRead(failure.map_or(Ok(None), Err)),
            Action::ReadEntry(token, key) => {
                Input::EntryRead(token, failure.map_or_else(|| self.memory.read(&key), Err))
            }
            Action::Commit(token, transaction) => {
                let effect = matches!(fault, Fault::None | Fault::LostAfter | Fault::Twice);
                let result = effect.then(|| self.memory.commit(&transaction));
                self.learn();
                if matches!(fault, Fault::Late | Fault::Twice) {
                    self.flights.push(Flight::LateCommit(transaction));
                }
                let answer = match (failure, result) {
                    (Some(error), _) => Err(error),
                    (None, result) => result.expect("carried out"),
                };
                Input::Committed(token, answer)
            }
            other => unreachable!("{other:?} is no call of the table"),
        };
        self.flights.push(Flight::Answer(at, input));
    }

    fn commit(&mut self, transaction: &Transaction) {
        self.memory.commit(transaction).expect("memory takes commits");
        self.learn();
    }

    /// Keeps what the table says at each revision; it may only grow.
    fn learn(&mut self) {
        let entries = self.entries();
        assert!(entries.len() + 1 >= self.history.len(), "the log was cut");
        let mut catalog = Catalog::default();
        for (at, entry) in entries.iter().enumerate() {
            assert_eq!(entry.revision, at as u64 + 1);
            let change = self.asked.values().find(|it| it.edit == entry.edit).expect("asked");
            let name = entry.edit.object();
            assert_eq!(change.expected_revision, catalog.revision_of(&name), "both racers won");
            catalog.apply(&entry.edit, entry.revision);
            match self.history.get(entry.revision as usize) {
                Some(known) => assert_eq!(*known, catalog, "the log was rewritten"),
                None => self.history.push(catalog.clone()),
            }
        }
    }

    fn entries(&self) -> Vec<Entry> {
        let rows = self.memory.scan(ENTRY_PREFIX, "", usize::MAX).expect("memory takes scans");
        rows.iter().map(|row| serde_json::from_str(&row.value).expect("sound rows")).collect()
    }
}
