//! What a shard is told and what it wants done.

use std::time::Duration;
use std::time::Instant;

use store::table::Commit;
use store::table::Row;
use store::table::Transaction;

use crate::Error;
use crate::record::Answer;
use crate::record::Claim;
use crate::record::Holder;
use crate::record::Identity;
use crate::record::Step;

/// The time, on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Clock of the runtime.
    pub instant: Instant,
    /// Wall clock, in seconds since the epoch.
    pub wall_s: u64,
}

/// Identifies a call that asks for permission, on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What a shard is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call asks whether it may leave.
    Begin(Ticket, Claim),
    /// A call that asked was turned away meanwhile and won't leave.
    Withdraw(Ticket),
    /// A call that was granted has ended.
    End(Identity, Step),
    /// The head row was read, or could not be.
    HeadRead(Result<Row, store::Error>),
    /// The snapshot was read, or could not be.
    SnapshotRead(Result<Option<Vec<u8>>, store::Error>),
    /// The batch rows were read, or could not be.
    BatchesRead(Result<Vec<Row>, store::Error>),
    /// The commit under way was answered.
    Committed(Result<Commit, store::Error>),
    /// This snapshot was written, or could not be.
    SnapshotWritten(String, Result<(), store::Error>),
    /// Time has passed.
    Tick,
    /// The daemon shuts down: give the lease up once nothing runs.
    Release,
}

/// What a shard wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head row and answer with [`Input::HeadRead`].
    ReadHead(String),
    /// Read an object and answer with [`Input::SnapshotRead`].
    ReadSnapshot(String),
    /// Read all rows with this prefix and answer with [`Input::BatchesRead`].
    ReadBatches(String),
    /// Commit and answer with [`Input::Committed`].
    Commit(Transaction),
    /// Write an object and answer with [`Input::SnapshotWritten`].
    WriteSnapshot {
        /// Name of the object.
        name: String,
        /// Content.
        content: Vec<u8>,
    },
    /// Delete an object that nobody reads any more; no answer.
    DeleteSnapshot(String),
    /// Send [`Input::Tick`] after this time.
    Wake(Duration),
    /// Tell a call what was decided.
    Tell(Ticket, Verdict),
    /// Tell the operators that the shard can't be used.
    Report(Error),
}

/// Calls of which this daemon knows that they were not run, and of which the
/// ledger may say "unknown" all the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The lease was lost while their intent was being written.
    pub intents_lost: u64,
    /// The lease was lost before the end of a call that was not run.
    pub ends_lost: u64,
}

/// The decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The intent is written: it may leave, once, with this fencing number.
    Granted {
        /// Fencing number to send along.
        fence: u64,
    },
    /// The same call is running or being recorded under an earlier ticket on
    /// this daemon.
    Running,
    /// It was executed before.
    Done(Answer),
    /// It may have been executed before.
    Unknown,
    /// The key belongs to another request.
    Reused,
    /// Another daemon holds the shard.
    Elsewhere(Holder),
    /// It can't be recorded now; nothing left this daemon.
    NotNow {
        /// Seconds after which a new try is useful.
        retry_after_s: u32,
    },
}

pub(crate) fn not_now(ticket: Ticket, retry_after_s: u32) -> Action {
    Action::Tell(ticket, Verdict::NotNow { retry_after_s })
}
