//! Lifecycle of a request on a daemon.

use statechart::Lifecycle;
use statechart::Names;

/// The chart of requests.
pub type Chart = Lifecycle<State, Event>;

/// State of a request on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Read whole, not yet judged.
    Received,
    /// Will be answered; nothing runs.
    Accepted,
    /// Its intent is in the ledger; nothing was sent.
    Recorded,
    /// An attempt runs at an endpoint.
    Running,
    /// Another daemon carries it on.
    Moved,
    /// Answered whole.
    Done,
    /// Ended in a failure that is known.
    Failed,
    /// Surely not executed.
    NotRun,
    /// May or may not have been executed.
    Unknown,
}

/// What happens to a request on this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Surely nothing was executed and nothing will be.
    Refused,
    /// It will be answered.
    Admitted,
    /// The intent was written.
    Recorded,
    /// An attempt left this daemon.
    Sent,
    /// The attempt ended early and another may follow.
    AttemptLost,
    /// Another daemon took it.
    HandedOver,
    /// The last piece of the answer came.
    Completed,
    /// The endpoint answered with a failure.
    Failed,
    /// It can't be known whether it was executed.
    Uncertain,
}

impl Names for State {
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

impl Names for Event {
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
