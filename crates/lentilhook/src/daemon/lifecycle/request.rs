//! States and events of the request chart: the lifecycle of a request on a daemon.

use statechart::Label;
use statechart::Lifecycle;

/// The request chart.
pub type Chart = Lifecycle<State, Event>;

/// State of a request on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Received completely; admission is not decided yet.
    Received,
    /// Admitted; no attempt is running.
    Accepted,
    /// Its intent is recorded in the ledger; nothing has been sent.
    Recorded,
    /// An attempt is running on an endpoint.
    Running,
    /// Another daemon has taken it over.
    Moved,
    /// Answered completely.
    Done,
    /// Ended in a known failure.
    Failed,
    /// Known not to have been executed.
    NotRun,
    /// May or may not have been executed.
    Unknown,
}

/// Event in the lifecycle of a request on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was rejected: it has not been executed and will not be.
    Refused,
    /// It passed admission.
    Admitted,
    /// Its intent was recorded in the ledger.
    Recorded,
    /// An attempt was sent to an endpoint.
    Sent,
    /// The attempt ended early; it may be retried.
    AttemptLost,
    /// Another daemon took it over.
    HandedOver,
    /// The last part of the answer arrived.
    Completed,
    /// The endpoint responded with a failure.
    Failed,
    /// Whether it was executed cannot be determined.
    Uncertain,
}

impl Label for State {
    const ALL: &'static [State] = &[
        State::Received,
        State::Accepted,
        State::Recorded,
        State::Running,
        State::Moved,
        State::Done,
        State::Failed,
        State::NotRun,
        State::Unknown,
    ];

    fn name(self) -> &'static str {
        match self {
            State::Received => "received",
            State::Accepted => "accepted",
            State::Recorded => "recorded",
            State::Running => "running",
            State::Moved => "moved",
            State::Done => "done",
            State::Failed => "failed",
            State::NotRun => "not_run",
            State::Unknown => "unknown",
        }
    }
}

impl Label for Event {
    const ALL: &'static [Event] = &[
        Event::Refused,
        Event::Admitted,
        Event::Recorded,
        Event::Sent,
        Event::AttemptLost,
        Event::HandedOver,
        Event::Completed,
        Event::Failed,
        Event::Uncertain,
    ];

    fn name(self) -> &'static str {
        match self {
            Event::Refused => "refused",
            Event::Admitted => "admitted",
            Event::Recorded => "recorded",
            Event::Sent => "sent",
            Event::AttemptLost => "attempt_lost",
            Event::HandedOver => "handed_over",
            Event::Completed => "completed",
            Event::Failed => "failed",
            Event::Uncertain => "uncertain",
        }
    }
}
