//! How much work callers bring, from the totals that daemons tell.
//!
//! Answers loads that begin at once: the average is over the time since the
//! load began, until that is long enough.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Time over which work is averaged: some requests of each daemon.
pub const AVERAGED_OVER: Duration = Duration::from_secs(3);

/// Work for one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Totals as last told, by life of the daemon.
    totals: HashMap<String, f64>,
    at: Option<Instant>,
    /// When the first work was seen.
    began: Option<Instant>,
    per_s: f64,
}

impl Demand {
    /// Takes the totals of the daemons that live; gives the work of a second,
    /// in the unit of the totals.
    pub fn update(&mut self, totals: &[(String, f64)], now: Instant) -> f64 {
        let mut grown = 0.0;
        for (life, total) in totals {
            // What a daemon did before it was first heard belongs to no moment.
            let before = self.totals.insert(life.clone(), *total).unwrap_or(*total);
            grown += (total - before).max(0.0);
        }
        let Some(at) = self.at.replace(now) else { return 0.0 };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        if passed == 0.0 {
            return self.per_s;
        }
        if grown > 0.0 {
            self.began.get_or_insert(at);
        }
        let Some(began) = self.began else { return 0.0 };
        let over = AVERAGED_OVER.min(now.saturating_duration_since(began)).as_secs_f64();
        self.per_s += (grown / passed - self.per_s) * (passed / over).min(1.0);
        self.per_s
    }
}
