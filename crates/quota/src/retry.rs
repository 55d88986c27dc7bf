//! Budget for sending requests of a service to a further endpoint.
//!
//! Every daemon keeps to its even share, so that all together stay within the
//! limit without hearing from each other.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Limit over all daemons in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the limit that is used: the window of whoever counts may begin
/// anywhere, and requests of a burst fall out of it before their retries.
const MARGIN: f64 = 0.7;

/// What a daemon has sent in the window.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: Limit,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// An unused budget.
    pub fn new(limit: Limit) -> Budget {
        Budget { limit, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request's first send.
    pub fn count_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes a retry, where `daemons` share the limit.
    pub fn take_retry(&mut self, daemons: usize, now: Instant) -> bool {
        self.forget(now);
        let share = self.limit.extra / daemons.max(1) as f64;
        let allowed = MARGIN * (self.limit.ratio * self.requests.len() as f64 + share);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| now - *it > self.limit.window) {
                times.pop_front();
            }
        }
    }
}
