//! Latency model of an engine: predicts the time to first token.

use std::time::Duration;

use crate::load::Load;

/// Speed of an engine, learned from its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens computed per millisecond on an otherwise idle engine.
    pub prefill_tokens_per_ms: f64,
    /// Duration of a batch step, in milliseconds.
    pub step_ms: f64,
    /// Fixed overhead before the first token, in milliseconds.
    pub overhead_ms: f64,
}

impl Default for Speed {
    /// A dense model of 70 billion parameters on two to four accelerators.
    fn default() -> Speed {
        Speed { prefill_tokens_per_ms: 50.0, step_ms: 5.0, overhead_ms: 30.0 }
    }
}

/// Weight of a sample that is faster than the current estimate.
const RISE_WEIGHT: f64 = 0.2;
/// Weight of a sample that is slower than the current estimate: work unknown to
/// this daemon may have delayed it.
const FALL_WEIGHT: f64 = 0.01;
/// Minimum number of prefill tokens for a sample to be meaningful.
const MIN_SAMPLE_TOKENS: u32 = 4_000;
/// Bounds of the learned speed, relative to the default.
const SPEED_RANGE: (f64, f64) = (0.3, 3.0);

impl Speed {
    /// Predicts the time to first token of a request with `tokens` uncached
    /// prompt tokens at an endpoint with `outstanding` load.
    pub fn time_to_first_token(
        &self,
        outstanding: Load,
        tokens: u32,
        slots: u32,
        memory_tokens: u64,
    ) -> Duration {
        let prefill_ms = (f64::from(outstanding.prefill_tokens) + f64::from(tokens))
            / self.prefill_tokens_per_ms;
        // The chunks of a prefill are interleaved with steps of running requests.
        let slowdown =
            1.0 + f64::from(outstanding.open_requests.min(slots)) / f64::from(slots.max(1)) * 0.3;
        let queue_ms =
            f64::from((outstanding.open_requests + 1).saturating_sub(slots)) * self.step_ms * 20.0;
        let excess_tokens =
            (u64::from(outstanding.held_tokens) + u64::from(tokens)).saturating_sub(memory_tokens);
        let memory_ms = excess_tokens as f64 / self.prefill_tokens_per_ms;
        Duration::from_secs_f64(
            (self.overhead_ms + prefill_ms * slowdown + queue_ms + memory_ms) / 1e3,
        )
    }

    /// Returns the time in which an otherwise idle engine computes prompt tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_ms / 1e3)
    }

    /// Updates the prefill speed from a first token that arrived `waited` after
    /// its request was sent. `tokens` counts the uncached prompt tokens of the
    /// request and of those queued ahead of it.
    pub fn learn(&mut self, tokens: u32, waited: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let default = Speed::default().prefill_tokens_per_ms;
        let prefill_ms = (waited.as_secs_f64() * 1e3 - self.overhead_ms).max(1.0);
        let sample = (f64::from(tokens) / prefill_ms)
            .clamp(default * SPEED_RANGE.0, default * SPEED_RANGE.1);
        let weight = if sample > self.prefill_tokens_per_ms { RISE_WEIGHT } else { FALL_WEIGHT };
        self.prefill_tokens_per_ms += (sample - self.prefill_tokens_per_ms) * weight;
    }
}
