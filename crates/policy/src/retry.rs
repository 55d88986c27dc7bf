//! Retry budget: a share of the successes plus a small constant rate, so that an
//! outage or a wave of reclaims does not multiply the load.

use std::time::Duration;

/// Retries credited for each success.
const PER_SUCCESS: f64 = 0.2;
/// Retries per second credited regardless of successes.
const PER_SECOND: f64 = 4.0;
/// Maximum number of accumulated retries.
const CAPACITY: f64 = 32.0;
/// Retries available at the start of a daemon, which does not know how many were spent before.
const INITIAL: f64 = PER_SECOND;

/// Budget of retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: f64,
    updated_at: Duration,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { balance: INITIAL, updated_at: Duration::ZERO }
    }
}

impl Budget {
    /// Credits the success of a job.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + PER_SUCCESS).min(CAPACITY);
    }

    /// Withdraws one retry; returns false if the budget is exhausted.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.balance = (self.balance + elapsed * PER_SECOND).min(CAPACITY);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the maximum number of retries granted in the period since the start, with this
    /// many successes.
    pub fn upper_bound(successes: u32, period: Duration) -> f64 {
        INITIAL + f64::from(successes) * PER_SUCCESS + period.as_secs_f64() * PER_SECOND
    }
}
