//! Jobs: calls that this daemon serves itself.

use std::time::Instant;

use config::object::Service;
use endpoint::attempt::AttemptId;
use endpoint::attempt::Cancel;
use gateway::arrival::ArrivalId;
use job::call::Call;
use job::progress::Attempt;
use job::progress::Progress;
use job::recompute::Recompute;
use job::reply::Reply;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Frame;
use tokio::sync::mpsc::UnboundedSender;

use crate::daemon::dispatch::recorded::Again;
use crate::daemon::dispatch::recovery::Planned;
use crate::daemon::metrics;
use crate::daemon::metrics::Timing;

/// Names a job on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A call that this daemon serves.
pub struct Job {
    /// What is called.
    pub call: Call,
    /// Service as configured when the call was accepted.
    pub service: Service,
    /// Who waits for the answer.
    pub waiters: Vec<Waiter>,
    /// Tokens so far.
    pub progress: Progress,
    /// Where it stands.
    pub stage: Stage,
    /// Attempts started.
    pub tries: u32,
    /// Attempts that failed and count against the limit.
    pub failures: u32,
    /// Whether an endpoint has taken it up.
    pub accepted: bool,
    /// When it began to wait for an endpoint, until the next token.
    pub waiting_since: Option<Instant>,
    /// Planned change of endpoint.
    pub planned: Option<Planned>,
    /// Whether the KV cache was moved for the current attempt.
    pub moved: bool,
    /// What its recovery has cost.
    pub recompute: Recompute,
    /// Endpoints where an attempt failed.
    pub avoid: Vec<String>,
    /// When it was taken.
    pub opened: Instant,
    /// Times of its tokens.
    pub timing: Timing,
    /// Fencing number under which it may leave, when recorded in the ledger.
    pub fence: Option<u64>,
}

impl Job {
    /// A job that was just taken, without anyone who waits for it.
    pub fn new(call: Call, service: Service, opened: Instant) -> Job {
        Job {
            call,
            service,
            waiters: Vec::new(),
            progress: Progress::default(),
            stage: Stage::Recording,
            tries: 0,
            failures: 0,
            accepted: false,
            waiting_since: None,
            planned: None,
            moved: false,
            recompute: Recompute::default(),
            avoid: Vec::new(),
            opened,
            timing: Timing::default(),
            fence: None,
        }
    }
}

/// Where a job stands.
pub enum Stage {
    /// Waits for the ledger, or for a place at an endpoint.
    Recording,
    /// Handed over by another daemon; goes on when it is asked for.
    Kept,
    /// An attempt is open.
    Running(Running),
    /// Accepted; waits for an endpoint.
    Waiting,
    /// Ended; the last reply is kept for callers who ask again.
    Ended(Reply),
}

/// An open attempt.
pub struct Running {
    /// Attempt.
    pub attempt: AttemptId,
    /// Its number among the attempts at the job.
    pub number: Attempt,
    /// Endpoint.
    pub endpoint: String,
    /// Request identifier at the endpoint.
    pub request: String,
    /// When it started.
    pub since: Instant,
    /// Ends it.
    pub cancel: Cancel,
}

/// Someone who waits for the answer.
pub struct Waiter {
    /// Way to the caller.
    pub way: Way,
    /// Index of the next token to send.
    pub next_index: u32,
}

/// Way to a caller.
#[derive(Clone)]
pub enum Way {
    /// Through this daemon's gateway.
    Gateway {
        /// Arrival.
        id: ArrivalId,
        /// Where replies go.
        replies: UnboundedSender<Reply>,
    },
    /// Through the peer that sent the call on.
    Peer(StreamId),
    /// For a call that is asked again because its owner was lost.
    Again(Box<Again>),
}

impl Way {
    /// Who hears what is sent this way.
    pub fn end(&self) -> &Way {
        match self {
            Way::Again(again) => again.way.end(),
            way => way,
        }
    }

    /// Sends a piece of the answer.
    pub fn send(&self, transport: &Transport, reply: Reply) {
        match self {
            Way::Gateway { replies, .. } => {
                if reply.is_last() {
                    metrics::answered(&reply);
                }
                let _ = replies.send(reply);
            }
            Way::Again(again) => again.send(transport, reply),
            Way::Peer(stream) => {
                let last = reply.is_last();
                let stream = *stream;
                transport.command(Command::Send { stream, frame: Frame::Reply(reply) });
                if last {
                    transport.command(Command::Finish { stream });
                }
            }
        }
    }
}

impl Waiter {
    /// Sends the tokens that are there and were not sent.
    pub fn catch_up(&mut self, transport: &Transport, progress: &Progress) {
        for token in progress.tokens_from(self.next_index) {
            self.next_index = token.index + 1;
            self.way.send(transport, Reply::Token(token));
        }
    }
}
