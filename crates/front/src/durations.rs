//! How long requests take, by route.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new duration in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new deviation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean that few durations exceed.
const DEVIATIONS: f64 = 4.0;

/// Smoothed durations of served requests, estimated as round-trip times are in TCP
/// (RFC 6298).
#[derive(Debug, Default)]
pub struct Durations {
    by_route: HashMap<String, Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl Durations {
    /// Records the duration of a served request.
    pub fn record(&mut self, route: &str, took: Duration) {
        let took_s = took.as_secs_f64();
        let Some(estimate) = self.by_route.get_mut(route) else {
            let estimate = Estimate { mean_s: took_s, deviation_s: took_s / 2.0 };
            self.by_route.insert(route.to_owned(), estimate);
            return;
        };
        let deviation_s = (took_s - estimate.mean_s).abs();
        estimate.deviation_s += DEVIATION_WEIGHT * (deviation_s - estimate.deviation_s);
        estimate.mean_s += MEAN_WEIGHT * (took_s - estimate.mean_s);
    }

    /// Returns a duration that few requests of the route exceed, if any were served.
    pub fn upper(&self, route: &str) -> Option<Duration> {
        let estimate = self.by_route.get(route)?;
        Some(Duration::from_secs_f64(estimate.mean_s + DEVIATIONS * estimate.deviation_s))
    }

    /// Removes the routes for which `is_configured` returns false.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| is_configured(route));
    }
}
