//! How long an engine takes until a request's first token.

use std::time::Duration;

use crate::load::Load;

/// Speeds of an engine, learnt from its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens read in a millisecond while nothing else runs.
    pub read_per_ms: f64,
    /// Time of a step of the batch, in milliseconds.
    pub step_ms: f64,
    /// Fixed time before the first token, in milliseconds.
    pub first_ms: f64,
}

impl Default for Speed {
    /// A dense model of 70 billion parameters on two to four accelerators.
    fn default() -> Speed {
        Speed { read_per_ms: 50.0, step_ms: 5.0, first_ms: 30.0 }
    }
}

/// Weight of an answer that shows a higher speed than is known.
const RISE: f64 = 0.2;
/// Weight of one that shows a lower speed: work that was not known of may have
/// delayed it.
const FALL: f64 = 0.01;
/// Fewest tokens of an answer's wait from which the speed can be told.
const TELLING_TOKENS: u32 = 4_000;
/// Bounds of the learnt speed in relation to the default.
const SPEED_RANGE: (f64, f64) = (0.3, 3.0);

impl Speed {
    /// Predicted time to the first token of a request that reads `tokens`
    /// behind the load that is there.
    pub fn first_token(
        &self,
        ahead: Load,
        tokens: u32,
        slots: u32,
        memory_tokens: u64,
    ) -> Duration {
        let reading = (f64::from(ahead.unread) + f64::from(tokens)) / self.read_per_ms;
        // Steps of running requests pass between the chunks of a prompt.
        let shared = 1.0 + f64::from(ahead.open.min(slots)) / f64::from(slots.max(1)) * 0.3;
        let queue = f64::from((ahead.open + 1).saturating_sub(slots)) * self.step_ms * 20.0;
        let over = (u64::from(ahead.held) + u64::from(tokens)).saturating_sub(memory_tokens);
        let memory = over as f64 / self.read_per_ms;
        Duration::from_secs_f64((self.first_ms + reading * shared + queue + memory) / 1e3)
    }

    /// Learns from a first token that came `waited` after a request which had
    /// `tokens` to read with those ahead of it.
    pub fn learn(&mut self, tokens: u32, waited: Duration) {
        if tokens < TELLING_TOKENS {
            return;
        }
        let base = Speed::default().read_per_ms;
        let reading = (waited.as_secs_f64() * 1e3 - self.first_ms).max(1.0);
        let seen = (f64::from(tokens) / reading).clamp(base * SPEED_RANGE.0, base * SPEED_RANGE.1);
        let weight = if seen > self.read_per_ms { RISE } else { FALL };
        self.read_per_ms += (seen - self.read_per_ms) * weight;
    }
}
