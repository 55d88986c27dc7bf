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

use crate::daemon::dispatch::problems;
use crate::daemon::dispatch::recorded::Retry;
use crate::daemon::dispatch::recovery::Plan;
use crate::daemon::lifecycle::request::State;
use crate::daemon::metrics;
use crate::daemon::metrics::Timing;

/// Identifier of a job, unique within this daemon instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A call that this daemon serves.
pub struct Job {
    /// The call.
    pub call: Call,
    /// Configuration of the service at the time the call was received.
    pub service: Service,
    /// Callers that wait for the reply.
    pub waiters: Vec<Waiter>,
    /// Tokens received so far.
    pub progress: Progress,
    /// Processing stage.
    pub stage: Stage,
    /// State in the request chart.
    pub state: State,
    /// Number of attempts started.
    pub attempts: u32,
    /// Number of failed attempts that count against the limit.
    pub failures: u32,
    /// Whether an endpoint has started processing it.
    pub accepted: bool,
    /// Time at which it began to wait for an endpoint; cleared by the next token.
    pub waiting_since: Option<Instant>,
    /// Planned switch to another endpoint.
    pub plan: Option<Plan>,
    /// Whether the KV cache was moved for the current attempt.
    pub moved: bool,
    /// Cost of its recoveries.
    pub recompute: Recompute,
    /// Endpoints where an attempt has failed.
    pub avoid: Vec<String>,
    /// Time at which this daemon received the call.
    pub received_at: Instant,
    /// Token timing, for the metrics.
    pub timing: Timing,
    /// Fencing token to send the call with; `None` unless the ledger has recorded it.
    pub fence: Option<u64>,
}

impl Job {
    /// Creates a job without waiters.
    pub fn new(call: Call, service: Service, received_at: Instant) -> Job {
        Job {
            call,
            service,
            waiters: Vec::new(),
            progress: Progress::default(),
            stage: Stage::Pending,
            state: State::Received,
            attempts: 0,
            failures: 0,
            accepted: false,
            waiting_since: None,
            plan: None,
            moved: false,
            recompute: Recompute::default(),
            avoid: Vec::new(),
            received_at,
            timing: Timing::default(),
            fence: None,
        }
    }
}

/// Processing stage of a job.
pub enum Stage {
    /// Not started yet; waits for the ledger's verdict or for a free slot at an
    /// endpoint.
    Pending,
    /// Handed over by another daemon; resumes when a caller requests it.
    Standby,
    /// An attempt is open.
    Running(Running),
    /// Accepted before; waits for an endpoint to continue.
    Waiting,
    /// Ended; the final reply is retained for callers that repeat the request.
    Ended(Reply),
}

/// An open attempt.
pub struct Running {
    /// Attempt identifier.
    pub attempt: AttemptId,
    /// Sequence number of the attempt within the job.
    pub number: Attempt,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Request identifier at the endpoint.
    pub request_id: String,
    /// Start time.
    pub started_at: Instant,
    /// Cancels the attempt.
    pub cancel: Cancel,
}

/// A caller that waits for the reply.
pub struct Waiter {
    /// Reply channel to the caller.
    pub sink: Sink,
    /// Index of the next token to send.
    pub next_index: u32,
}

/// Reply channel to a caller.
#[derive(Clone)]
pub enum Sink {
    /// A caller connected to this daemon's gateway.
    Gateway {
        /// Identifier of the caller's request.
        id: ArrivalId,
        /// Queue of replies to the gateway.
        replies: UnboundedSender<Reply>,
    },
    /// The peer that forwarded the call.
    Peer(StreamId),
    /// A call that is retried because the daemon that owns its key was lost.
    Retry(Box<Retry>),
    /// A call that this daemon serves in place of one that was lost and may have begun it.
    Begun(Box<Sink>),
}

impl Sink {
    /// Returns the underlying reply channel, without wrappers.
    pub fn underlying(&self) -> &Sink {
        match self {
            Sink::Retry(retry) => retry.sink.underlying(),
            Sink::Begun(sink) => sink.underlying(),
            sink => sink,
        }
    }

    /// Sends a part of the reply.
    pub fn send(&self, transport: &Transport, reply: Reply) {
        match self {
            Sink::Gateway { replies, .. } => {
                if reply.is_last() {
                    metrics::record_answer(&reply);
                }
                let _ = replies.send(reply);
            }
            Sink::Retry(retry) => retry.send(transport, reply),
            Sink::Begun(sink) => sink.send(transport, problems::after_begin(reply)),
            Sink::Peer(stream) => {
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
    /// Sends the available tokens that were not sent yet.
    pub fn catch_up(&mut self, transport: &Transport, progress: &Progress) {
        for token in progress.tokens_from(self.next_index) {
            self.next_index = token.index + 1;
            self.sink.send(transport, Reply::Token(token));
        }
    }
}
