//! A budget that fills at a steady rate and may be overdrawn once.

use std::time::Duration;

/// Time whose income the budget can hold.
const HELD: Duration = Duration::from_secs(2);

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

    /// Spends.
    pub fn spend(&mut self, amount: f64) {
        self.left -= amount;
    }
}
