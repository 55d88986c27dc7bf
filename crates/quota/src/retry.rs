//! Retry budget of a service.
//!
//! Each daemon keeps to its even share of the limit, so that all daemons together
//! stay within it without communicating.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Limit over all daemons in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction of the limit that is used. An observer's window may start at any
/// time, and the requests of a burst drop out of it before their retries.
const SAFETY_FACTOR: f64 = 0.7;

/// Decision on a retry, with the figures that it depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether the retry may be sent.
    pub is_granted: bool,
    /// Retries that this daemon has sent within the window, including this one if it
    /// is granted.
    pub spent: usize,
    /// Retries that this daemon may send within the window.
    pub allowed: f64,
}

/// Requests and retries that a daemon has sent within the window.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: Limit,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limit: Limit) -> Budget {
        Budget { limit, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Instant) {
        self.evict_expired(now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget if this daemon's share of the limit, split
    /// evenly between `daemons`, allows it.
    pub fn take_retry(&mut self, daemons: usize, now: Instant) -> Decision {
        self.evict_expired(now);
        let extra_share = self.limit.extra / daemons.max(1) as f64;
        let allowed = SAFETY_FACTOR * (self.limit.ratio * self.requests.len() as f64 + extra_share);
        let is_granted = self.retries.len() as f64 + 1.0 <= allowed;
        if is_granted {
            self.retries.push_back(now);
        }
        Decision { is_granted, spent: self.retries.len(), allowed }
    }

    fn evict_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| now - *it > self.limit.window) {
                times.pop_front();
            }
        }
    }
}
