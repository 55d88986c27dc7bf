//! What a caller's request says of itself.

use std::time::Duration;

/// A caller's request, decoded from its head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    /// Identity of this try, given by the caller; empty when it gave none.
    pub id: String,
    /// Time that the caller still waits.
    pub patience: Option<Duration>,
    /// Key of a workspace.
    pub key: Option<String>,
    /// Size of a generation.
    pub size: Option<Size>,
    /// Parts of the prompt from the first to the last.
    pub parts: Vec<Part>,
    /// Number of the last event that the caller has, when it resumes.
    pub last_event: Option<String>,
}

impl Asked {
    /// Tokens for quotas.
    pub fn tokens(&self) -> Option<u64> {
        self.size.map(|it| u64::from(it.prompt) + u64::from(it.output))
    }
}

/// Tokens of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the output.
    pub output: u32,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}
