//! A request as it arrives, before anything is checked against the
//! configuration.

use job::reply::Reply;
use tokio::sync::mpsc::UnboundedSender;

/// Names an arrival on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ArrivalId(pub u64);

/// A request of a caller.
#[derive(Debug)]
pub struct Arrival {
    /// Name.
    pub id: ArrivalId,
    /// Bearer token, empty when there was none.
    pub token: String,
    /// Service that is called.
    pub service: String,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// What is called.
    pub content: Content,
    /// Milliseconds that the caller will wait for a start, 0 when not given.
    pub wait_ms: u64,
    /// Where the pieces of the answer go.
    pub replies: UnboundedSender<Reply>,
}

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A completion.
    Chat {
        /// Messages as a JSON array.
        messages: String,
        /// Texts of all messages, one after the other.
        prompt: String,
        /// Largest number of tokens.
        max_tokens: u32,
        /// Index of the first token that the caller still wants.
        from_index: u32,
    },
    /// The job that was started under the key.
    Job,
    /// A call of a plain service.
    Plain {
        /// Method in upper case.
        method: String,
        /// Path below the service, with a leading slash.
        path: String,
        /// Query, empty when there is none.
        query: String,
        /// Media type of the body, empty when not given.
        media_type: String,
        /// Body.
        body: Vec<u8>,
    },
}

/// What the gateway tells.
#[derive(Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Box<Arrival>),
    /// The caller of a request went away before the answer was complete.
    Gone(ArrivalId),
}
