//! States and events of the drain chart: the lifecycle of a daemon from its start
//! to its end.

use statechart::Label;

/// State of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not yet ready.
    Starting,
    /// Accepts requests.
    Serving,
    /// Accepts no new requests and waits for the open ones to finish.
    Draining,
    /// Hands open requests over to peers because the VM is being reclaimed.
    HandingOver,
    /// Releases its leases.
    Releasing,
    /// Has ended.
    Stopped,
}

/// Event in the lifecycle of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// All servers are listening.
    Ready,
    /// An operator or a signal requests a graceful shutdown.
    StopOrdered,
    /// The platform has announced that it will reclaim this VM.
    ReclaimNoticed,
    /// No request is open any more.
    Quiet,
    /// Peers have accepted all open requests.
    HandedOver,
    /// The leases are released, or the release has timed out.
    Released,
}

impl Label for State {
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

impl Label for Event {
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
