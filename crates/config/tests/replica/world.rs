//! Simulation of replicas, a table and the faults between them.

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
use config::replica::Stream;
use config::replica::TICK_INTERVAL;
use config::replica::Ticket;
use config::replica::message::Message;
use store::memory::Memory;
use store::table::Put;
use store::table::Table;
use store::table::Transaction;

const PAUSE: Duration = Duration::from_secs(20);
const RECOVERY_ROUNDS: usize = 60;

/// A call, result or message in transit.
enum Transit {
    TableCall(usize, Action),
    TableResult(usize, Input),
    Message { from: usize, to: usize, message: Message },
    LateCommit(Transaction),
}

/// All replicas, the table, and the traffic between them.
pub struct World {
    /// Faults reported by the replicas.
    pub reports: Vec<String>,
    memory: Memory,
    replicas: Vec<Replica>,
    clocks: Vec<Instant>,
    in_transit: Vec<Transit>,
    history: Vec<Catalog>,
    changes: BTreeMap<u64, Change>,
    results: BTreeMap<u64, std::result::Result<u64, Error>>,
    interrupted: BTreeSet<u64>,
    table_down: bool,
    next_seed: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Refused,
    RequestLost,
    ResponseLost,
    Late,
    Twice,
}

impl World {
    /// Creates newly started replicas with an empty table.
    pub fn new(replicas: usize) -> World {
        let now = Instant::now();
        World {
            reports: Vec::new(),
            memory: Memory::default(),
            replicas: (0..replicas).map(|it| Replica::new((it as u64) << 32, now)).collect(),
            clocks: vec![now; replicas],
            in_transit: Vec::new(),
            history: vec![Catalog::default()],
            changes: BTreeMap::new(),
            results: BTreeMap::new(),
            interrupted: BTreeSet::new(),
            table_down: false,
            next_seed: replicas as u64,
        }
    }

    /// Executes one event, chosen at random.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(self.replicas.len())?;
        match u.int_in_range(0..=40)? {
            0..=2 => self.change(at, u.int_in_range(0..=1)?, u.ratio(1, 4)?),
            3..=9 => self.tick(at),
            10 if u.ratio(1, 3)? => self.clocks[at] += PAUSE,
            11 if u.ratio(1, 5)? => self.restart(at),
            12 => self.table_down = !self.table_down,
            _ if self.in_transit.is_empty() => self.tick(at),
            _ => {
                let fault = *u.choose(&[
                    Fault::None,
                    Fault::None,
                    Fault::None,
                    Fault::Refused,
                    Fault::RequestLost,
                    Fault::ResponseLost,
                    Fault::Late,
                    Fault::Twice,
                ])?;
                let transit = self.in_transit.swap_remove(u.choose_index(self.in_transit.len())?);
                self.deliver(transit, fault);
            }
        }
        Ok(())
    }

    /// Ends all faults and runs until the replicas should have converged.
    pub fn recover(&mut self) {
        self.table_down = false;
        self.run_rounds(RECOVERY_ROUNDS);
    }

    /// Takes the table down and runs rounds until changes should have spread between the peers.
    pub fn run_outage(&mut self) {
        self.table_down = true;
        self.run_rounds(14);
    }

    /// Repeats `rounds` times: delivers everything in transit and ticks all
    /// replicas.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            while let Some(transit) = self.in_transit.pop() {
                self.deliver(transit, Fault::None);
            }
            (0..self.replicas.len()).for_each(|at| self.tick(at));
        }
    }

    /// Commits a change on one replica, then takes the table down. Returns the
    /// revision of the change.
    pub fn accept_then_outage(&mut self, at: usize) -> u64 {
        self.change(at, 0, false);
        while self.results.is_empty() {
            let next = self.in_transit.iter().position(|it| !matches!(it, Transit::Message { .. }));
            let transit = self.in_transit.swap_remove(next.expect("a result in transit"));
            self.deliver(transit, Fault::None);
        }
        self.table_down = true;
        self.history.len() as u64 - 1
    }

    /// Overwrites a row with a value that can't be decoded, and ends the outage.
    pub fn corrupt(&mut self, key: &str) {
        let put = Put { key: key.to_owned(), value: "{}".to_owned() };
        let transaction = Transaction { puts: vec![put], ..Transaction::default() };
        self.memory.commit(&transaction).expect("memory accepts commits");
        self.table_down = false;
    }

    /// Restarts a process. Messages and commits that it had sent still arrive.
    pub fn restart(&mut self, at: usize) {
        self.next_seed += 1;
        self.replicas[at] = Replica::new(self.next_seed << 32, self.clocks[at]);
        for transit in std::mem::take(&mut self.in_transit) {
            match transit {
                Transit::TableResult(to, _) if to == at => {}
                // A commit still arrives after the process that sent it has ended.
                Transit::TableCall(from, Action::Commit(_, transaction)) if from == at => {
                    self.in_transit.push(Transit::LateCommit(transaction));
                }
                Transit::TableCall(from, _) if from == at => {}
                other => self.in_transit.push(other),
            }
        }
        let unfinished = self.changes.keys().filter(|it| *it % 8 == at as u64);
        self.interrupted.extend(unfinished.filter(|it| !self.results.contains_key(it)));
    }

    /// Restarts all processes and drops everything in transit.
    pub fn restart_all(&mut self) {
        self.in_transit.clear();
        (0..self.replicas.len()).for_each(|at| self.restart(at));
    }

    /// Returns the revision in force on each replica.
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

    /// Checks that all replicas agree with the table and that the results of all
    /// changes are correct.
    pub fn check_convergence(&self) {
        assert_eq!(self.revisions(), vec![self.history.len() as u64 - 1; self.replicas.len()]);
        assert!(self.all_ready(), "not ready after recovery");
        assert_eq!(self.reports, Vec::<String>::new());
        for (ticket, change) in &self.changes {
            let written = self.entries().iter().filter(|it| it.edit == change.edit).count();
            match self.results.get(ticket) {
                Some(Ok(_)) => assert_eq!(written, 1, "accepted change {ticket}"),
                Some(Err(Error::Unknown { .. })) => assert!(written <= 1, "change {ticket}"),
                Some(Err(error)) => assert_eq!(written, 0, "change {ticket} failed: {error}"),
                None => {
                    assert!(
                        self.interrupted.contains(ticket) && written <= 1,
                        "no result for change {ticket}"
                    );
                }
            }
        }
    }

    fn change(&mut self, at: usize, name: u8, conflicting: bool) {
        let ticket = self.changes.len() as u64 * 8 + at as u64;
        let name = format!("workspace-{name}");
        // Changes are distinguished by their share.
        let share = ticket as u32 + 1;
        let workspace = Workspace { name, token_sha256: Vec::new(), share };
        let edit = Edit::PutWorkspace(workspace);
        let known = self.replicas[at].catalog().revision_of(&edit.object_key());
        let change = Change { edit, expected_revision: known + u64::from(conflicting) };
        self.changes.insert(ticket, change.clone());
        self.handle(at, Input::Change(Ticket(ticket), change));
    }

    fn tick(&mut self, at: usize) {
        self.clocks[at] += TICK_INTERVAL;
        self.handle(at, Input::Tick);
        // Gossip reports the revisions of other daemons.
        let other = (at + self.in_transit.len()) % self.replicas.len();
        let revision = self.replicas[other].catalog().revision;
        self.handle(at, Input::PeerRevision { revision, peer: other.to_string() });
    }

    fn handle(&mut self, at: usize, input: Input) {
        let previous = self.replicas[at].catalog().revision;
        let actions = self.replicas[at].handle(self.clocks[at], input);
        let catalog = self.replicas[at].catalog();
        assert!(catalog.revision >= previous, "replica {at} regressed");
        let expected = self.history.get(catalog.revision as usize).expect("a written revision");
        assert_eq!(**catalog, *expected, "replica {at}");
        for action in actions {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Complete(Ticket(ticket), result) => self.complete(ticket, result),
            Action::Publish | Action::Ready(_) | Action::SaveSnapshot(_) => {}
            Action::Push(message, fanout) => {
                (1..=fanout).for_each(|it| self.send(at, at + it, &message));
            }
            Action::Query(Some(peer), message) => {
                self.send(at, peer.parse().expect("an index"), &message);
            }
            Action::Query(None, message) => (1..=2).for_each(|it| self.send(at, at + it, &message)),
            Action::Reply(Stream(to), message) => self.send(at, to as usize, &message),
            Action::Report(text) => self.reports.push(text),
            call => self.in_transit.push(Transit::TableCall(at, call)),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let to = to % self.replicas.len();
        self.in_transit.push(Transit::Message { from, to, message: message.clone() });
    }

    fn complete(&mut self, ticket: u64, result: std::result::Result<u64, Error>) {
        if let Ok(revision) = result {
            let entries = self.entries();
            let entry = entries.iter().find(|it| it.revision == revision).expect("in the table");
            assert_eq!(entry.edit, self.changes[&ticket].edit, "result belongs to another change");
        }
        assert!(self.results.insert(ticket, result).is_none(), "two results for one change");
    }

    fn deliver(&mut self, transit: Transit, fault: Fault) {
        match transit {
            Transit::TableCall(at, action) => self.call(at, action, fault),
            Transit::TableResult(at, input) => self.handle(at, input),
            Transit::Message { .. } if matches!(fault, Fault::RequestLost | Fault::Refused) => {}
            Transit::Message { from, to, message } => {
                if fault == Fault::Twice {
                    self.send(from, to, &message);
                }
                self.handle(to, Input::Received(Stream(from as u64), message));
            }
            Transit::LateCommit(transaction) => self.commit(&transaction),
        }
    }

    /// Executes a table call unless a fault prevents it.
    fn call(&mut self, at: usize, action: Action, fault: Fault) {
        let fault = if self.table_down { Fault::Refused } else { fault };
        let failure = match fault {
            Fault::Refused => {
                Some(store::Error::Refused { status: 503, detail: "down".to_owned() })
            }
            Fault::RequestLost | Fault::ResponseLost | Fault::Late => {
                Some(store::Error::NoResponse { detail: "lost".to_owned() })
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
                let takes_effect =
                    matches!(fault, Fault::None | Fault::ResponseLost | Fault::Twice);
                let result = takes_effect.then(|| self.memory.commit(&transaction));
                self.record_history();
                if matches!(fault, Fault::Late | Fault::Twice) {
                    self.in_transit.push(Transit::LateCommit(transaction));
                }
                let outcome = match (failure, result) {
                    (Some(error), _) => Err(error),
                    (None, result) => result.expect("executed"),
                };
                Input::Committed(token, outcome)
            }
            other => unreachable!("{other:?} is not a table call"),
        };
        self.in_transit.push(Transit::TableResult(at, input));
    }

    fn commit(&mut self, transaction: &Transaction) {
        self.memory.commit(transaction).expect("memory accepts commits");
        self.record_history();
    }

    /// Records the catalog at each revision in the table. The log may only grow.
    fn record_history(&mut self) {
        let entries = self.entries();
        assert!(entries.len() + 1 >= self.history.len(), "the log was truncated");
        let mut catalog = Catalog::default();
        for (at, entry) in entries.iter().enumerate() {
            assert_eq!(entry.revision, at as u64 + 1);
            let change =
                self.changes.values().find(|it| it.edit == entry.edit).expect("a submitted change");
            let key = entry.edit.object_key();
            assert_eq!(
                change.expected_revision,
                catalog.revision_of(&key),
                "two conflicting changes were committed"
            );
            catalog.apply(&entry.edit, entry.revision);
            match self.history.get(entry.revision as usize) {
                Some(known) => assert_eq!(*known, catalog, "the log was rewritten"),
                None => self.history.push(catalog.clone()),
            }
        }
    }

    fn entries(&self) -> Vec<Entry> {
        let rows = self.memory.scan(ENTRY_PREFIX, "", usize::MAX).expect("memory accepts scans");
        rows.iter().map(|row| serde_json::from_str(&row.value).expect("valid rows")).collect()
    }
}
