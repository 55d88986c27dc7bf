//! Lifecycle of a VM within one incarnation.

use statechart::Label;
use statechart::Lifecycle;

use crate::update::State;

/// An event in the lifecycle of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The VM will be reclaimed or stopped.
    Noticed,
    /// The VM has ended.
    Ended,
}

/// State chart of a VM.
pub type Chart = Lifecycle<State, Event>;

impl Label for State {
    const ALL: &'static [State] = &[State::Live, State::Leaving, State::Gone];

    fn name(self) -> &'static str {
        match self {
            State::Live => "live",
            State::Leaving => "leaving",
            State::Gone => "gone",
        }
    }
}

impl Label for Event {
    const ALL: &'static [Event] = &[Event::Noticed, Event::Ended];

    fn name(self) -> &'static str {
        match self {
            Event::Noticed => "noticed",
            Event::Ended => "ended",
        }
    }
}
