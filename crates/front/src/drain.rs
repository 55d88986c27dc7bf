//! Decisions of a stopping daemon. Takes time and counts, performs no I/O.

use std::time::Duration;
use std::time::Instant;

use relay::server::Phase;

/// How long after SIGTERM the load balancer still opens connections. It probes once a
/// second and removes a daemon after two failures.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// How long before SIGKILL a daemon exits despite open exchanges.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// How long before such an exit incomplete requests are refused, so that the response
/// reaches their callers.
const REFUSAL_LEAD: Duration = Duration::from_millis(500);
/// How long a phase lasts at least before the next one, so that connections follow it.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time for which the end of a response may take to reach its caller.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// Interval between reports of what the daemon waits for.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a stopping daemon does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Handles callers' connections as in this phase.
    Continue(Phase),
    /// Exits.
    Exit(Cause),
}

/// Cause of an exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No exchange was in progress.
    Drained,
    /// The grace period was over.
    GraceOver,
}

impl Cause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Drained => "drained",
            Cause::GraceOver => "grace_over",
        }
    }
}

/// Time that a request may still take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// Time until the request's time limit.
    pub limit: Duration,
    /// Time that few requests of its route exceed, if known.
    pub expected: Option<Duration>,
}

/// Progress of a stopping daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    since: Instant,
    reported_at: Instant,
    /// When [`Phase::Ending`] began.
    ending_since: Option<Instant>,
}

impl Drain {
    /// Begins to stop.
    pub fn new(now: Instant) -> Drain {
        Drain { since: now, reported_at: now, ending_since: None }
    }

    /// Returns what to do next. `open` is the number of exchanges in progress, from the
    /// first byte of a request until the caller's socket has taken its response.
    pub fn step(&mut self, open: usize, grace: Duration, now: Instant) -> Step {
        let elapsed = now.saturating_duration_since(self.since);
        let limit = grace.saturating_sub(KILL_MARGIN);
        if elapsed >= limit {
            return Step::Exit(Cause::GraceOver);
        }
        let is_exit_near = elapsed + REFUSAL_LEAD >= limit;
        if elapsed < BALANCER_LAG && !is_exit_near {
            return Step::Continue(Phase::Closing);
        }
        let has_settled = elapsed >= BALANCER_LAG + SETTLE_TIME;
        if self.ending_since.is_none() && (is_exit_near || open == 0 && has_settled) {
            self.ending_since = Some(now);
        }
        let Some(ending_since) = self.ending_since else { return Step::Continue(Phase::Closed) };
        if open == 0 && now >= ending_since + SETTLE_TIME {
            return Step::Exit(Cause::Drained);
        }
        Step::Continue(Phase::Ending)
    }

    /// Whether a request that arrives while the daemon stops is sent to an endpoint.
    ///
    /// Such requests come on connections that the load balancer opens until it has
    /// removed the daemon, or longer while few daemons of the zone are ready, on kept
    /// connections, and with bodies that arrive slowly. A request that is cut is lost, and
    /// one that is refused is served by another daemon a moment later. So only those are
    /// admitted whose time limit ends before the daemon exits, and those that can be expected
    /// to end before it while the load balancer still sends callers to this daemon.
    pub fn admits(&self, request: Remaining, grace: Duration, now: Instant) -> bool {
        let exit_at = self.since + grace.saturating_sub(KILL_MARGIN + DELIVERY_TIME);
        let left = exit_at.saturating_duration_since(now);
        let is_in_rotation = now < self.since + BALANCER_LAG;
        let is_expected_to_end = request.expected.is_some_and(|it| it <= left);
        request.limit <= left || is_in_rotation && is_expected_to_end
    }

    /// Whether to report what the daemon waits for.
    pub fn is_report_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.reported_at + REPORT_INTERVAL;
        if is_due {
            self.reported_at = now;
        }
        is_due
    }
}
