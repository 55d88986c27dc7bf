//! Problem answers (RFC 9457) with the outcome of the request.

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing was executed; the same request may be sent again.
    NotRun,
    /// It was executed and failed, or was given up on for good.
    Failed,
    /// It may or may not have been executed.
    Unknown,
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short name of the problem.
    pub title: String,
    /// What happened and what to do about it.
    pub detail: String,
    /// What became of the request.
    pub outcome: Outcome,
    /// Seconds after which a new try is useful.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Problem {
    /// A problem of a request that was not executed.
    pub fn not_run(status: u16, title: &str, detail: impl Into<String>) -> Problem {
        Problem::new(status, title, detail, Outcome::NotRun)
    }

    /// A problem with the given outcome.
    pub fn new(status: u16, title: &str, detail: impl Into<String>, outcome: Outcome) -> Problem {
        let title = title.to_owned();
        Problem { status, title, detail: detail.into(), outcome, retry_after_s: None }
    }

    /// The same problem with a time to come back.
    pub fn retry_after(mut self, seconds: u32) -> Problem {
        self.retry_after_s = Some(seconds);
        self
    }
}
