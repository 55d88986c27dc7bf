//! Endpoint health, derived from request outcomes.

use std::time::Duration;
use std::time::Instant;

/// Outcome of an attempt, as far as it reflects the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint responded successfully.
    Success,
    /// The endpoint ran the request and failed it, or broke off its response.
    Failure,
    /// The endpoint rejected the request because it is at capacity.
    Overloaded,
    /// The connection failed or became unresponsive.
    Unreachable,
}

/// Weight of the latest outcome in the exponentially weighted failure rate:
/// about ten requests change it substantially.
const LATEST_WEIGHT: f64 = 0.12;
/// First pause after a failed connection; about the time in which the list of
/// endpoints shows a crash.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Maximum pause after failed connections: endpoints are back a few seconds
/// after a crash.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Pause after the endpoint reported that it is at capacity; a few steps of its
/// batch.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(60);

/// Health of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Exponentially weighted share of failed requests, from 0 to 1.
    pub failure_rate: f64,
    /// Failed connections since the last success.
    connection_failures: u32,
    paused_until: Option<Instant>,
}

impl Health {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Success => {
                self.failure_rate *= 1.0 - LATEST_WEIGHT;
                self.connection_failures = 0;
                self.paused_until = None;
            }
            Outcome::Failure => self.failure_rate += (1.0 - self.failure_rate) * LATEST_WEIGHT,
            Outcome::Overloaded => self.pause(now + OVERLOAD_PAUSE),
            Outcome::Unreachable => {
                let pause = FIRST_PAUSE * 2u32.saturating_pow(self.connection_failures.min(8));
                self.connection_failures += 1;
                self.pause(now + pause.min(MAX_PAUSE));
            }
        }
    }

    /// Whether requests should avoid the endpoint for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }

    fn pause(&mut self, until: Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |it| it.max(until)));
    }
}
