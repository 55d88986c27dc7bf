//! An attempt: its start, its events and its end.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use job::reply::Response;
use job::reply::Usage;

use crate::chat;
use crate::plain;

/// Stack of an attempt's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Names an attempt on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// What is called.
#[derive(Clone, Debug)]
pub enum Order {
    /// A completion.
    Chat(chat::Order),
    /// A call of a plain service.
    Plain(plain::Order),
}

/// What an attempt tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Index in the completion.
        index: u32,
        /// Text.
        text: String,
    },
    /// The completion is complete.
    Finished(Usage),
    /// The plain service answered.
    Answered(Response),
    /// The attempt ended without a complete answer.
    Failed(Failure),
}

/// How an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing left this daemon.
    NotSent(String),
    /// The endpoint refused before starting.
    Refused(String),
    /// The connection broke after the call was sent.
    Broken(String),
    /// Nothing came for too long after the call was sent.
    Silent(String),
    /// The connection broke after the call was sent, and the endpoint no
    /// longer listens.
    Died(String),
}

/// Takes the events of an attempt; called on its thread.
pub type Sink = Arc<dyn Fn(AttemptId, Event) + Send + Sync>;

/// Ends an attempt whose outcome no longer matters.
#[derive(Clone, Debug, Default)]
pub struct Cancel(Arc<AtomicBool>);

impl Cancel {
    /// Asks the attempt to end.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether the attempt was asked to end.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Starts an attempt at the endpoint with this address.
pub fn start(id: AttemptId, address: &str, order: Order, sink: Sink) -> Cancel {
    let cancel = Cancel::default();
    let watched = cancel.clone();
    let address = address.to_owned();
    let failed = sink.clone();
    let run = move || {
        let emit = |event: Event| sink(id, event);
        match order {
            Order::Chat(order) => chat::run(&address, &order, &watched, &emit),
            Order::Plain(order) => plain::run(&address, &order, &emit),
        }
    };
    if thread::Builder::new().stack_size(STACK_BYTES).spawn(run).is_err() {
        let detail = "no thread could be started".to_owned();
        failed(id, Event::Failed(Failure::NotSent(detail)));
    }
    cancel
}
