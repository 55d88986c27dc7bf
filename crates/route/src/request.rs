//! Attributes that a caller states about its request.

use std::time::Duration;

/// Attributes of a caller's request, decoded from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attributes {
    /// Caller-assigned identity of this attempt; empty if absent.
    pub id: String,
    /// How long the caller still waits.
    pub timeout: Option<Duration>,
    /// Workspace key.
    pub key: Option<String>,
    /// Token counts of a generation request.
    pub size: Option<Size>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Number of the last event received by a caller that resumes a stream.
    pub last_event: Option<String>,
    /// Identity of the attempt that brought the first event of a resumed stream.
    pub resumes: Option<String>,
    /// Whether another daemon has forwarded the request.
    pub is_forwarded: bool,
}

impl Attributes {
    /// Returns the identity of the attempt that brought the first event of the stream, or
    /// will bring it.
    pub fn stream_id(&self) -> &str {
        self.resumes.as_deref().unwrap_or(&self.id)
    }

    /// Returns the tokens that count against a quota: prompt plus maximum output.
    pub fn tokens(&self) -> Option<u64> {
        self.size.map(|it| u64::from(it.prompt) + u64::from(it.output))
    }
}

/// Token counts of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Prompt tokens.
    pub prompt: u32,
    /// Maximum output tokens.
    pub output: u32,
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part's content.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}
