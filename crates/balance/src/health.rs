//! Health of an endpoint by the outcomes of requests.

use std::time::Duration;
use std::time::Instant;

/// How a send ended, as far as it tells of the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with success.
    Good,
    /// The endpoint ran the request and failed it, or broke its answer.
    Bad,
    /// The endpoint turned the request away because it is full.
    Full,
    /// No connection, or no sign of life on it.
    Dead,
}

/// Weight of the newest outcome in the failure rate: about ten requests
/// change an opinion.
const NEWEST: f64 = 0.12;
/// First time without requests after a dead connection; about the time in
/// which the list of endpoints tells a crash.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest such time: endpoints are back some seconds after a crash.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Time without requests after the endpoint said that it is full; some steps
/// of its batch.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// What outcomes tell of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Share of requests that failed lately, 0 to 1.
    pub failing: f64,
    deaths: u32,
    paused_until: Option<Instant>,
}

impl Health {
    /// Takes an outcome into account.
    pub fn note(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Good => {
                self.failing *= 1.0 - NEWEST;
                self.deaths = 0;
                self.paused_until = None;
            }
            Outcome::Bad => self.failing += (1.0 - self.failing) * NEWEST,
            Outcome::Full => self.pause(now + FULL_PAUSE),
            Outcome::Dead => {
                let pause = FIRST_PAUSE * 2u32.saturating_pow(self.deaths.min(8));
                self.deaths += 1;
                self.pause(now + pause.min(LONGEST_PAUSE));
            }
        }
    }

    /// Whether requests should go elsewhere for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }

    fn pause(&mut self, until: Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |it| it.max(until)));
    }
}
