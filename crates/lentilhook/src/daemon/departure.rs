//! Actor that drives the daemon's lifecycle according to the drain chart.

use std::time::Duration;

use gateway::server::Readiness;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::StopCause;
use stakker::call;
use stakker::ret_some_to;
use statechart::Label;
use statechart::Lifecycle;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::fleet::Fleet;
use crate::daemon::lifecycle::drain::Event;
use crate::daemon::lifecycle::drain::State;
use crate::daemon::metrics;
use crate::daemon::placement::Placement;
use crate::daemon::shards::Shards;

/// Delay between reporting the daemon as not ready and rejecting new requests. It
/// gives the balancer time to stop routing requests here.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// Reason for a shutdown of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// A graceful shutdown: open requests are finished first.
    Stop,
    /// The platform reclaims the VM after this time.
    Reclaim(Duration),
}

/// The daemon's lifecycle state and the subsystems to shut down.
pub struct Departures {
    chart: Lifecycle<State, Event>,
    state: State,
    readiness: Readiness,
    subsystems: Subsystems,
}

/// Actors that take part in a shutdown.
pub struct Subsystems {
    /// Finishes or hands over open requests.
    pub dispatch: Actor<Dispatch>,
    /// Releases the shard leases.
    pub shards: Actor<Shards>,
    /// Informs the other daemons.
    pub fleet: Actor<Fleet>,
    /// Releases the placement lease.
    pub placement: Actor<Placement>,
}

impl Departures {
    /// Creates the actor in the chart's initial state.
    pub fn init(
        _cx: CX![],
        chart: Lifecycle<State, Event>,
        readiness: Readiness,
        subsystems: Subsystems,
    ) -> Option<Departures> {
        let state = chart.initial();
        Some(Departures { chart, state, readiness, subsystems })
    }

    /// Marks the daemon as ready. Called once all servers are listening.
    pub fn ready(&mut self, _cx: CX![]) {
        if self.apply(Event::Ready) {
            self.readiness.set(true);
        }
    }

    /// Starts shutting down. A repeated call is ignored unless the chart has a
    /// transition for it.
    pub fn depart(&mut self, cx: CX![], departure: Departure) {
        let event = match departure {
            Departure::Stop => Event::StopOrdered,
            Departure::Reclaim(_) => Event::ReclaimNoticed,
        };
        let was_serving = self.state == State::Serving;
        if !self.apply(event) {
            return;
        }
        self.readiness.set(false);
        metrics::set_draining();
        call!([self.subsystems.fleet], leave());
        if let Departure::Reclaim(left) = departure {
            call!([self.subsystems.dispatch], own_reclaim_noticed(left));
        }
        if self.state == State::Releasing {
            self.release(cx);
        } else if was_serving {
            let drained = ret_some_to!([cx], drained() as ());
            call!([self.subsystems.dispatch], drain_after(DRAIN_DELAY, drained));
        }
    }

    /// Continues the shutdown once no request is open.
    fn drained(&mut self, cx: CX![]) {
        if self.apply(Event::Quiet) {
            self.release(cx);
        }
    }

    fn release(&mut self, cx: CX![]) {
        let released: Ret<()> = ret_some_to!([cx], placement_released() as ());
        call!([self.subsystems.placement], release(released));
    }

    fn placement_released(&mut self, cx: CX![]) {
        let released: Ret<()> = ret_some_to!([cx], released() as ());
        call!([self.subsystems.shards], release(released));
    }

    /// Stops the runtime once the leases are released or the release has timed out.
    fn released(&mut self, cx: CX![]) {
        if self.apply(Event::Released) {
            cx.shutdown(StopCause::Stopped);
        }
    }

    /// Applies an event and returns whether the chart has a transition for it. An event
    /// without one is logged and ignored.
    fn apply(&mut self, event: Event) -> bool {
        match self.chart.next(self.state, event) {
            Ok(next) => {
                spdlog::info!("lifecycle", kv: {
                    from = self.state.name(),
                    event = event.name(),
                    to = next.name(),
                });
                self.state = next;
                true
            }
            Err(error) => {
                spdlog::warn!("lifecycle", kv: { ignored = error.to_string() });
                false
            }
        }
    }
}
