//! How far a completion has come, over several attempts.

use bincode::Decode;
use bincode::Encode;

use crate::reply::Token;

/// Numbers the attempts at one job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Attempt(pub u32);

/// Tokens of a completion in order, each taken once.
///
/// Invariant: tokens come only from the current attempt and without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Progress {
    text: String,
    ends: Vec<u32>,
    attempt: Attempt,
    resumed_at: u32,
}

/// What became of a token that an attempt delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is the next one.
    Next,
    /// It is known, or comes from an attempt that was given up.
    Ignored,
    /// One before it is missing: the attempt can't be used further.
    Gap,
}

/// What the end that an attempt reports means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Every token is here.
    Complete,
    /// The attempt is not the current one.
    Ignored,
    /// The attempt counted more or fewer tokens than came.
    Incomplete,
}

impl Progress {
    /// Starts another attempt; what earlier ones still deliver is ignored.
    pub fn start_attempt(&mut self) -> Attempt {
        self.attempt.0 += 1;
        self.resumed_at = self.len();
        self.attempt
    }

    /// Takes the end of an attempt, which says how many tokens it generated.
    pub fn finish(&self, attempt: Attempt, generated: u32) -> End {
        if attempt != self.attempt {
            return End::Ignored;
        }
        if self.resumed_at.checked_add(generated) != Some(self.len()) {
            return End::Incomplete;
        }
        End::Complete
    }

    /// Number of tokens that were there when the current attempt started.
    pub fn resumed_at(&self) -> u32 {
        self.resumed_at
    }

    /// The current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Takes a token of an attempt.
    pub fn take(&mut self, attempt: Attempt, index: u32, text: &str) -> Taken {
        if attempt != self.attempt || index < self.len() {
            return Taken::Ignored;
        }
        if index > self.len() {
            return Taken::Gap;
        }
        self.text.push_str(text);
        self.ends.push(self.text.len() as u32);
        Taken::Next
    }

    /// Number of tokens.
    pub fn len(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Whether there is no token yet.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The tokens from an index on.
    pub fn tokens_from(&self, index: u32) -> impl Iterator<Item = Token> + '_ {
        (index..self.len()).map(|index| Token { index, text: self.token_text(index).to_owned() })
    }

    fn token_text(&self, index: u32) -> &str {
        let start = if index == 0 { 0 } else { self.ends[index as usize - 1] };
        &self.text[start as usize..self.ends[index as usize] as usize]
    }
}
