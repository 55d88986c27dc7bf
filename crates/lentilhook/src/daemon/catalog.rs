//! Actor that keeps the configuration in force and writes operators' changes.

use std::rc::Rc;
use std::time::Duration;

use admin::error::Code;
use admin::error::Error;
use config::catalog::Catalog;
use config::change::Change;
use config::log::ENTRY_PREFIX;
use config::log::Entry;
use config::log::HEAD_KEY;
use config::log::Head;
use config::log::entry_key;
use platform::table::Check;
use platform::table::Commit;
use platform::table::Put;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker::ret;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::fleet::Fleet;
use crate::daemon::metrics;
use crate::daemon::worker::Worker;

/// Time between two reads of the head row.
const POLL: Duration = Duration::from_secs(2);
/// Pause before a commit without answer is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// Times that a commit without answer is sent again before the operator is
/// told that its fate is unknown.
const RESENDS: u32 = 20;
/// Rows read by one scan.
const SCAN_ROWS: usize = 500;

/// The configuration.
pub struct Configuration {
    catalog: Rc<Catalog>,
    head_version: u64,
    refreshing: bool,
    next_token: u64,
    changes: Vec<Waiting>,
    writing: Option<Writing>,
    worker: Worker,
    dispatch: Actor<Dispatch>,
    fleet: Actor<Fleet>,
    answers: Channel<Answer>,
    _guard: ChannelGuard,
}

/// An operator's change that waits for its turn.
struct Waiting {
    change: Change,
    ret: Ret<Result<u64, Error>>,
}

/// A change that is being written.
struct Writing {
    entry: Entry,
    transaction: Transaction,
    waiting: Waiting,
    resends: u32,
}

/// A platform answer.
enum Answer {
    /// The head row and the entries after the known revision.
    Refreshed(Result<Newer, platform::Error>),
    /// The commit under way.
    Committed(Result<Commit, platform::Error>),
    /// Version of the entry under way, if it is in the table.
    Settled(Result<Option<u64>, platform::Error>),
}

/// What was read of the change log.
struct Newer {
    head: Row,
    entries: Vec<Entry>,
}

impl Configuration {
    /// Starts with nothing in force and reads the platform.
    pub fn init(
        cx: CX![],
        token_seed: u64,
        worker: Worker,
        dispatch: Actor<Dispatch>,
        fleet: Actor<Fleet>,
    ) -> Option<Configuration> {
        let forward = fwd_to!([cx], answered() as (Answer));
        let (answers, guard) = Channel::new(cx, forward);
        call!([cx], poll());
        Some(Configuration {
            catalog: Rc::default(),
            head_version: 0,
            refreshing: false,
            next_token: token_seed,
            changes: Vec::new(),
            writing: None,
            worker,
            dispatch,
            fleet,
            answers,
            _guard: guard,
        })
    }

    /// Puts an operator's change in force; answers with its revision.
    pub fn change(&mut self, cx: CX![], change: Change, ret: Ret<Result<u64, Error>>) {
        self.changes.push(Waiting { change, ret });
        if self.writing.is_none() {
            // The newest state decides who loses a race, so it is read first.
            self.refresh(cx);
        }
    }

    /// Gives the catalog in force.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Rc<Catalog>>) {
        ret!([ret], Rc::clone(&self.catalog));
    }

    /// A peer has this revision in force.
    pub fn heard_of(&mut self, cx: CX![], revision: u64) {
        if revision > self.catalog.revision {
            self.refresh(cx);
        }
    }

    fn poll(&mut self, cx: CX![]) {
        self.refresh(cx);
        after!(POLL, [cx], poll());
    }

    fn refresh(&mut self, _cx: CX![]) {
        if self.refreshing {
            return;
        }
        self.refreshing = true;
        let answers = self.answers.clone();
        let known = self.catalog.revision;
        self.worker.queue(move |client| {
            answers.send(Answer::Refreshed(read_newer(client, known)));
        });
    }

    fn answered(&mut self, cx: CX![], answer: Answer) {
        match answer {
            Answer::Refreshed(result) => self.refreshed(cx, result),
            Answer::Committed(result) => self.committed(cx, result),
            Answer::Settled(result) => self.settled(cx, result),
        }
    }

    fn refreshed(&mut self, cx: CX![], result: Result<Newer, platform::Error>) {
        self.refreshing = false;
        match result {
            Ok(newer) => {
                self.head_version = newer.head.version;
                self.take_entries(&newer.entries);
                call!([self.dispatch], configured(Rc::clone(&self.catalog)));
                call!([self.fleet], configured(self.catalog.revision));
                metrics::set_revision(self.catalog.revision);
                self.write_next(cx);
            }
            Err(error) => {
                for waiting in self.changes.drain(..) {
                    let msg = format!("{error}; nothing was changed, repeat the change later");
                    ret!([waiting.ret], Err(Error::new(Code::Unavailable, msg)));
                }
            }
        }
    }

    /// Invariant: revisions in force grow one by one.
    fn take_entries(&mut self, entries: &[Entry]) {
        for entry in entries {
            if entry.revision == self.catalog.revision + 1 {
                Rc::make_mut(&mut self.catalog).apply(&entry.edit, entry.revision);
                spdlog::info!("configured", kv: {
                    revision = entry.revision,
                    object = entry.edit.object().to_string(),
                });
            }
        }
    }

    fn write_next(&mut self, cx: CX![]) {
        while self.writing.is_none() && !self.changes.is_empty() {
            let waiting = self.changes.remove(0);
            match self.catalog.check(&waiting.change) {
                Ok(()) => self.write(cx, waiting),
                Err(error) => ret!([waiting.ret], Err(error.into())),
            }
        }
    }

    fn write(&mut self, _cx: CX![], waiting: Waiting) {
        self.next_token = self.next_token.wrapping_add(1);
        let revision = self.catalog.revision + 1;
        let edit = waiting.change.edit.clone();
        let entry = Entry { revision, token: self.next_token, edit };
        let transaction = Transaction {
            checks: vec![Check { key: HEAD_KEY.to_owned(), version: self.head_version }],
            puts: vec![
                json_put(HEAD_KEY, &Head { revision }),
                json_put(&entry_key(revision), &entry),
            ],
            deletes: Vec::new(),
        };
        self.writing = Some(Writing { entry, transaction, waiting, resends: 0 });
        self.send();
    }

    fn send(&mut self) {
        let Some(writing) = &self.writing else { return };
        let transaction = writing.transaction.clone();
        let answers = self.answers.clone();
        self.worker.queue(move |client| {
            answers.send(Answer::Committed(client.commit(&transaction)));
        });
    }

    fn committed(&mut self, cx: CX![], result: Result<Commit, platform::Error>) {
        let Some(mut writing) = self.writing.take() else { return };
        match result {
            Ok(Commit::Done { version }) => {
                self.head_version = version;
                self.accept(writing);
                self.write_next(cx);
            }
            // Another change came first, or this one took effect and its answer was lost.
            Ok(Commit::Conflict { .. }) => self.settle(cx, writing),
            Err(_) if writing.resends < RESENDS => {
                writing.resends += 1;
                self.writing = Some(writing);
                after!(RESEND_PAUSE, [cx], resend());
            }
            Err(error) => {
                let msg = format!("{error}; read the object before repeating the change");
                ret!([writing.waiting.ret], Err(Error::new(Code::Unknown, msg)));
                self.write_next(cx);
            }
        }
    }

    fn resend(&mut self, _cx: CX![]) {
        self.send();
    }

    fn accept(&mut self, writing: Writing) {
        let revision = writing.entry.revision;
        self.take_entries(std::slice::from_ref(&writing.entry));
        call!([self.dispatch], configured(Rc::clone(&self.catalog)));
        call!([self.fleet], configured(self.catalog.revision));
        metrics::set_revision(self.catalog.revision);
        ret!([writing.waiting.ret], Ok(revision));
    }

    fn settle(&mut self, cx: CX![], writing: Writing) {
        if writing.resends == 0 {
            // Answered at the first try: it surely did not take effect.
            self.changes.insert(0, writing.waiting);
            self.refresh(cx);
            return;
        }
        let key = entry_key(writing.entry.revision);
        let answers = self.answers.clone();
        let token = writing.entry.token;
        self.writing = Some(writing);
        self.worker.queue(move |client| {
            let found = client.read(&key).map(|row| {
                let entry: Option<Entry> = serde_json::from_str(&row.value).ok();
                entry.is_some_and(|it| it.token == token).then_some(row.version)
            });
            answers.send(Answer::Settled(found));
        });
    }

    fn settled(&mut self, cx: CX![], result: Result<Option<u64>, platform::Error>) {
        let Some(writing) = self.writing.take() else { return };
        match result {
            Ok(Some(version)) => {
                self.head_version = version;
                self.accept(writing);
                self.refresh(cx);
            }
            Ok(None) => {
                self.changes.insert(0, writing.waiting);
                self.refresh(cx);
            }
            Err(error) => {
                self.writing = Some(writing);
                self.committed(cx, Err(error));
            }
        }
    }
}

fn read_newer(table: &impl Table, known: u64) -> Result<Newer, platform::Error> {
    let head = table.read(HEAD_KEY)?;
    let newest: Head = serde_json::from_str(&head.value).unwrap_or_default();
    let mut entries = Vec::new();
    let mut after = entry_key(known);
    while newest.revision > known + entries.len() as u64 {
        let rows = table.scan(ENTRY_PREFIX, &after, SCAN_ROWS)?;
        let Some(last) = rows.last() else { break };
        after.clone_from(&last.key);
        entries.extend(rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()));
    }
    Ok(Newer { head, entries })
}

fn json_put(key: &str, value: &impl serde::Serialize) -> Put {
    Put { key: key.to_owned(), value: serde_json::to_string(value).unwrap_or_default() }
}
