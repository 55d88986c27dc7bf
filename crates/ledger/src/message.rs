//! Inputs and actions of a shard.

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

/// A point in time on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// Monotonic clock of the runtime.
    pub instant: Instant,
    /// Wall clock, in seconds since the Unix epoch.
    pub wall_s: u64,
}

/// Identifies a call that requests execution. Unique within this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An input of a shard.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call requests permission to be sent to an endpoint.
    Begin(Ticket, Claim),
    /// The dispatcher rejected a call before the verdict. It won't be sent.
    Withdraw(Ticket),
    /// A granted call has ended with this step.
    End(Identity, Step),
    /// Result of [`Action::ReadHead`].
    HeadRead(Result<Row, store::Error>),
    /// Result of [`Action::ReadSnapshot`].
    SnapshotRead(Result<Option<Vec<u8>>, store::Error>),
    /// Result of [`Action::ReadBatches`].
    BatchesRead(Result<Vec<Row>, store::Error>),
    /// Result of [`Action::Commit`].
    Committed(Result<Commit, store::Error>),
    /// Result of [`Action::WriteSnapshot`] for the object of this name.
    SnapshotWritten(String, Result<(), store::Error>),
    /// Time has passed. Sent periodically and after [`Action::ScheduleTick`].
    Tick,
    /// The daemon is shutting down. The lease must be released once no call is
    /// running.
    Release,
}

/// An action that the caller executes for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row of this key and reply with [`Input::HeadRead`].
    ReadHead(String),
    /// Read the object of this name and reply with [`Input::SnapshotRead`].
    ReadSnapshot(String),
    /// Read all rows with this key prefix and reply with [`Input::BatchesRead`].
    ReadBatches(String),
    /// Commit the transaction and reply with [`Input::Committed`].
    Commit(Transaction),
    /// Write an object and reply with [`Input::SnapshotWritten`].
    WriteSnapshot {
        /// Name of the object.
        name: String,
        /// Content.
        content: Vec<u8>,
    },
    /// Delete an object that is no longer in use. No reply is expected.
    DeleteSnapshot(String),
    /// Send [`Input::Tick`] after this delay.
    ScheduleTick(Duration),
    /// Send the verdict to a call.
    Reply(Ticket, Verdict),
    /// Report to the operators that the shard can't be used.
    Report(Error),
}

/// Numbers of calls that this daemon knows were not run, but for which the
/// ledger may still report "unknown".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Calls whose intent was being written when the lease was lost.
    pub intents: u64,
    /// Calls that ended without having run after the lease was lost.
    pub ends: u64,
}

/// The ledger's decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The intent is stored. The call may be sent once, with this fencing token.
    Granted {
        /// Fencing token to send along with the call.
        fence: u64,
    },
    /// The same call is already running or being recorded on this daemon under
    /// another ticket.
    Running,
    /// The call was executed before, with this answer.
    Done(Answer),
    /// The call may have been executed before.
    Unknown,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// Another daemon holds the shard. The call belongs there.
    Redirect(Holder),
    /// The call can't be recorded at present, and was not sent.
    Unavailable {
        /// Seconds to wait before a retry.
        retry_after_s: u32,
    },
}

pub(crate) fn unavailable(ticket: Ticket, retry_after_s: u32) -> Action {
    Action::Reply(ticket, Verdict::Unavailable { retry_after_s })
}
