//! Estimates the current load from the cumulative totals that daemons report.
//!
//! The estimate is an exponentially weighted average. Until the load has lasted
//! for the whole averaging window, it is averaged over the time since it began,
//! so that a sudden load is known at once.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Averaging window. It covers several requests of each daemon.
pub const AVERAGING_WINDOW: Duration = Duration::from_secs(3);

/// Load of one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Latest reported totals by daemon instance.
    totals: HashMap<String, f64>,
    updated_at: Option<Instant>,
    /// Start of the first interval with any work.
    load_began_at: Option<Instant>,
    per_s: f64,
}

impl Demand {
    /// Updates the estimate from the totals of the live daemons.
    ///
    /// Returns the work per second, in the unit of the totals.
    pub fn update(&mut self, totals: &[(String, f64)], now: Instant) -> f64 {
        let mut growth = 0.0;
        for (instance_id, total) in totals {
            // Work done before a daemon's first report can't be assigned to an
            // interval.
            let previous = self.totals.insert(instance_id.clone(), *total).unwrap_or(*total);
            growth += (total - previous).max(0.0);
        }
        let Some(updated_at) = self.updated_at.replace(now) else { return 0.0 };
        let elapsed_s = now.saturating_duration_since(updated_at).as_secs_f64();
        if elapsed_s == 0.0 {
            return self.per_s;
        }
        if growth > 0.0 {
            self.load_began_at.get_or_insert(updated_at);
        }
        let Some(load_began_at) = self.load_began_at else { return 0.0 };
        let window = AVERAGING_WINDOW.min(now.saturating_duration_since(load_began_at));
        let weight = (elapsed_s / window.as_secs_f64()).min(1.0);
        self.per_s += (growth / elapsed_s - self.per_s) * weight;
        self.per_s
    }
}
