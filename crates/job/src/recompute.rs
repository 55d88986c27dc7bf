//! Accounting of the tokens recomputed because an attempt did not complete.

/// Cost of recovery, for a single job or summed over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recompute {
    /// Number of attempts resumed by recomputing the tokens.
    pub resumes: u32,
    /// Number of attempts resumed with a KV cache moved from another endpoint.
    pub moves: u32,
    /// Number of prompt and completion tokens that were recomputed.
    pub tokens: u64,
}

impl Recompute {
    /// Adds the cost of one more attempt. Its context has `context_tokens`
    /// tokens, of which `cached_tokens` were served from the cache.
    pub fn add(&mut self, moved: bool, context_tokens: u32, cached_tokens: u32) {
        match moved {
            true => self.moves += 1,
            false => self.resumes += 1,
        }
        self.tokens += u64::from(context_tokens.saturating_sub(cached_tokens));
    }

    /// Adds the cost of other jobs.
    pub fn merge(&mut self, other: Recompute) {
        self.resumes += other.resumes;
        self.moves += other.moves;
        self.tokens += other.tokens;
    }
}
