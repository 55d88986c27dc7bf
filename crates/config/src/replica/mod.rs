//! One daemon's replica of the configuration. It follows the change log in the
//! table and entries sent by peers, and writes operators' changes.
//!
//! The state machine does no I/O: it takes inputs and the time, and returns
//! actions.

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
use crate::replica::follow::Read;
use crate::replica::message::Message;
use crate::replica::snapshot::Snapshot;
use crate::replica::write::Request;
use crate::replica::write::Write;

/// Interval between reads of the head row.
pub const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the caller must send [`Input::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum gap between two inputs at which the daemon is treated as having been
/// paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// How long a starting daemon waits for further responses after the first one
/// from a peer.
const STARTUP_WAIT: Duration = Duration::from_secs(1);
/// Number of latest entries kept to respond to peers.
const MAX_RECENT_ENTRIES: usize = 8;
/// Number of entries buffered until the entries before them arrive.
const MAX_OUT_OF_ORDER_ENTRIES: usize = 64;
/// Number of peers to which the daemon that committed an entry sends it.
pub const ACCEPT_FANOUT: usize = 4;
/// Number of peers to which a daemon forwards an entry that is new to it.
pub const RELAY_FANOUT: usize = 2;

/// Identifier of an operator's change, unique on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Stream on which a peer sent a message and receives the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream(pub u64);

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// An operator's change.
    Change(Ticket, Change),
    /// Result of reading the head row.
    HeadRead(Result<Row, store::Error>),
    /// Result of reading change rows.
    EntriesRead(Result<Vec<Row>, store::Error>),
    /// Result of reading the latest snapshot, `None` if there is none.
    SnapshotRead(Result<Option<Snapshot>, store::Error>),
    /// Result of the commit with this token.
    Committed(u64, Result<Commit, store::Error>),
    /// Result of reading the change row of the commit with this token.
    EntryRead(u64, Result<Row, store::Error>),
    /// A message from a peer.
    Received(Stream, Message),
    /// A peer reported the revision it has in force.
    PeerRevision {
        /// Revision in force on the peer.
        revision: u64,
        /// Address of the peer.
        peer: String,
    },
    /// Periodic tick, sent every [`TICK_INTERVAL`].
    Tick,
}

/// Action that the caller carries out for a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head row and return the result with [`Input::HeadRead`].
    ReadHead,
    /// Read the change rows whose keys sort after this one, in order, and
    /// return the result with [`Input::EntriesRead`].
    ReadEntries(String),
    /// Read the latest snapshot and return the result with
    /// [`Input::SnapshotRead`].
    ReadSnapshot,
    /// Save a snapshot.
    SaveSnapshot(Snapshot),
    /// Commit a transaction and return the result with [`Input::Committed`].
    Commit(u64, Transaction),
    /// Read a change row and return the result with [`Input::EntryRead`].
    ReadEntry(u64, String),
    /// Complete an operator's change with its revision or an error.
    Complete(Ticket, Result<u64, Error>),
    /// Publish the catalog in force, which has changed.
    Publish,
    /// Set whether the daemon may serve requests with this configuration.
    Ready(bool),
    /// Send a message to this number of peers.
    Push(Message, usize),
    /// Send a query to the peer at this address, or to some peers.
    Query(Option<String>, Message),
    /// Respond to a peer.
    Reply(Stream, Message),
    /// Report a fault that needs manual repair.
    Report(String),
}

/// Whether the catalog in force is known to be up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Freshness {
    /// Nothing has confirmed the catalog since the start. `first_response_at` is
    /// when the first peer responded.
    Starting { first_response_at: Option<Instant> },
    /// Confirmed by the table or a peer since the start and the last pause.
    Confirmed,
    /// The daemon was paused, and nothing has confirmed the catalog since.
    Stale,
}

/// One daemon's replica of the configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    catalog: Rc<Catalog>,
    head: Option<Head>,
    active_read: Option<Read>,
    snapshot_requested: bool,
    /// Number of consecutive reads with a head row older than the catalog in force.
    stale_heads: u32,
    recent: VecDeque<Entry>,
    out_of_order: BTreeMap<u64, Entry>,
    /// Highest revision received from peers.
    peer_revision: u64,
    query_count: u64,
    /// Number of the first query sent after the last pause. A response to an earlier
    /// query does not confirm a stale catalog.
    confirming_query: u64,
    freshness: Freshness,
    last_input: Instant,
    last_read_at: Option<Instant>,
    next_token: u64,
    queue: VecDeque<Request>,
    active_write: Option<Write>,
    actions: Vec<Action>,
}

/// Last known state of the head row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Head {
    revision: u64,
    version: u64,
}

impl Replica {
    /// Creates a replica with an empty catalog. `token_seed` must differ between
    /// daemons and incarnations.
    pub fn new(token_seed: u64, now: Instant) -> Replica {
        Replica {
            catalog: Rc::default(),
            head: None,
            active_read: None,
            snapshot_requested: false,
            stale_heads: 0,
            recent: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            peer_revision: 0,
            query_count: 0,
            confirming_query: 0,
            freshness: Freshness::Starting { first_response_at: None },
            last_input: now,
            last_read_at: None,
            next_token: token_seed,
            queue: VecDeque::new(),
            active_write: None,
            actions: Vec::new(),
        }
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    /// Whether the catalog in force is known to be up to date.
    pub fn is_ready(&self) -> bool {
        self.freshness == Freshness::Confirmed
    }

    /// Processes an input and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let revision = self.catalog.revision;
        let ready = self.is_ready();
        self.detect_pause(now);
        match input {
            Input::Change(ticket, change) => self.enqueue(now, ticket, change),
            Input::HeadRead(result) => self.head_read_completed(now, result),
            Input::EntriesRead(result) => self.entries_read_completed(now, result),
            Input::SnapshotRead(result) => self.snapshot_read_completed(now, result),
            Input::Committed(token, result) => self.commit_completed(now, token, result),
            Input::EntryRead(token, result) => self.entry_read_completed(now, token, result),
            Input::Received(from, message) => self.message_received(now, from, message),
            Input::PeerRevision { revision, peer } => self.peer_revision_received(revision, peer),
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
        if let Freshness::Starting { first_response_at: Some(at) } = self.freshness
            && now.duration_since(at) >= STARTUP_WAIT
        {
            self.freshness = Freshness::Confirmed;
        }
        if !self.is_ready() || self.peer_revision > self.catalog.revision {
            self.query(None);
        }
        let read_due = self.last_read_at.is_none_or(|at| now.duration_since(at) >= READ_INTERVAL);
        let behind = !self.is_ready() || self.peer_revision > self.catalog.revision;
        if read_due || behind || !self.queue.is_empty() {
            self.start_read(now);
        }
        self.advance_write(now);
    }

    /// Marks the catalog as stale after a pause. Reads and queries sent before
    /// the pause can't confirm it, because their results may be older than the
    /// pause.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_input);
        self.last_input = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        if self.freshness == Freshness::Confirmed {
            self.freshness = Freshness::Stale;
        }
        if let Some(read) = &mut self.active_read {
            read.confirms = false;
        }
        self.confirming_query = self.query_count + 1;
        self.query(None);
        self.start_read(now);
    }

    fn confirm(&mut self) {
        self.freshness = Freshness::Confirmed;
    }
}
