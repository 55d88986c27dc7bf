//! Results of requests as observed by their callers.

use std::time::Duration;

use serde::Serialize;

/// Final status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Answered completely.
    Whole,
    /// Refused and reported as not run.
    NotRun,
    /// Reported as permanently failed.
    Failed,
    /// Reported as having an unknown outcome.
    Unknown,
    /// Ended without a final status, or answered incorrectly.
    Broken,
}

/// Answer to a completion request or a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Final status.
    pub status: Status,
    /// HTTP status code, 0 if no response arrived.
    pub http_status: u16,
    /// Whether the response carried `Retry-After`.
    pub has_retry_after: bool,
    /// Time to the first token of a completion, or to the complete answer of a call.
    pub latency: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Number of tokens received.
    pub tokens: u32,
    /// Time until the request ended.
    pub elapsed: Duration,
    /// Number of times that the caller sent the request.
    pub attempts: u32,
    /// Description of what went wrong, empty for complete answers.
    pub detail: String,
}
