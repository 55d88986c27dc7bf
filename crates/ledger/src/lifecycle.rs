//! States and events of a daemon's lease on a shard.

use statechart::Label;
use statechart::Lifecycle;

/// State chart of a shard's lease.
pub type Chart = Lifecycle<State, Event>;

/// State of a shard's lease, as seen by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not held by this daemon.
    Unheld,
    /// The head row is being read.
    Looking,
    /// The head row that claims the lease is being written.
    Claiming,
    /// The lease is claimed and the records of previous holders are being read.
    Loading,
    /// Held by this daemon, unless another one has taken it over since the last
    /// commit.
    Held,
    /// Released permanently because the daemon is shutting down.
    Left,
}

/// Event of a shard's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call needs the shard.
    Asked,
    /// The lease is free or has expired.
    Free,
    /// The head row that claims the lease was written.
    Claimed,
    /// The records of previous holders were read.
    Loaded,
    /// A commit succeeded, which also renews the lease.
    Written,
    /// Another daemon holds the lease, or the platform is unavailable.
    Refused,
    /// A commit failed because the lease has a new holder.
    TakenOver,
    /// The lease was released because the shard was idle.
    Released,
    /// The daemon is shutting down and holds nothing.
    Leave,
}

impl Label for State {
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

impl Label for Event {
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
