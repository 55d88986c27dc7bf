//! Actor that takes a daemon through its lifecycle, as the drain chart says.

use std::time::Duration;

use gateway::server::Readiness;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::StopCause;
use stakker::call;
use stakker::ret_some_to;
use statechart::Lifecycle;
use statechart::Names;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::fleet::Fleet;
use crate::daemon::lifecycle::drain::Event;
use crate::daemon::lifecycle::drain::State;
use crate::daemon::metrics;
use crate::daemon::placement::Placement;
use crate::daemon::shards::Shards;

/// Time between saying that the daemon is not ready and taking no more
/// requests, so that the balancer can notice.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// Why a daemon leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// A planned stop: everything in flight is finished first.
    Stop,
    /// The VM will be reclaimed after this time.
    Reclaim(Duration),
}

/// The daemon's own lifecycle.
pub struct Departures {
    chart: Lifecycle<State, Event>,
    state: State,
    readiness: Readiness,
    parts: Parts,
}

/// Whom a departure concerns.
pub struct Parts {
    /// Finishes or hands over what is open.
    pub dispatch: Actor<Dispatch>,
    /// Gives its leases up.
    pub shards: Actor<Shards>,
    /// Tells the other daemons.
    pub fleet: Actor<Fleet>,
    /// Gives the placement lease up.
    pub placement: Actor<Placement>,
}

impl Departures {
    /// Starts in the chart's first state.
    pub fn init(
        _cx: CX![],
        chart: Lifecycle<State, Event>,
        readiness: Readiness,
        parts: Parts,
    ) -> Option<Departures> {
        let state = chart.initial();
        Some(Departures { chart, state, readiness, parts })
    }

    /// All servers listen.
    pub fn ready(&mut self, _cx: CX![]) {
        if self.step(Event::Ready) {
            self.readiness.set(true);
        }
    }

    /// The daemon is to leave.
    pub fn depart(&mut self, cx: CX![], departure: Departure) {
        let event = match departure {
            Departure::Stop => Event::StopOrdered,
            Departure::Reclaim(_) => Event::ReclaimNoticed,
        };
        let was_serving = self.state == State::Serving;
        if !self.step(event) {
            return;
        }
        self.readiness.set(false);
        metrics::set_draining();
        call!([self.parts.fleet], leave());
        if let Departure::Reclaim(left) = departure {
            call!([self.parts.dispatch], own_reclaim_noticed(left));
        }
        if self.state == State::Releasing {
            self.release(cx);
        } else if was_serving {
            let quiet = ret_some_to!([cx], quiet() as ());
            call!([self.parts.dispatch], drain_after(DRAIN_NOTICE, quiet));
        }
    }

    /// Nothing is open any more.
    fn quiet(&mut self, cx: CX![]) {
        if self.step(Event::Quiet) {
            self.release(cx);
        }
    }

    fn release(&mut self, cx: CX![]) {
        let released: Ret<()> = ret_some_to!([cx], placement_released() as ());
        call!([self.parts.placement], release(released));
    }

    fn placement_released(&mut self, cx: CX![]) {
        let released: Ret<()> = ret_some_to!([cx], released() as ());
        call!([self.parts.shards], release(released));
    }

    /// The leases are given up, or the time for it is over.
    fn released(&mut self, cx: CX![]) {
        if self.step(Event::Released) {
            cx.shutdown(StopCause::Stopped);
        }
    }

    /// Follows the chart; an event that the state doesn't expect changes nothing.
    fn step(&mut self, event: Event) -> bool {
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
