//! Actor that drives the daemon's lifecycle according to the drain chart.

use std::time::Duration;
use std::time::Instant;

use gateway::server::Readiness;
use peer::transport::Transport;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::StopCause;
use stakker::after;
use stakker::call;
use stakker::ret_some_to;
use statechart::Label;
use statechart::Lifecycle;
use web::server::Server;

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
/// Interval between checks whether all connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    servers: Vec<Server>,
    close_timeout: Duration,
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
    /// Delivers replies to the daemons that forwarded calls here.
    pub transport: Transport,
}

impl Departures {
    /// Creates the actor in the chart's initial state. After a shutdown, callers have
    /// `close_timeout` to receive the rest of their responses.
    pub fn init(
        _cx: CX![],
        chart: Lifecycle<State, Event>,
        readiness: Readiness,
        subsystems: Subsystems,
        close_timeout: Duration,
    ) -> Option<Departures> {
        let state = chart.initial();
        let servers = Vec::new();
        Some(Departures { chart, state, readiness, subsystems, servers, close_timeout })
    }

    /// Marks the daemon as ready. Called once all servers are listening.
    pub fn ready(&mut self, _cx: CX![], servers: Vec<Server>) {
        self.servers = servers;
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
        self.servers.iter().for_each(Server::close_connections);
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

    /// Closes the connections once the leases are released or the release has timed out. The
    /// other actors keep answering the requests that are still being received.
    fn released(&mut self, cx: CX![]) {
        self.servers.iter().for_each(Server::stop);
        self.log_connections("closing connections");
        let deadline = cx.now() + self.close_timeout;
        self.await_connections(cx, deadline);
    }

    /// Stops the runtime once callers and peers have received their replies or the deadline has
    /// passed.
    fn await_connections(&mut self, cx: CX![], deadline: Instant) {
        let is_closed = self.servers.iter().all(Server::is_closed)
            && self.subsystems.transport.incoming_streams() == 0;
        if !is_closed && cx.now() < deadline {
            after!(CLOSE_POLL_INTERVAL, [cx], await_connections(deadline));
            return;
        }
        self.log_connections("connections closed");
        if self.apply(Event::Released) {
            cx.shutdown(StopCause::Stopped);
        }
    }

    fn log_connections(&self, message: &str) {
        for server in &self.servers {
            let progress = server.progress();
            spdlog::info!("{message}", kv: {
                listen = server.address.to_string(),
                connections = progress.connections,
                requests = progress.requests,
                unsent_bytes = progress.unsent_bytes,
                peer_streams = self.subsystems.transport.incoming_streams(),
            });
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
