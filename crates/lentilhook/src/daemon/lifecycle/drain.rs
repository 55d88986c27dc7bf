//! Lifecycle of a daemon, from its start to its end.

use statechart::Names;

/// State of a daemon on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not ready yet.
    Starting,
    /// Takes work.
    Serving,
    /// Takes no new work and waits for what is open.
    Draining,
    /// Gives open requests to peers, since the VM is reclaimed.
    HandingOver,
    /// Gives its leases up.
    Releasing,
    /// Ended.
    Stopped,
}

/// What happens to a daemon on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// All servers listen.
    Ready,
    /// An operator or a signal asks for a graceful shutdown.
    StopOrdered,
    /// The platform reclaims this VM.
    ReclaimNoticed,
    /// Nothing is open any more.
    Quiet,
    /// Peers have taken what was open.
    HandedOver,
    /// The leases are given up or the time for it is over.
    Released,
}

impl Names for State {
    const ALL: &'static [State] = &[
        State::Starting,
        State::Serving,
        State::Draining,
        State::HandingOver,
        State::Releasing,
        State::Stopped,
    ];

    fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Serving => "serving",
            State::Draining => "draining",
            State::HandingOver => "handing_over",
            State::Releasing => "releasing",
            State::Stopped => "stopped",
        }
    }
}

impl Names for Event {
    const ALL: &'static [Event] = &[
        Event::Ready,
        Event::StopOrdered,
        Event::ReclaimNoticed,
        Event::Quiet,
        Event::HandedOver,
        Event::Released,
    ];

    fn name(self) -> &'static str {
        match self {
            Event::Ready => "ready",
            Event::StopOrdered => "stop_ordered",
            Event::ReclaimNoticed => "reclaim_noticed",
            Event::Quiet => "quiet",
            Event::HandedOver => "handed_over",
            Event::Released => "released",
        }
    }
}
