//! Problem details (RFC 9457), extended by the outcome of the request.

use bincode::Decode;
use bincode::Encode;
use policy::promise;
use policy::promise::Author;
use policy::promise::Evidence;
use serde::Deserialize;
use serde::Serialize;

/// Outcome of a request whose response is a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not executed. It is safe to send it again.
    NotRun,
    /// The request was executed and failed, or was permanently abandoned.
    Failed,
    /// The request may or may not have been executed.
    Unknown,
}

/// Problem details, the body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short summary of the problem type.
    pub title: String,
    /// What happened and how to resolve it.
    pub detail: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Seconds to wait before a retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Outcome {
    /// Returns what it shows about whether the request has run.
    pub fn evidence(self) -> Evidence {
        match self {
            Outcome::NotRun => Evidence::Declined,
            Outcome::Failed | Outcome::Unknown => Evidence::None,
        }
    }
}

impl Problem {
    /// Creates the problem of a request that was not executed.
    pub fn not_run(status: u16, title: &str, detail: impl Into<String>) -> Problem {
        Problem::new(status, title, detail, Outcome::NotRun)
    }

    /// Creates a problem with the given outcome. A status that promises more than the outcome is
    /// replaced.
    pub fn new(status: u16, title: &str, detail: impl Into<String>, outcome: Outcome) -> Problem {
        let title = title.to_owned();
        let detail = detail.into();
        Problem { status, title, detail, outcome, retry_after_s: None }.checked()
    }

    /// Returns the problem with a status that promises no more than its outcome. Problems that
    /// former builds created may promise more.
    pub fn checked(self) -> Problem {
        let response = promise::Response {
            status: self.status,
            author: Author::Daemon,
            evidence: self.outcome.evidence(),
            is_idempotent: false,
        };
        Problem { status: response.checked_status(), ..self }
    }

    /// Sets the number of seconds to wait before a retry.
    pub fn retry_after(mut self, seconds: u32) -> Problem {
        self.retry_after_s = Some(seconds);
        self
    }
}
