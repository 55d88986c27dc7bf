//! A budget that fills at a steady rate and may be overdrawn once.

use std::time::Duration;

/// Time whose income the budget can hold.
const HELD: Duration = Duration::from_secs(2);

/// Time over which a first use's rate is averaged.
const SMOOTHED: Duration = Duration::from_secs(10);

/// What a first use leaves of an allowance to a second one.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    allowance: f64,
    least: f64,
    most: f64,
    used_per_second: f64,
    used: u64,
    at: Duration,
}

impl Rest {
    /// The second use gets at least `least` and at most `most` of the
    /// `allowance`, all in amounts a second.
    pub fn new(allowance: f64, least: f64, most: f64) -> Rest {
        Rest { allowance, least, most, used_per_second: 0.0, used: 0, at: Duration::ZERO }
    }

    /// The first use has come to `used` in all.
    pub fn observe(&mut self, now: Duration, used: u64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let rate = used.saturating_sub(self.used) as f64 / passed;
        let weight = (passed / SMOOTHED.as_secs_f64()).min(1.0);
        self.used_per_second += (rate - self.used_per_second) * weight;
        self.used = used;
        self.at = now;
    }

    /// Rate of the second use.
    pub fn per_second(&self) -> f64 {
        (self.allowance - self.used_per_second).clamp(self.least, self.most)
    }
}

/// An amount that may be spent.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    per_second: f64,
    left: f64,
    at: Duration,
}

impl Budget {
    /// A full budget.
    pub fn new(per_second: f64) -> Budget {
        Budget { per_second, left: per_second * HELD.as_secs_f64(), at: Duration::ZERO }
    }

    /// Whether something may be spent now. What is spent may turn out larger
    /// than what is left; then nothing may be spent until it is paid back.
    pub fn is_open(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let most = self.per_second * HELD.as_secs_f64();
        self.left = (self.left + passed * self.per_second).min(most);
        self.at = now;
        self.left > 0.0
    }

    /// Fills at another rate from now on.
    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Spends.
    pub fn spend(&mut self, amount: f64) {
        self.left -= amount;
    }
}
