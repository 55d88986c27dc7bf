//! Metrics and log lines about what callers hold.

use std::time::Duration;

use relay::budget::Budget;
use relay::budget::Usage;
use relay::open::Closed;
use relay::open::Connections;
use tokio::time::sleep;

use crate::metrics;

/// Interval at which the use is read, so that a flood causes one line in it.
const INTERVAL: Duration = Duration::from_secs(1);

/// Exports the use of the budget, and logs bodies and connections that were refused or given up.
pub async fn watch(budget: Budget, connections: Connections) {
    let mut last = Usage::default();
    let mut last_closed = Closed::default();
    loop {
        sleep(INTERVAL).await;
        let usage = budget.usage();
        metrics::set_state("body_bytes", i64::try_from(usage.bytes).unwrap_or(i64::MAX));
        metrics::set_state("bodies", i64::try_from(usage.bodies).unwrap_or(i64::MAX));
        let refused = usage.refused - last.refused;
        let evicted = usage.evicted - last.evicted;
        metrics::count_many("body", "refused", refused);
        metrics::count_many("body", "evicted", evicted);
        let evicted_answers = usage.evicted_answers - last.evicted_answers;
        metrics::count_many("body", "answer_evicted", evicted_answers);
        if refused > 0 || evicted > 0 {
            spdlog::warn!("short of memory for bodies", kv: {
                bytes = usage.bytes,
                bodies = usage.bodies,
                refused = refused,
                evicted = evicted,
                evicted_answers = evicted_answers,
            });
        }
        last = usage;
        let closed = connections.closed();
        report_closed(last_closed, closed);
        last_closed = closed;
    }
}

fn report_closed(last: Closed, closed: Closed) {
    let (unused, new) = (closed.unused - last.unused, closed.new - last.new);
    metrics::count_many("connection", "unused_closed", unused);
    metrics::count_many("connection", "new_closed", new);
    if unused > 0 || new > 0 {
        spdlog::warn!("too many connections of callers", kv: { unused = unused, new = new });
    }
}
