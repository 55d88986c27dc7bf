//! What came of each arrival, as its caller saw it.

use std::time::Duration;

use serde::Serialize;

/// How an arrival ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Answered whole.
    Whole,
    /// Refused, and said not to have run.
    NotRun,
    /// Said to have failed for good.
    Failed,
    /// Said to be unknown.
    Unknown,
    /// Ended without a last word, or with a wrong answer.
    Broken,
}

/// What came of a completion or a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How it ended.
    pub end: End,
    /// HTTP status.
    pub status: u16,
    /// Whether a time to come back was named.
    pub has_retry_after: bool,
    /// Time to the first token or the whole answer.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Tokens received.
    pub tokens: u32,
    /// Time to the end.
    pub took: Duration,
    /// Times that the caller sent it.
    pub sends: u32,
    /// What was wrong, in words.
    pub detail: String,
}
