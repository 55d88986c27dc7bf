//! What a request's task asks for, and the decisions that it gets.

use std::net::SocketAddr;
use std::time::Duration;

use route::request::Attributes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// A request that has been read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Host that it names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// What its head says.
    pub asked: Attributes,
    /// Fingerprint of path, caller and body.
    pub print: u128,
}

/// A request that is admitted.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its number on this daemon.
    pub ticket: u64,
    /// Time from arrival to the final answer.
    pub timeout: Duration,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether its answer is a stream of events.
    pub is_stream: bool,
    /// Workspace on whose behalf it runs.
    pub workspace: Option<String>,
    /// Rank at the endpoint.
    pub rank: Option<u8>,
    /// Whether keys are not to be passed on.
    pub hides_key: bool,
}

/// An endpoint to send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identity.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the answer.
    pub status: u16,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Answered whole with success.
    Served,
    /// The endpoint failed it with an answer of its own.
    Failed,
    /// Broken off by the endpoint after it was sent; it may have run.
    Broken,
    /// No connection; it was not sent.
    Unreachable,
    /// Turned away by the endpoint without having run.
    TurnedAway,
    /// Another endpoint has the address.
    Misdirected,
    /// The time for the answer passed.
    TimedOut,
    /// The caller left.
    Abandoned,
}

impl Ended {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ended::Served => "served",
            Ended::Failed => "failed",
            Ended::Broken => "broken",
            Ended::Unreachable => "unreachable",
            Ended::TurnedAway => "turned_away",
            Ended::Misdirected => "misdirected",
            Ended::TimedOut => "timed_out",
            Ended::Abandoned => "abandoned",
        }
    }
}

/// A question or a message to whoever decides.
#[derive(Debug)]
pub enum Ask {
    /// What becomes of a request?
    Arrival {
        /// The request.
        arrival: Box<Arrival>,
        /// Takes the decision.
        reply: oneshot::Sender<Result<(Plan, Target), Refusal>>,
    },
    /// An attempt ended without an answer for the caller: is there another?
    Next {
        /// The request.
        ticket: u64,
        /// How the attempt ended.
        ended: Ended,
        /// Takes the next endpoint, or the refusal if nothing has run.
        reply: oneshot::Sender<Result<Target, Refusal>>,
    },
    /// The endpoint began to answer.
    Began {
        /// The request.
        ticket: u64,
    },
    /// The request is over.
    Over {
        /// The request.
        ticket: u64,
        /// How its last attempt ended.
        ended: Ended,
        /// Status that the caller got; 0 if it got none.
        status: u16,
    },
}

/// A request's claim on its place; gives it back when dropped.
#[derive(Debug)]
pub struct Ticket {
    /// Number of the request.
    pub number: u64,
    asks: UnboundedSender<Ask>,
    over: Option<(Ended, u16)>,
}

impl Ticket {
    /// The claim of a request that was admitted.
    pub fn new(number: u64, asks: UnboundedSender<Ask>) -> Ticket {
        Ticket { number, asks, over: None }
    }

    /// Tells that the endpoint began to answer.
    pub fn began(&self) {
        // Without a receiver the daemon is about to end.
        let _ = self.asks.send(Ask::Began { ticket: self.number });
    }

    /// Asks for another endpoint.
    pub async fn next(&self, ended: Ended) -> Result<Target, Refusal> {
        let (reply, answer) = oneshot::channel();
        let _ = self.asks.send(Ask::Next { ticket: self.number, ended, reply });
        let stopped = Refusal { status: 502, retry_after: None };
        answer.await.unwrap_or(Err(stopped))
    }

    /// Sets how the request ended; told when the ticket is dropped.
    pub fn end(&mut self, ended: Ended, status: u16) {
        self.over = Some((ended, status));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (ended, status) = self.over.unwrap_or((Ended::Abandoned, 0));
        let _ = self.asks.send(Ask::Over { ticket: self.number, ended, status });
    }
}
