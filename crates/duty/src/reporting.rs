//! When a daemon reports its usage, and how much of it.
//!
//! Designed for hundreds of daemons and dozens of workspaces: counts of all recent windows in
//! each gossip round would fill the link of the daemon that holds the lease.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::usage::SENT_WINDOWS;

/// Interval between usage reports to all daemons while each gossip round reaches
/// all of them. Bounds the counts that are lost when a daemon is killed.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between usage reports to the lease holder of a large fleet.
const HOLDER_INTERVAL: Duration = Duration::from_secs(1);
/// Each report of this number contains all windows whose report may be outstanding. The
/// others contain the current window and the one before.
const WHOLE_REPORT_PERIOD: u32 = 4;

/// When a daemon last reported its usage, and to whom.
#[derive(Debug)]
pub struct Reporting {
    phase: u32,
    reported_at: Instant,
    /// Lease holder that received the latest report, and how many it has received.
    received: Option<(SocketAddr, u32)>,
}

impl Reporting {
    /// Creates the record of a daemon that has reported nothing. Daemons with different
    /// phases report all windows at different times.
    pub fn new(phase: u32, now: Instant) -> Reporting {
        Reporting { phase: phase % WHOLE_REPORT_PERIOD, reported_at: now, received: None }
    }

    /// Whether a report to all daemons is due. If so, records it.
    pub fn is_broadcast_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.reported_at + BROADCAST_INTERVAL;
        if is_due {
            self.reported_at = now;
        }
        is_due
    }

    /// Returns how many windows before the current one a report to `holder` contains, if one
    /// is due. If so, records it.
    pub fn next_to(&mut self, holder: SocketAddr, now: Instant) -> Option<u64> {
        let count = self.received.filter(|(it, _)| *it == holder).map_or(0, |(_, count)| count);
        if count > 0 && now < self.reported_at + HOLDER_INTERVAL {
            return None;
        }
        self.reported_at = now;
        self.received = Some((holder, count + 1));
        let is_whole = count == 0 || count % WHOLE_REPORT_PERIOD == self.phase;
        Some(if is_whole { SENT_WINDOWS } else { 1 })
    }
}
