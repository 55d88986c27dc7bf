//! Messages to the broker.

use std::collections::BTreeSet;

use balance::endpoint::Change;
use balance::endpoint::Roster;
use balance::subject::Subject;
use duty::order::Order;
use duty::usage::Counts;
use membership::digest::Message;
use membership::protocol::Protocol;
use peer::transport::StreamId;
use platform::cloud::Outcome;
use platform::era::Irregularity;
use platform::feed::Document;
use platform::settings;
use platform::settings::Settings;
use relay::admission;
use store::Error;
use store::table::Commit;
use store::table::Row;

/// An event handled by the broker.
#[derive(Debug)]
pub enum Event {
    /// A message from a request's task.
    Request(admission::Message),
    /// The operators' configuration was read from the store.
    Config(Document),
    /// The list of all endpoints was read from the store.
    Roster(Roster),
    /// Endpoints changed.
    Endpoints {
        /// Changes in order.
        changes: Vec<Change>,
        /// Store version up to which the list is complete now.
        version: u64,
    },
    /// A call to the store succeeded or failed.
    Store {
        /// Feed that made the call.
        feed: &'static str,
        /// Cause of the failure; none if the call succeeded.
        failure: Option<Error>,
    },
    /// The store stated its era for the first time, or a new era began.
    Era(u64),
    /// A response of the store stated an era that could not be used.
    EraIrregularity(Irregularity),
    /// Rows of the daemon table were read.
    Daemons(Vec<Row>),
    /// A read of the lease row completed.
    LeaseRead {
        /// Result of the read.
        result: Result<Row, Error>,
        /// Latest era of the store; `None` if it has stated none.
        era: Option<u64>,
    },
    /// A write of the lease row completed.
    LeaseWritten(Result<Commit, Error>),
    /// The row of rejected requests was read at the start.
    RejectedRead(Row),
    /// A write of the row of rejected requests completed.
    RejectedStored {
        /// Fingerprints of the requests.
        subjects: BTreeSet<Subject>,
        /// Result of the write.
        result: Result<Commit, Error>,
    },
    /// A probe of an endpoint completed.
    Probed {
        /// Service of the endpoint.
        service: String,
        /// Endpoint identity.
        endpoint: String,
        /// Whether a connection could be opened.
        is_success: bool,
    },
    /// The row of software versions was read at the start.
    VersionsRead(Row),
    /// A write of the row of software versions completed.
    VersionsStored(Result<Commit, Error>),
    /// A write of streams completed.
    StreamsStored(Result<Commit, Error>),
    /// A read of the rows of streams completed.
    StreamsRead(Result<Vec<Row>, Error>),
    /// A deletion of rows of streams of daemons that may have ended completed.
    StreamRowsDeleted(Result<Commit, Error>),
    /// A read of the order book completed.
    OrdersRead {
        /// Fencing token of the term that asked for it.
        fence: u64,
        /// The row.
        result: Result<Row, Error>,
    },
    /// A write of the order book completed.
    OrdersStored(Result<Commit, Error>),
    /// A read of the row that holds when the store's era began completed.
    EraRead(Result<Row, Error>),
    /// A write of that row completed.
    EraStored(Result<Commit, Error>),
    /// An attempt to record a window's counts in the store completed.
    UsageRecorded {
        /// Number of the window.
        window: u64,
        /// Counts to be recorded.
        counts: Counts,
        /// Version of the window's row if it is absent in the store's era in which the write was
        /// decided.
        absent: u64,
        /// Result of the write.
        result: Result<Commit, Error>,
    },
    /// A usage report to the cloud API completed.
    UsageReported {
        /// Number of the window.
        window: u64,
        /// Result of the call.
        result: Result<(), Error>,
    },
    /// An order to the cloud API completed.
    Ordered {
        /// Service that gets the endpoints.
        service: String,
        /// The order.
        order: Order,
        /// Result of the call.
        result: Result<Outcome, Error>,
    },
    /// A message from another daemon.
    Peer(Box<Message>),
    /// Another daemon accepted a stream.
    PeerAccepted {
        /// The stream.
        stream: StreamId,
        /// Messages that it understands.
        protocol: Protocol,
    },
    /// A message of another daemon was skipped, since this build doesn't know it.
    PeerSkipped {
        /// Description of the message.
        detail: String,
    },
    /// A stream to another daemon broke.
    PeerLost {
        /// The stream.
        stream: StreamId,
        /// Cause of the failure.
        detail: String,
    },
    /// SIGTERM or SIGINT was received.
    Stop,
    /// The settings were read again after SIGHUP.
    Reload(Box<Result<Settings, settings::Error>>),
}
