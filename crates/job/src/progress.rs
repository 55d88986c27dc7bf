//! Progress of a completion across several attempts.

use bincode::Decode;
use bincode::Encode;

use crate::reply::Token;

/// Sequence number of an attempt at a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Attempt(pub u32);

/// The tokens of a completion received so far, in order and without duplicates.
///
/// Invariant: only the current attempt appends tokens, and it leaves no gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Progress {
    text: String,
    ends: Vec<u32>,
    attempt: Attempt,
    resumed_at: u32,
}

/// Result of a token's delivery by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The token was appended.
    Appended,
    /// The token is a duplicate, or comes from an attempt that was abandoned.
    Ignored,
    /// An earlier token is missing. The attempt can't be continued.
    Gap,
}

/// Result of the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The completion has all its tokens.
    Complete,
    /// The attempt is not the current one.
    Ignored,
    /// The attempt reported more or fewer tokens than were received.
    Incomplete,
}

impl Progress {
    /// Starts a new attempt. Anything that older attempts still deliver is ignored.
    pub fn start_attempt(&mut self) -> Attempt {
        self.attempt.0 += 1;
        self.resumed_at = self.len();
        self.attempt
    }

    /// Checks whether the completion is complete at the end of an attempt that
    /// reports `generated` tokens.
    pub fn finish(&self, attempt: Attempt, generated: u32) -> End {
        if attempt != self.attempt {
            return End::Ignored;
        }
        if self.resumed_at.checked_add(generated) != Some(self.len()) {
            return End::Incomplete;
        }
        End::Complete
    }

    /// Returns the number of tokens present when the current attempt started.
    pub fn resumed_at(&self) -> u32 {
        self.resumed_at
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Appends a token delivered by an attempt, unless it is stale or leaves a gap.
    pub fn append(&mut self, attempt: Attempt, index: u32, text: &str) -> Delivery {
        if attempt != self.attempt || index < self.len() {
            return Delivery::Ignored;
        }
        if index > self.len() {
            return Delivery::Gap;
        }
        self.text.push_str(text);
        self.ends.push(self.text.len() as u32);
        Delivery::Appended
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Whether there are no tokens yet.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the concatenated text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the tokens from `index` on.
    pub fn tokens_from(&self, index: u32) -> impl Iterator<Item = Token> + '_ {
        (index..self.len()).map(|index| Token { index, text: self.token_text(index).to_owned() })
    }

    fn token_text(&self, index: u32) -> &str {
        let start = if index == 0 { 0 } else { self.ends[index as usize - 1] };
        &self.text[start as usize..self.ends[index as usize] as usize]
    }
}
