//! One daemon's copy of the configuration: follows the change log in the
//! table and the word of peers, and writes operators' changes.
//!
//! Pure: inputs and the time in, actions out.

pub mod message;
pub mod snapshot;

mod follow;
mod peers;
mod write;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use store::table::Commit;
use store::table::Row;
use store::table::Transaction;

use crate::Error;
use crate::catalog::Catalog;
use crate::change::Change;
use crate::log::Entry;
use crate::replica::follow::Reading;
use crate::replica::message::Message;
use crate::replica::snapshot::Snapshot;
use crate::replica::write::Waiting;
use crate::replica::write::Writing;

/// Time between two reads of the head row.
pub const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two ticks, as the carrier of the actions gives them.
pub const TICK: Duration = Duration::from_millis(500);
/// Gap between two inputs after which the daemon counts as having been frozen.
pub const FREEZE: Duration = Duration::from_secs(3);
/// Time for which a starting daemon collects answers of peers.
const COLLECT: Duration = Duration::from_secs(1);
/// Newest entries that are kept to answer peers.
const RECENT_ENTRIES: usize = 8;
/// Entries ahead of the own revision that are kept until the gap is filled.
const EARLY_ENTRIES: usize = 64;
/// Peers to which an accepting daemon sends an entry.
pub const ACCEPT_FANOUT: usize = 4;
/// Peers to which a daemon passes on an entry that is new to it.
pub const RELAY_FANOUT: usize = 2;

/// Identifies an operator's change on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Where an answer to a peer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTo(pub u64);

/// What a replica is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// An operator's change.
    Change(Ticket, Change),
    /// The head row was read, or could not be.
    HeadRead(Result<Row, store::Error>),
    /// Change rows were read, or could not be.
    EntriesRead(Result<Vec<Row>, store::Error>),
    /// The newest snapshot was read, if there is one, or could not be.
    SnapshotRead(Result<Option<Snapshot>, store::Error>),
    /// The commit with this token was answered.
    Committed(u64, Result<Commit, store::Error>),
    /// The change row of the commit with this token was read, or could not be.
    EntryRead(u64, Result<Row, store::Error>),
    /// A peer sent something.
    Received(ReplyTo, Message),
    /// A peer at this address has this revision in force.
    Heard {
        /// Revision.
        revision: u64,
        /// Address.
        peer: String,
    },
    /// Time has passed.
    Tick,
}

/// What a replica wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head row and answer with [`Input::HeadRead`].
    ReadHead,
    /// Read change rows whose key sorts after this one, in order, and answer
    /// with [`Input::EntriesRead`].
    ReadEntries(String),
    /// Read the newest snapshot and answer with [`Input::SnapshotRead`].
    ReadSnapshot,
    /// Keep a snapshot.
    SaveSnapshot(Snapshot),
    /// Commit and answer with [`Input::Committed`].
    Commit(u64, Transaction),
    /// Read a change row and answer with [`Input::EntryRead`].
    ReadEntry(u64, String),
    /// Tell an operator the revision of the change, or why there is none.
    Tell(Ticket, Result<u64, Error>),
    /// Another catalog is in force.
    Publish,
    /// The daemon may take requests with this configuration, or may not.
    Ready(bool),
    /// Send to some peers.
    Spread(Message, usize),
    /// Ask the peer at this address, or some peers.
    Ask(Option<String>, Message),
    /// Answer a peer.
    Reply(ReplyTo, Message),
    /// Something that a person must mend.
    Report(String),
}

/// Whether what is in force is known to be recent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Nothing was read yet; since when a peer has answered.
    Starting { answered_at: Option<Instant> },
    /// Confirmed by the table or a peer since the start and the last freeze.
    Confirmed,
    /// Was frozen and has heard nothing since.
    Frozen,
}

/// One daemon's copy of the configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    catalog: Rc<Catalog>,
    head: Option<Head>,
    reading: Option<Reading>,
    snapshot_tried: bool,
    late_heads: u32,
    recent: VecDeque<Entry>,
    early: BTreeMap<u64, Entry>,
    heard: u64,
    asks: u64,
    confirming_ask: u64,
    standing: Standing,
    last_input: Instant,
    read_at: Option<Instant>,
    next_token: u64,
    waiting: VecDeque<Waiting>,
    writing: Option<Writing>,
    actions: Vec<Action>,
}

/// The head row, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Head {
    revision: u64,
    version: u64,
}

impl Replica {
    /// A replica with nothing in force. `token_seed` must differ between
    /// daemons and incarnations.
    pub fn new(token_seed: u64, now: Instant) -> Replica {
        Replica {
            catalog: Rc::default(),
            head: None,
            reading: None,
            snapshot_tried: false,
            late_heads: 0,
            recent: VecDeque::new(),
            early: BTreeMap::new(),
            heard: 0,
            asks: 0,
            confirming_ask: 0,
            standing: Standing::Starting { answered_at: None },
            last_input: now,
            read_at: None,
            next_token: token_seed,
            waiting: VecDeque::new(),
            writing: None,
            actions: Vec::new(),
        }
    }

    /// Catalog in force.
    pub fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    /// Whether the catalog in force is known to be recent.
    pub fn is_ready(&self) -> bool {
        self.standing == Standing::Confirmed
    }

    /// Takes an input; gives what is to be done.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let revision = self.catalog.revision;
        let ready = self.is_ready();
        self.notice_freeze(now);
        match input {
            Input::Change(ticket, change) => self.change(now, ticket, change),
            Input::HeadRead(result) => self.head_read(now, result),
            Input::EntriesRead(result) => self.entries_read(now, result),
            Input::SnapshotRead(result) => self.snapshot_read(now, result),
            Input::Committed(token, result) => self.committed(now, token, result),
            Input::EntryRead(token, result) => self.entry_read(now, token, result),
            Input::Received(from, message) => self.received(now, from, message),
            Input::Heard { revision, peer } => self.heard(revision, peer),
            Input::Tick => self.tick(now),
        }
        if self.catalog.revision != revision {
            self.actions.insert(0, Action::Publish);
        }
        if self.is_ready() != ready {
            self.actions.push(Action::Ready(!ready));
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Instant) {
        if let Standing::Starting { answered_at: Some(at) } = self.standing
            && now.duration_since(at) >= COLLECT
        {
            self.standing = Standing::Confirmed;
        }
        if !self.is_ready() || self.heard > self.catalog.revision {
            self.ask(None);
        }
        let due = self.read_at.is_none_or(|at| now.duration_since(at) >= READ_INTERVAL);
        let behind = !self.is_ready() || self.heard > self.catalog.revision;
        if due || behind || !self.waiting.is_empty() {
            self.read(now);
        }
        self.advance_write(now);
    }

    /// What was asked before a freeze says nothing about the time after it.
    fn notice_freeze(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_input);
        self.last_input = now;
        if gap < FREEZE {
            return;
        }
        if self.standing == Standing::Confirmed {
            self.standing = Standing::Frozen;
        }
        if let Some(reading) = &mut self.reading {
            reading.confirms = false;
        }
        self.confirming_ask = self.asks + 1;
        self.ask(None);
        self.read(now);
    }

    fn confirm(&mut self) {
        self.standing = Standing::Confirmed;
    }
}
