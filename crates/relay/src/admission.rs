//! Messages of a request's task to the broker, and the broker's decisions.

use std::net::SocketAddr;
use std::time::Duration;

use policy::promise::Evidence;
use quota::endpoint::Statement;
use route::request::Attributes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::exchange::End;
use crate::identity::Identity;

/// A request that was received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Host that the request names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Attributes decoded from the request head.
    pub attributes: Attributes,
    /// Fingerprint of path, query and body. The caller is no part of it, as the operators may
    /// rename workspaces and replace keys.
    pub fingerprint: u128,
    /// Time since its head was received.
    pub waited: Duration,
}

/// Instructions for running an admitted request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of the request on this daemon.
    pub ticket: u64,
    /// Maximum time from the request's arrival to the end of the response.
    pub timeout: Duration,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Workspace on whose behalf the request runs.
    pub workspace: Option<String>,
    /// Priority at the endpoint.
    pub priority: Option<u8>,
    /// Whether the API key is removed before forwarding.
    pub strips_key: bool,
}

impl Plan {
    /// Whether it matters which process of an endpoint runs the request, since another one may
    /// have to go on with it.
    pub fn needs_identity(&self) -> bool {
        self.is_stream && self.is_idempotent
    }
}

/// Whether a request may be sent on a connection to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It may.
    Sound,
    /// The endpoint takes no requests any more, or not this one.
    Unsound,
    /// It will be known later whether the process has the software version that the request
    /// needs.
    Later,
    /// The process is not known to have that version.
    OtherProcess,
}

/// An endpoint to which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Endpoint id.
    pub id: String,
    /// Endpoint address.
    pub address: SocketAddr,
    /// Whether the request may run only at one software version.
    pub is_bound: bool,
    /// Whether the endpoint may be asked again and again for the start of its process.
    pub is_watchable: bool,
    /// Whether the endpoint is known to have a request limit, so that a response that names
    /// none ends it.
    pub is_limited: bool,
}

/// A refusal to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status of the response to the caller.
    pub status: u16,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Outcome of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint responded completely and successfully.
    Served,
    /// Like [`Outcome::Served`], but only the end of the connection marks the end of the
    /// response, so the endpoint may have crashed.
    ServedToClose,
    /// The endpoint responded with an error of its own.
    Failed,
    /// The exchange broke after the request was sent; the request may have run.
    Broken,
    /// The request was not sent, since no connection was available.
    Unreachable,
    /// The endpoint declined the request without running it.
    Declined,
    /// Another endpoint now has the address; the request did not run.
    Misdirected,
    /// The request was not sent, since the endpoint's process is not known to have the software
    /// version that it needs.
    OtherProcess,
    /// The request was sent, but the process that responded did not turn out to have the software
    /// version that it needs, or the response may be about an earlier request.
    Unverified,
    /// The deadline passed.
    TimedOut,
    /// The caller disconnected.
    Abandoned,
}

impl Outcome {
    /// Returns the outcome of a successful response that was received completely.
    /// `is_framed` says whether its head tells how the body ends.
    pub fn served(is_framed: bool) -> Outcome {
        if is_framed { Outcome::Served } else { Outcome::ServedToClose }
    }

    /// Whether the caller got a complete and successful response.
    pub fn is_served(self) -> bool {
        matches!(self, Outcome::Served | Outcome::ServedToClose)
    }

    /// Whether the request was sent to the endpoint.
    pub fn was_sent(self) -> bool {
        !matches!(self, Outcome::Unreachable | Outcome::OtherProcess)
    }

    /// Returns what it shows about whether the request has run.
    pub fn evidence(self) -> Evidence {
        match self {
            Outcome::Unreachable | Outcome::OtherProcess => Evidence::Unsent,
            Outcome::Declined | Outcome::Misdirected => Evidence::Declined,
            Outcome::Served
            | Outcome::ServedToClose
            | Outcome::Failed
            | Outcome::Broken
            | Outcome::Unverified
            | Outcome::TimedOut
            | Outcome::Abandoned => Evidence::None,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::ServedToClose => "served_to_close",
            Outcome::Failed => "failed",
            Outcome::Broken => "broken",
            Outcome::Unreachable => "unreachable",
            Outcome::Declined => "turned_away",
            Outcome::Misdirected => "misdirected",
            Outcome::OtherProcess => "other_process",
            Outcome::Unverified => "unverified",
            Outcome::TimedOut => "timed_out",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// How an admitted request is served.
#[derive(Clone, Debug)]
pub enum Admission {
    /// By an endpoint.
    Run(Plan, Target),
    /// By another daemon, the first of these that accepts a connection.
    Forward {
        /// Addresses for callers.
        daemons: Vec<SocketAddr>,
        /// Maximum time from the request's arrival to the end of the response.
        timeout: Duration,
        /// Whether the request may run more than once.
        is_idempotent: bool,
    },
}

/// What becomes of a request.
pub type Decision = Result<Admission, Refusal>;

/// A query or notification to the broker.
#[derive(Debug)]
pub enum Message {
    /// Requests admission and an endpoint for a new request.
    Admit {
        /// The request.
        arrival: Box<Arrival>,
        /// Receives the decision.
        reply: oneshot::Sender<Decision>,
    },
    /// Requests another endpoint after an attempt without a response for the caller.
    Retry {
        /// Number of the request.
        ticket: u64,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Receives the next endpoint, or the refusal if there is none.
        reply: oneshot::Sender<Result<Target, Refusal>>,
    },
    /// Asks whether the request may be sent on a connection to its endpoint.
    Confirm {
        /// Number of the request.
        ticket: u64,
        /// The process at the other end, if that matters.
        identity: Option<Identity>,
        /// Whether the connection was opened for the request.
        is_fresh: bool,
        /// Receives the answer.
        reply: oneshot::Sender<Confirmation>,
    },
    /// More has become known of the process that runs the request since that was sent.
    Identified {
        /// Number of the request.
        ticket: u64,
        /// What is known.
        identity: Identity,
    },
    /// The endpoint's response says something about its request limit.
    LimitStated {
        /// Number of the request.
        ticket: u64,
        /// What it says.
        statement: Statement,
    },
    /// The endpoint's response says that it is shutting down.
    LeavingStated {
        /// Number of the request.
        ticket: u64,
    },
    /// The endpoint's response says how many rejections within a second it survives.
    BrittleStated {
        /// Number of the request.
        ticket: u64,
        /// Number of rejections.
        survived: u32,
    },
    /// The endpoint rejected the request and wants nothing from this daemon for a time.
    PauseStated {
        /// Number of the request.
        ticket: u64,
        /// The time.
        duration: Duration,
    },
    /// The endpoint started to respond.
    Started {
        /// Number of the request.
        ticket: u64,
    },
    /// The request has finished.
    Finished {
        /// Number of the request.
        ticket: u64,
        /// Outcome of the last attempt.
        outcome: Outcome,
        /// Status sent to the caller; 0 if none was sent.
        status: u16,
    },
    /// An exchange with a caller has ended, for a request that was admitted or not.
    Exchanged {
        /// How it ended.
        end: End,
    },
}

/// Guard of an admitted request. Reports the request as finished when dropped.
#[derive(Debug)]
pub struct Ticket {
    /// Number of the request.
    pub number: u64,
    messages: UnboundedSender<Message>,
    result: Option<(Outcome, u16)>,
}

impl Ticket {
    /// Creates the guard of an admitted request.
    pub fn new(number: u64, messages: UnboundedSender<Message>) -> Ticket {
        Ticket { number, messages, result: None }
    }

    /// Reports that the endpoint started to respond.
    pub fn report_started(&self) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::Started { ticket: self.number });
    }

    /// Reports what has become known of the process that runs the request.
    pub fn report_identity(&self, identity: Identity) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::Identified { ticket: self.number, identity });
    }

    /// Reports what a response says about its endpoint's request limit.
    pub fn report_limit(&self, statement: Statement) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::LimitStated { ticket: self.number, statement });
    }

    /// Reports that a response says that its endpoint is shutting down.
    pub fn report_leaving(&self) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::LeavingStated { ticket: self.number });
    }

    /// Reports that a response says how many rejections within a second its endpoint survives.
    pub fn report_brittle(&self, survived: u32) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::BrittleStated { ticket: self.number, survived });
    }

    /// Reports that the endpoint wants nothing from this daemon for a time.
    pub fn report_pause(&self, duration: Duration) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::PauseStated { ticket: self.number, duration });
    }

    /// Returns whether the request may be sent on a connection to this process.
    pub async fn confirm(&self, identity: Option<Identity>, is_fresh: bool) -> Confirmation {
        let (reply, answer) = oneshot::channel();
        let ticket = self.number;
        let _ = self.messages.send(Message::Confirm { ticket, identity, is_fresh, reply });
        answer.await.unwrap_or(Confirmation::Unsound)
    }

    /// Requests another endpoint after an attempt with this outcome.
    pub async fn retry(&self, outcome: Outcome) -> Result<Target, Refusal> {
        let (reply, decision) = oneshot::channel();
        let _ = self.messages.send(Message::Retry { ticket: self.number, outcome, reply });
        let stopped = Refusal { status: 502, retry_after: None };
        decision.await.unwrap_or(Err(stopped))
    }

    /// Sets the result that is reported when the ticket is dropped.
    pub fn set_result(&mut self, outcome: Outcome, status: u16) {
        self.result = Some((outcome, status));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (outcome, status) = self.result.unwrap_or((Outcome::Abandoned, 0));
        let _ = self.messages.send(Message::Finished { ticket: self.number, outcome, status });
    }
}
