//! Attempts at calling an endpoint: start, events and cancellation.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use job::reply::Response;
use job::reply::Usage;

use crate::chat;
use crate::plain;

/// Stack size of an attempt's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Identifies an attempt on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub enum Request {
    /// A chat completion.
    Chat(chat::Request),
    /// A call to a plain service.
    Plain(plain::Request),
}

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token was generated.
    Token {
        /// Zero-based index in the completion.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The completion is complete.
    Finished(Usage),
    /// The plain service responded.
    Answered(Response),
    /// The attempt ended without a complete response.
    Failed(Failure),
}

/// The failure of an attempt. Each variant holds a detail for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was not sent.
    NotSent(String),
    /// The endpoint rejected the call before starting it.
    Refused(String),
    /// The connection broke after the call was sent.
    Broken(String),
    /// The endpoint timed out after the call was sent.
    Silent(String),
    /// The connection broke after the call was sent, and the endpoint no
    /// longer listens.
    Died(String),
}

/// Receives the events of an attempt. It is called on the attempt's thread.
pub type Sink = Arc<dyn Fn(AttemptId, Event) + Send + Sync>;

/// Cancels an attempt whose outcome is no longer needed.
#[derive(Clone, Debug, Default)]
pub struct Cancel(Arc<AtomicBool>);

impl Cancel {
    /// Requests the cancellation of the attempt.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether cancellation was requested.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Starts an attempt at the endpoint with this address, on a dedicated thread.
///
/// If the thread can't be spawned, the sink receives a `NotSent` failure.
pub fn start(id: AttemptId, address: &str, request: Request, sink: Sink) -> Cancel {
    let cancel = Cancel::default();
    let cancelled = cancel.clone();
    let address = address.to_owned();
    let failure_sink = sink.clone();
    let run = move || {
        let emit = |event: Event| sink(id, event);
        match request {
            Request::Chat(request) => chat::run(&address, &request, &cancelled, &emit),
            Request::Plain(request) => plain::run(&address, &request, &emit),
        }
    };
    if thread::Builder::new().stack_size(STACK_BYTES).spawn(run).is_err() {
        let detail = "no thread could be started".to_owned();
        failure_sink(id, Event::Failed(Failure::NotSent(detail)));
    }
    cancel
}
