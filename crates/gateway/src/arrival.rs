//! Incoming requests, before they are checked against the configuration.

use job::reply::Reply;
use tokio::sync::mpsc::UnboundedSender;

/// Identifies an arrival on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ArrivalId(pub u64);

/// An incoming request.
#[derive(Debug)]
pub struct Arrival {
    /// Identifier of the arrival.
    pub id: ArrivalId,
    /// Bearer token, empty if there was none.
    pub token: String,
    /// Name of the requested service.
    pub service: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Content of the request.
    pub content: Content,
    /// Milliseconds that the caller is willing to wait for the call to start, 0 if not given.
    pub wait_ms: u64,
    /// Reply channel.
    pub replies: UnboundedSender<Reply>,
}

/// Content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A chat completion.
    Chat {
        /// Messages as a JSON array.
        messages: String,
        /// Concatenated texts of all messages.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Index of the first token that the caller has not received yet.
        from_index: u32,
    },
    /// A lookup of the job that was started with the key.
    Job,
    /// A call to a plain service.
    Plain {
        /// Method in upper case.
        method: String,
        /// Path below the service, with a leading slash.
        path: String,
        /// Query, empty if there is none.
        query: String,
        /// Media type of the body, empty if not given.
        media_type: String,
        /// Body of the request.
        body: Vec<u8>,
    },
}

/// An event that the gateway reports.
#[derive(Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Box<Arrival>),
    /// The caller disconnected before the response was complete.
    Disconnected(ArrivalId),
}
