//! Messages to the broker.

use balance::endpoint::Change;
use balance::endpoint::Roster;
use duty::order::Order;
use duty::usage::Counts;
use membership::digest::Message;
use peer::transport::StreamId;
use platform::cloud::Outcome;
use platform::feed::Document;
use platform::settings;
use platform::settings::Settings;
use relay::admission;
use store::Error;
use store::table::Commit;
use store::table::Row;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// A message from a request's task.
    Request(admission::Message),
    /// The operators' configuration was read.
    Config(Document),
    /// All endpoints were read.
    Roster(Roster),
    /// Endpoints changed.
    Endpoints {
        /// Changes in their order.
        changes: Vec<Change>,
        /// Version up to which the list is complete now.
        version: u64,
    },
    /// A call to the store failed or, with no cause, succeeded.
    Store {
        /// Which of its uses.
        feed: &'static str,
        /// Cause of a failure.
        failure: Option<Error>,
    },
    /// Rows of the daemons.
    Daemons(Vec<Row>),
    /// The lease's row was read.
    LeaseRead(Result<Row, Error>),
    /// The lease's row was written, or not.
    LeaseWritten(Result<Commit, Error>),
    /// A window's counts were fixed in the store, or not.
    Fixed {
        /// Window.
        window: u64,
        /// Counts that were to be fixed.
        counts: Counts,
        /// What became of it.
        result: Result<Commit, Error>,
    },
    /// Usage was reported, or not.
    Reported {
        /// Window.
        window: u64,
        /// What became of it.
        result: Result<(), Error>,
    },
    /// An order was given, or not.
    Ordered {
        /// Service.
        service: String,
        /// Order.
        order: Order,
        /// What became of it.
        result: Result<Outcome, Error>,
    },
    /// Another daemon sent something.
    Peer(Box<Message>),
    /// A stream to another daemon broke.
    PeerLost {
        /// Stream.
        stream: StreamId,
        /// Cause.
        detail: String,
    },
    /// SIGTERM or SIGINT came.
    Stop,
    /// The settings were read again.
    Reload(Box<Result<Settings, settings::Error>>),
}
