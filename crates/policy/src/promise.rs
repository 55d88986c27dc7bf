//! Whether the response to a request may promise that the request has not run.
//!
//! The rules are tabulated in `docs/design/not-run.md`.

/// Status of a response that promises nothing.
pub const BAD_GATEWAY: u16 = 502;

/// Whether callers take a status as a promise that the request has not run and never will.
pub fn is_made_by(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// What is known about whether a request has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// Nothing of it was sent to an endpoint.
    #[default]
    Unsent,
    /// Whoever received it has stated that it has not run.
    Declined,
    /// It was sent, and nothing shows that it has not run.
    None,
}

impl Evidence {
    /// Returns what is known after a further attempt.
    pub fn and(self, other: Evidence) -> Evidence {
        self.max(other)
    }

    /// Whether the request is known not to have run.
    pub fn is_proof(self) -> bool {
        self != Evidence::None
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Unsent => "unsent",
            Evidence::Declined => "declined",
            Evidence::None => "none",
        }
    }
}

/// Who has chosen the status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Author {
    /// An endpoint, or another daemon that relays its response.
    Endpoint,
    /// This daemon.
    Daemon,
}

/// A response that could be sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Who has chosen the status.
    pub author: Author,
    /// What is known about runs of the request.
    pub evidence: Evidence,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

impl Response {
    /// Returns the status for the caller. If it is another one than that of the response, nothing of
    /// the response may be sent.
    pub fn checked_status(self) -> u16 {
        let is_sound = !is_made_by(self.status) || self.evidence.is_proof();
        // Callers may repeat these requests whatever the status says.
        let is_harmless = self.author == Author::Endpoint && self.is_idempotent;
        if is_sound || is_harmless { self.status } else { BAD_GATEWAY }
    }
}
