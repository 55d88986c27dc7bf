//! Pace of retries: a share of the successes and a trickle, so that an outage
//! or a wave of reclaims does not multiply the load.

use std::time::Duration;

/// Retries earned by a success.
const PER_SUCCESS: f64 = 0.2;
/// Retries a second that are allowed without any success.
const PER_SECOND: f64 = 4.0;
/// Most retries saved up.
const SAVED: f64 = 32.0;

/// Retries that may be made now.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    left: f64,
    at: Duration,
}

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance { left: SAVED, at: Duration::ZERO }
    }
}

impl Allowance {
    /// A job succeeded.
    pub fn succeeded(&mut self) {
        self.left = (self.left + PER_SUCCESS).min(SAVED);
    }

    /// Takes a retry, when one is allowed now.
    pub fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.left = (self.left + passed * PER_SECOND).min(SAVED);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Most retries that can be allowed over a time with this many successes.
    pub fn bound(successes: u32, time: Duration) -> f64 {
        SAVED + f64::from(successes) * PER_SUCCESS + time.as_secs_f64() * PER_SECOND
    }
}
