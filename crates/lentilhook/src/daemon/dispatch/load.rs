//! Polls the load of endpoints in turn, within a bandwidth budget.
//!
//! A daemon's control traffic is limited to 3 KB a second in total, whatever the number
//! of endpoints. Endpoints in use are polled first, and load reports have precedence
//! over cache events. Between two reports the load is estimated from the requests that
//! this daemon has sent.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use endpoint::load;
use policy::budget::Budget;
use policy::budget::Remainder;
use stakker::CX;
use stakker::after;
use stakker::sync::Channel;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::routing::Poll;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(125);
/// Bytes per second for all control traffic.
const CONTROL_BYTES_PER_SECOND: f64 = 2800.0;
/// Bytes per second reserved for load reports, regardless of gossip traffic.
const MIN_LOAD_BYTES_PER_SECOND: f64 = 200.0;
/// Bytes per second for load reports while there is little gossip traffic.
const MAX_LOAD_BYTES_PER_SECOND: f64 = 1800.0;
/// Bytes per second for cache events.
const EVENT_BYTES_PER_SECOND: f64 = 200.0;

/// Poller of the endpoints' load; at most one query is pending.
pub struct Poller {
    queries: Sender<Query>,
    remainder: Remainder,
    load_budget: Budget,
    event_budget: Budget,
    started: Instant,
    turn: usize,
    is_pending: bool,
}

/// Result of a query; without a load report if the endpoint did not respond.
pub struct Response {
    poll: Poll,
    report: load::Report,
}

struct Query {
    poll: Poll,
    address: String,
    with_events: bool,
}

impl Poller {
    /// Starts the thread that queries the endpoints.
    pub fn start(results: Channel<Response>, started: Instant) -> Poller {
        let (queries, receiver) = channel();
        thread::spawn(move || run_queries(&receiver, &results));
        Poller {
            queries,
            remainder: Remainder::new(
                CONTROL_BYTES_PER_SECOND - EVENT_BYTES_PER_SECOND,
                MIN_LOAD_BYTES_PER_SECOND,
                MAX_LOAD_BYTES_PER_SECOND,
            ),
            load_budget: Budget::new(MAX_LOAD_BYTES_PER_SECOND),
            event_budget: Budget::new(EVENT_BYTES_PER_SECOND),
            started,
            turn: 0,
            is_pending: false,
        }
    }
}

impl Dispatch {
    /// Refreshes admission, and polls the next endpoint if the budget allows it.
    pub(super) fn poll_next(&mut self, cx: CX![]) {
        after!(POLL_INTERVAL, [cx], poll_next());
        self.refresh_admission(cx);
        let now = cx.now();
        let elapsed = now.saturating_duration_since(self.poller.started);
        self.poller.remainder.observe(elapsed, peer::traffic::control_bytes_sent());
        self.poller.load_budget.set_rate(self.poller.remainder.per_second());
        if self.poller.is_pending || !self.poller.load_budget.is_open(elapsed) {
            return;
        }
        self.poller.turn += 1;
        let Some(poll) = self.routing.next_poll(self.poller.turn, now) else { return };
        let Some(target) = self.endpoints.get(&poll.endpoint) else { return };
        let address = target.vm.address.clone();
        let with_events = self.poller.event_budget.is_open(elapsed);
        self.poller.is_pending = true;
        let _ = self.poller.queries.send(Query { poll, address, with_events });
    }

    /// Handles the result of a query.
    pub(super) fn handle_poll_response(&mut self, cx: CX![], response: Response) {
        self.poller.is_pending = false;
        self.poller.load_budget.spend(response.report.load_bytes as f64);
        self.poller.event_budget.spend(response.report.event_bytes as f64);
        self.routing.record_poll(&response.poll, &response.report, cx.now());
    }
}

fn run_queries(queries: &Receiver<Query>, results: &Channel<Response>) {
    while let Ok(query) = queries.recv() {
        let after = query.with_events.then_some(query.poll.after);
        let report = load::poll(&query.address, after);
        results.send(Response { poll: query.poll, report });
    }
}
