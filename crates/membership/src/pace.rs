//! When a forwarding daemon runs its next gossip round.
//!
//! Designed for fleets of which a round reaches only some daemons, and for crashes of many
//! endpoints at once: each daemon then hears news in every round of the others, so the number
//! of rounds per second has to be bounded while changes are urgent as well.

use std::time::Duration;
use std::time::Instant;

use crate::digest::FANOUT;

/// Interval between rounds while each round reaches all daemons. Outdated load figures would
/// send bursts to the same engine.
const INTERVAL: Duration = Duration::from_millis(100);
/// Like [`INTERVAL`], while a round reaches only some daemons. The interval is longer because
/// message traffic grows with the number of daemons.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(250);
/// Like [`LARGE_FLEET_INTERVAL`], while there are urgent changes. News reach a fleet of
/// hundreds of daemons in three or four rounds.
const LARGE_FLEET_URGENT_INTERVAL: Duration = Duration::from_millis(125);

/// The time of the latest gossip round.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    ran_at: Instant,
}

impl Pace {
    /// Creates the pace of a daemon that starts now.
    pub fn new(now: Instant) -> Pace {
        Pace { ran_at: now }
    }

    /// Records a round.
    pub fn record(&mut self, now: Instant) {
        self.ran_at = now;
    }

    /// Whether a round is due. `peers` is the number of other daemons.
    pub fn is_due(&self, peers: usize, is_urgent: bool, now: Instant) -> bool {
        let interval = match (peers <= FANOUT, is_urgent) {
            (true, true) => Duration::ZERO,
            (true, false) => INTERVAL,
            (false, true) => LARGE_FLEET_URGENT_INTERVAL,
            (false, false) => LARGE_FLEET_INTERVAL,
        };
        now >= self.ran_at + interval
    }
}
