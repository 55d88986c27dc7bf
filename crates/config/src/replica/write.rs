//! Writing operators' changes: one at a time, accepted only when the write is
//! known to have taken effect.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use store::table::ABSENT;
use store::table::Check;
use store::table::Commit;
use store::table::Put;
use store::table::Row;
use store::table::Transaction;

use crate::Error;
use crate::change::Change;
use crate::log;
use crate::log::Entry;
use crate::log::HEAD_KEY;
use crate::log::entry_key;
use crate::replica::ACCEPT_FANOUT;
use crate::replica::Action;
use crate::replica::Head;
use crate::replica::Replica;
use crate::replica::Ticket;
use crate::replica::message::Message;
use crate::replica::snapshot;
use crate::replica::snapshot::Snapshot;

/// Time after which an operator is told that the fate of a change is unknown,
/// or that nothing was changed.
pub const GIVE_UP: Duration = Duration::from_secs(8);
/// Times that a change that lost a race is checked and written again.
const REWRITES: u32 = 10;

/// An operator's change that waits for its turn.
#[derive(Clone, Debug)]
pub struct Waiting {
    ticket: Ticket,
    change: Change,
    since: Instant,
    rewrites: u32,
}

/// The change that is being written.
#[derive(Clone, Debug)]
pub struct Writing {
    waiting: Waiting,
    entry: Entry,
    transaction: Transaction,
    since: Instant,
    /// Whether a send may have taken effect without an answer.
    uncertain: bool,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A commit or read is under way.
    Asked,
    /// The commit is to be sent again.
    Resend,
    /// The change row is to be read again.
    Reread,
}

impl Replica {
    pub(super) fn change(&mut self, now: Instant, ticket: Ticket, change: Change) {
        self.waiting.push_back(Waiting { ticket, change, since: now, rewrites: 0 });
        if self.writing.is_none() {
            // The newest state decides who loses a race, so it is read first.
            self.read(now);
        }
    }

    /// Writes the next waiting change, if the head row is known.
    pub(super) fn write_next(&mut self, now: Instant) {
        while self.writing.is_none() {
            let Some(head) = self.head else { return };
            if head.revision != self.catalog.revision {
                return;
            }
            let Some(waiting) = self.waiting.pop_front() else { return };
            match self.catalog.check(&waiting.change) {
                Ok(()) => self.write(now, waiting, head),
                Err(error) => self.tell(waiting.ticket, Err(error)),
            }
        }
    }

    pub(super) fn committed(
        &mut self,
        now: Instant,
        token: u64,
        result: Result<Commit, store::Error>,
    ) {
        let Some(mut writing) = self.take_writing(token) else { return };
        match result {
            Ok(Commit::Done { version }) => {
                self.head = Some(Head { revision: writing.entry.revision, version });
                self.accept(&writing);
                self.write_next(now);
            }
            // Another change came first, or this one did and its answer was lost.
            Ok(Commit::Conflict { .. }) => {
                let key = entry_key(writing.entry.revision);
                self.actions.push(Action::ReadEntry(token, key));
                self.writing = Some(writing);
            }
            Err(error) => {
                writing.uncertain |= !matches!(error, store::Error::Refused { .. });
                writing.phase = Phase::Resend;
                self.writing = Some(writing);
            }
        }
    }

    /// Invariant: after a conflict no send of this commit can take effect any
    /// more, since versions only grow; so the row that is read is final.
    pub(super) fn entry_read(
        &mut self,
        now: Instant,
        token: u64,
        result: Result<Row, store::Error>,
    ) {
        let Some(mut writing) = self.take_writing(token) else { return };
        let Ok(row) = result else {
            writing.phase = Phase::Reread;
            self.writing = Some(writing);
            return;
        };
        self.head = None;
        match serde_json::from_str::<Entry>(&row.value) {
            Ok(entry) if entry.token == token => self.accept(&writing),
            Ok(_) => self.write_again(writing),
            Err(_) if row.version == ABSENT && !writing.uncertain => self.write_again(writing),
            Err(error) => {
                let key = &row.key;
                self.report(format!("change row {key} can't be read ({error}); restore it"));
                self.give_up(&writing);
            }
        }
        self.read(now);
    }

    /// Sends again what had no answer, until it is too late for the operator.
    pub(super) fn advance_write(&mut self, now: Instant) {
        let Some(mut writing) = self.writing.take() else { return };
        let token = writing.entry.token;
        if writing.phase != Phase::Asked && now.duration_since(writing.since) >= GIVE_UP {
            self.head = None;
            self.give_up(&writing);
            return self.read(now);
        }
        match writing.phase {
            Phase::Asked => {}
            Phase::Resend => {
                self.actions.push(Action::Commit(token, writing.transaction.clone()));
            }
            Phase::Reread => {
                let key = entry_key(writing.entry.revision);
                self.actions.push(Action::ReadEntry(token, key));
            }
        }
        writing.phase = Phase::Asked;
        self.writing = Some(writing);
    }

    /// The table can't be read: without an answer there is still time to try
    /// again.
    pub(super) fn read_failed(&mut self, now: Instant, error: &store::Error) {
        let in_time = |it: &Waiting| now.duration_since(it.since) < GIVE_UP;
        if matches!(error, store::Error::NoAnswer { .. }) && self.waiting.iter().all(in_time) {
            return;
        }
        self.refuse_waiting(&error.to_string());
    }

    pub(super) fn refuse_waiting(&mut self, detail: &str) {
        for waiting in std::mem::take(&mut self.waiting) {
            let detail = detail.to_owned();
            self.tell(waiting.ticket, Err(Error::Unavailable { detail }));
        }
    }

    fn write(&mut self, now: Instant, waiting: Waiting, head: Head) {
        self.next_token = self.next_token.wrapping_add(1);
        let token = self.next_token;
        let revision = head.revision + 1;
        let entry = Entry { revision, token, edit: waiting.change.edit.clone() };
        let check = |key: String, version: u64| Check { key, version };
        let transaction = Transaction {
            checks: vec![
                check(HEAD_KEY.to_owned(), head.version),
                check(entry_key(revision), ABSENT),
            ],
            puts: vec![
                json_put(HEAD_KEY, &log::Head { revision }),
                json_put(&entry_key(revision), &entry),
            ],
            deletes: Vec::new(),
        };
        self.actions.push(Action::Commit(token, transaction.clone()));
        self.writing = Some(Writing {
            waiting,
            entry,
            transaction,
            since: now,
            uncertain: false,
            phase: Phase::Asked,
        });
    }

    /// The entry is in the table: it is in force here and told to peers before
    /// the operator hears of it.
    fn accept(&mut self, writing: &Writing) {
        let entry = writing.entry.clone();
        let revision = entry.revision;
        self.apply(&entry);
        self.actions.push(Action::Spread(Message::Entries(vec![entry]), ACCEPT_FANOUT));
        if revision.is_multiple_of(snapshot::INTERVAL) {
            match Snapshot::new(&self.catalog) {
                Ok(snapshot) => self.actions.push(Action::SaveSnapshot(snapshot)),
                Err(error) => self.report(format!("no snapshot: {error}; report this fault")),
            }
        }
        self.tell(writing.waiting.ticket, Ok(revision));
    }

    fn write_again(&mut self, writing: Writing) {
        let mut waiting = writing.waiting;
        waiting.rewrites += 1;
        if waiting.rewrites < REWRITES {
            return self.waiting.push_front(waiting);
        }
        let detail = "other changes came first each time".to_owned();
        self.tell(waiting.ticket, Err(Error::Unavailable { detail }));
    }

    fn give_up(&mut self, writing: &Writing) {
        let error = if writing.uncertain {
            Error::Unknown { name: writing.entry.edit.object().to_string() }
        } else {
            Error::Unavailable { detail: "the table refuses writes".to_owned() }
        };
        self.tell(writing.waiting.ticket, Err(error));
    }

    fn take_writing(&mut self, token: u64) -> Option<Writing> {
        self.writing.take_if(|writing| writing.entry.token == token)
    }

    fn tell(&mut self, ticket: Ticket, result: Result<u64, Error>) {
        self.actions.push(Action::Tell(ticket, result));
    }
}

fn json_put(key: &str, value: &impl Serialize) -> Put {
    Put { key: key.to_owned(), value: serde_json::to_string(value).unwrap_or_default() }
}
