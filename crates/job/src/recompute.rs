//! Tokens computed again because an attempt did not reach the end.

/// What the recovery of a job, or of many, has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recompute {
    /// Attempts resumed from tokens.
    pub resumes: u32,
    /// Attempts that went on with a moved KV cache.
    pub moves: u32,
    /// Tokens of prompt and answer that were computed again.
    pub tokens: u64,
}

impl Recompute {
    /// Adds the cost of another attempt at a context of `context_tokens`, of
    /// which `cached_tokens` were found cached.
    pub fn add(&mut self, moved: bool, context_tokens: u32, cached_tokens: u32) {
        match moved {
            true => self.moves += 1,
            false => self.resumes += 1,
        }
        self.tokens += u64::from(context_tokens.saturating_sub(cached_tokens));
    }

    /// Adds the cost of another job.
    pub fn merge(&mut self, other: Recompute) {
        self.resumes += other.resumes;
        self.moves += other.moves;
        self.tokens += other.tokens;
    }
}
