//! Rate limiting of control traffic: a token bucket that a single operation may
//! overdraw.

use std::time::Duration;

/// Burst size of a budget, as the time in which it refills from empty.
const BURST: Duration = Duration::from_secs(2);

/// Time constant of the average of the primary use's rate.
const AVERAGING_TIME: Duration = Duration::from_secs(10);

/// The part of a shared allowance that a primary use leaves to a secondary use.
#[derive(Clone, Copy, Debug)]
pub struct Remainder {
    allowance: f64,
    min: f64,
    max: f64,
    primary_per_second: f64,
    primary_used: u64,
    updated_at: Duration,
}

impl Remainder {
    /// Creates a remainder whose secondary use gets between `min` and `max` of
    /// the `allowance`, all in amounts per second.
    pub fn new(allowance: f64, min: f64, max: f64) -> Remainder {
        Remainder {
            allowance,
            min,
            max,
            primary_per_second: 0.0,
            primary_used: 0,
            updated_at: Duration::ZERO,
        }
    }

    /// Records the cumulative amount of the primary use.
    pub fn observe(&mut self, now: Duration, used: u64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let rate = used.saturating_sub(self.primary_used) as f64 / elapsed;
        let weight = (elapsed / AVERAGING_TIME.as_secs_f64()).min(1.0);
        self.primary_per_second += (rate - self.primary_per_second) * weight;
        self.primary_used = used;
        self.updated_at = now;
    }

    /// Returns the rate available to the secondary use, in amounts per second.
    pub fn per_second(&self) -> f64 {
        (self.allowance - self.primary_per_second).clamp(self.min, self.max)
    }
}

/// A token bucket whose balance may become negative.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    per_second: f64,
    balance: f64,
    updated_at: Duration,
}

impl Budget {
    /// Creates a full budget that refills at `per_second`.
    pub fn new(per_second: f64) -> Budget {
        Budget { per_second, balance: per_second * BURST.as_secs_f64(), updated_at: Duration::ZERO }
    }

    /// Refills the budget and returns whether the balance is positive. The cost of an
    /// operation may turn out to exceed the balance; the budget then stays closed
    /// until refills have made up for it.
    pub fn is_open(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let max_balance = self.per_second * BURST.as_secs_f64();
        self.balance = (self.balance + elapsed * self.per_second).min(max_balance);
        self.updated_at = now;
        self.balance > 0.0
    }

    /// Sets the refill rate, in amounts per second.
    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Deducts an amount from the balance.
    pub fn spend(&mut self, amount: f64) {
        self.balance -= amount;
    }
}
