//! Lifecycle of a daemon's lease of a shard.

use statechart::Lifecycle;
use statechart::Names;

/// The chart of a shard's lease.
pub type Chart = Lifecycle<State, Event>;

/// State of a shard's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not held here.
    Unheld,
    /// The head row is being read.
    Looking,
    /// The claim is being written.
    Claiming,
    /// Claimed; what earlier holders wrote is being read.
    Loading,
    /// Held, as far as this daemon knows.
    Held,
    /// Given up for good.
    Left,
}

/// What happens to a shard's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call needs the shard.
    Asked,
    /// Nobody holds the lease, or it has lapsed.
    Free,
    /// The claim was written.
    Claimed,
    /// Everything that earlier holders wrote was read.
    Loaded,
    /// A commit was written, which renews the lease.
    Written,
    /// Another daemon holds the lease, or the platform could not be used.
    Refused,
    /// A commit found a newer holder.
    TakenOver,
    /// The lease was given up for want of calls.
    Released,
    /// The daemon leaves and holds nothing.
    Leave,
}

impl Names for State {
    const ALL: &'static [State] =
        &[State::Unheld, State::Looking, State::Claiming, State::Loading, State::Held, State::Left];

    fn name(self) -> &'static str {
        match self {
            State::Unheld => "unheld",
            State::Looking => "looking",
            State::Claiming => "claiming",
            State::Loading => "loading",
            State::Held => "held",
            State::Left => "left",
        }
    }
}

impl Names for Event {
    const ALL: &'static [Event] = &[
        Event::Asked,
        Event::Free,
        Event::Claimed,
        Event::Loaded,
        Event::Written,
        Event::Refused,
        Event::TakenOver,
        Event::Released,
        Event::Leave,
    ];

    fn name(self) -> &'static str {
        match self {
            Event::Asked => "asked",
            Event::Free => "free",
            Event::Claimed => "claimed",
            Event::Loaded => "loaded",
            Event::Written => "written",
            Event::Refused => "refused",
            Event::TakenOver => "taken_over",
            Event::Released => "released",
            Event::Leave => "leave",
        }
    }
}
