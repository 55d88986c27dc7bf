//! Retry budget of a service.
//!
//! Each daemon keeps to its share of the limit, so that all daemons together stay within
//! it without communicating.
//!
//! A daemon that has just started doesn't know which retries were sent in its place
//! before, and has to assume that the limit was used as far as it is shared out. What is
//! held back is for the daemons that started within the window. However often they start,
//! they stay within it together: a daemon gains the fixed part of its share only with
//! time, and the ratio only of requests that it has received itself.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;

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

/// Fraction of the limit that is shared out. An observer's window may start at any
/// time, and the requests of a burst drop out of it before their retries.
const SHARED_FRACTION: f64 = 0.7;
/// Fraction of the limit for daemons that started within the window, if all of them did.
/// Together with [`SHARED_FRACTION`], it stays below one.
const RECENT_FRACTION: f64 = 0.25;

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

    /// Changes the limit. Retries already sent stay counted.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Takes a retry from the budget if this daemon's share of the limit allows it.
    pub fn take_retry(&mut self, fleet: &Fleet, now: Instant) -> Decision {
        self.evict_expired(now);
        let window = self.limit.window.as_secs_f64();
        let gained = (fleet.age.as_secs_f64() / window).min(1.0);
        let extra = fleet.daemons.map_or(0.0, |it| self.limit.extra / it.max(1) as f64);
        let share = self.limit.ratio * self.requests.len() as f64 + extra * gained;
        let allowed = self.fraction(fleet) * share;
        let is_granted = self.retries.len() as f64 + 1.0 <= allowed;
        if is_granted {
            self.retries.push_back(now);
        }
        Decision { is_granted, spent: self.retries.len(), allowed }
    }

    /// Returns the fraction of its share that this daemon may use.
    fn fraction(&self, fleet: &Fleet) -> f64 {
        if fleet.age >= self.limit.window {
            return SHARED_FRACTION;
        }
        let Some(daemons) = fleet.daemons else { return RECENT_FRACTION };
        let daemons_per_recent = daemons.max(1) as f64 / fleet.recent.max(1) as f64;
        (RECENT_FRACTION * daemons_per_recent).clamp(RECENT_FRACTION, SHARED_FRACTION)
    }

    fn evict_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| now - *it > self.limit.window) {
                times.pop_front();
            }
        }
    }
}
