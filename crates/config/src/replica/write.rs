//! Writes operators' changes one at a time. A change is accepted only once its
//! write is known to have taken effect.

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

/// How long to wait for the result of a change. Then it fails: as unknown if it
/// may have been committed, otherwise as unavailable.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of times that a change is checked and written before it fails because
/// of conflicts.
const MAX_ATTEMPTS: u32 = 10;

/// An operator's change in the queue.
#[derive(Clone, Debug)]
pub struct Request {
    ticket: Ticket,
    change: Change,
    enqueued_at: Instant,
    conflicts: u32,
}

/// The write in progress.
#[derive(Clone, Debug)]
pub struct Write {
    request: Request,
    entry: Entry,
    transaction: Transaction,
    started_at: Instant,
    /// Whether a commit without a response may have taken effect.
    may_be_committed: bool,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A commit or a read of the change row is in progress.
    InFlight,
    /// The commit must be sent again.
    Resend,
    /// The change row must be read again.
    Reread,
}

impl Replica {
    pub(super) fn enqueue(&mut self, now: Instant, ticket: Ticket, change: Change) {
        self.queue.push_back(Request { ticket, change, enqueued_at: now, conflicts: 0 });
        if self.active_write.is_none() {
            // Whether the change conflicts is decided by the latest state, so it
            // is read first.
            self.start_read(now);
        }
    }

    /// Starts writing the next queued change if the head row is known.
    pub(super) fn write_next(&mut self, now: Instant) {
        while self.active_write.is_none() {
            let Some(head) = self.head else { return };
            if head.revision != self.catalog.revision {
                return;
            }
            let Some(request) = self.queue.pop_front() else { return };
            match self.catalog.check(&request.change) {
                Ok(()) => self.start_write(now, request, head),
                Err(error) => self.complete(request.ticket, Err(error)),
            }
        }
    }

    pub(super) fn commit_completed(
        &mut self,
        now: Instant,
        token: u64,
        result: Result<Commit, store::Error>,
    ) {
        let Some(mut write) = self.take_write(token) else { return };
        match result {
            Ok(Commit::Done { version }) => {
                self.head = Some(Head { revision: write.entry.revision, version });
                self.accept(&write);
                self.write_next(now);
            }
            // Another change was committed first, or this one was committed and
            // the response to an earlier attempt was lost.
            Ok(Commit::Conflict { .. }) => {
                let key = entry_key(write.entry.revision);
                self.actions.push(Action::ReadEntry(token, key));
                self.active_write = Some(write);
            }
            Err(error) => {
                write.may_be_committed |= !matches!(error, store::Error::Refused { .. });
                write.phase = Phase::Resend;
                self.active_write = Some(write);
            }
        }
    }

    /// Resolves a conflict from the change row.
    ///
    /// Invariant: after a conflict, no attempt of this commit can take effect
    /// any more because versions only increase. The row that was read is final.
    pub(super) fn entry_read_completed(
        &mut self,
        now: Instant,
        token: u64,
        result: Result<Row, store::Error>,
    ) {
        let Some(mut write) = self.take_write(token) else { return };
        let Ok(row) = result else {
            write.phase = Phase::Reread;
            self.active_write = Some(write);
            return;
        };
        self.head = None;
        match serde_json::from_str::<Entry>(&row.value) {
            Ok(entry) if entry.token == token => self.accept(&write),
            Ok(_) => self.requeue(write),
            Err(_) if row.version == ABSENT && !write.may_be_committed => self.requeue(write),
            Err(error) => {
                let key = &row.key;
                self.report(format!("change row {key} can't be read ({error}); restore it"));
                self.fail_write(&write);
            }
        }
        self.start_read(now);
    }

    /// Retries the commit or read without a result until [`WRITE_TIMEOUT`].
    pub(super) fn advance_write(&mut self, now: Instant) {
        let Some(mut write) = self.active_write.take() else { return };
        let token = write.entry.token;
        if write.phase != Phase::InFlight && now.duration_since(write.started_at) >= WRITE_TIMEOUT {
            self.head = None;
            self.fail_write(&write);
            return self.start_read(now);
        }
        match write.phase {
            Phase::InFlight => {}
            Phase::Resend => {
                self.actions.push(Action::Commit(token, write.transaction.clone()));
            }
            Phase::Reread => {
                let key = entry_key(write.entry.revision);
                self.actions.push(Action::ReadEntry(token, key));
            }
        }
        write.phase = Phase::InFlight;
        self.active_write = Some(write);
    }

    /// Fails the queued changes when the table can't be read. If the read merely
    /// had no response, they stay queued for a retry until [`WRITE_TIMEOUT`].
    pub(super) fn read_failed(&mut self, now: Instant, error: &store::Error) {
        let has_time_left = |it: &Request| now.duration_since(it.enqueued_at) < WRITE_TIMEOUT;
        if matches!(error, store::Error::NoResponse { .. }) && self.queue.iter().all(has_time_left)
        {
            return;
        }
        self.fail_queued(&error.to_string());
    }

    pub(super) fn fail_queued(&mut self, detail: &str) {
        for request in std::mem::take(&mut self.queue) {
            let detail = detail.to_owned();
            self.complete(request.ticket, Err(Error::Unavailable { detail }));
        }
    }

    fn start_write(&mut self, now: Instant, request: Request, head: Head) {
        self.next_token = self.next_token.wrapping_add(1);
        let token = self.next_token;
        let revision = head.revision + 1;
        let entry = Entry { revision, token, edit: request.change.edit.clone() };
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
        self.active_write = Some(Write {
            request,
            entry,
            transaction,
            started_at: now,
            may_be_committed: false,
            phase: Phase::InFlight,
        });
    }

    /// Completes a write whose entry is in the table. The entry is put in force
    /// here and sent to peers before the operator receives the revision.
    fn accept(&mut self, write: &Write) {
        let entry = write.entry.clone();
        let revision = entry.revision;
        self.apply(&entry);
        self.actions.push(Action::Push(Message::Entries(vec![entry]), ACCEPT_FANOUT));
        if revision.is_multiple_of(snapshot::INTERVAL) {
            match Snapshot::new(&self.catalog) {
                Ok(snapshot) => self.actions.push(Action::SaveSnapshot(snapshot)),
                Err(error) => {
                    self.report(format!("failed to create a snapshot: {error}; report this bug"))
                }
            }
        }
        self.complete(write.request.ticket, Ok(revision));
    }

    fn requeue(&mut self, write: Write) {
        let mut request = write.request;
        request.conflicts += 1;
        if request.conflicts < MAX_ATTEMPTS {
            return self.queue.push_front(request);
        }
        let detail = "other changes came first each time".to_owned();
        self.complete(request.ticket, Err(Error::Unavailable { detail }));
    }

    fn fail_write(&mut self, write: &Write) {
        let error = if write.may_be_committed {
            Error::Unknown { name: write.entry.edit.object_key().to_string() }
        } else {
            Error::Unavailable { detail: "the table refuses writes".to_owned() }
        };
        self.complete(write.request.ticket, Err(error));
    }

    fn take_write(&mut self, token: u64) -> Option<Write> {
        self.active_write.take_if(|write| write.entry.token == token)
    }

    fn complete(&mut self, ticket: Ticket, result: Result<u64, Error>) {
        self.actions.push(Action::Complete(ticket, result));
    }
}

fn json_put(key: &str, value: &impl Serialize) -> Put {
    Put { key: key.to_owned(), value: serde_json::to_string(value).unwrap_or_default() }
}
