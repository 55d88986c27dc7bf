//! Lifecycle of a daemon's lease of a shard.

use statechart::Names;

/// State of a shard's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not held here.
    Unheld,
    /// The claim is being written.
    Claiming,
    /// Held, as far as this daemon knows.
    Held,
    /// Held earlier, fenced off or lapsed.
    Lost,
    /// Being given up.
    Releasing,
    /// Given up for good.
    Released,
}

/// What happens to a shard's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call needs the shard.
    Claim,
    /// The claim was written.
    Claimed,
    /// Another daemon holds the lease, or the table refused.
    Refused,
    /// The lease was prolonged.
    Renewed,
    /// The time of the lease is over.
    Lapsed,
    /// Another holder's fence was seen.
    TakenOver,
    /// This daemon leaves.
    Release,
    /// The lease was given up.
    Released,
}

impl Names for State {
    const ALL: &'static [State] = &[
        State::Unheld,
        State::Claiming,
        State::Held,
        State::Lost,
        State::Releasing,
        State::Released,
    ];

    fn name(self) -> &'static str {
        match self {
            State::Unheld => "unheld",
            State::Claiming => "claiming",
            State::Held => "held",
            State::Lost => "lost",
            State::Releasing => "releasing",
            State::Released => "released",
        }
    }
}

impl Names for Event {
    const ALL: &'static [Event] = &[
        Event::Claim,
        Event::Claimed,
        Event::Refused,
        Event::Renewed,
        Event::Lapsed,
        Event::TakenOver,
        Event::Release,
        Event::Released,
    ];

    fn name(self) -> &'static str {
        match self {
            Event::Claim => "claim",
            Event::Claimed => "claimed",
            Event::Refused => "refused",
            Event::Renewed => "renewed",
            Event::Lapsed => "lapsed",
            Event::TakenOver => "taken_over",
            Event::Release => "release",
            Event::Released => "released",
        }
    }
}
