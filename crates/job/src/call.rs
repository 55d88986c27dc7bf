//! Calls that have been validated against the configuration of their workspace.

use bincode::Decode;
use bincode::Encode;

/// A validated call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Call {
    /// Identifier assigned by the daemon that received the call from its caller.
    pub id: u64,
    /// Workspace of the caller.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// `Idempotency-Key` header, if the caller sent one.
    pub key: Option<String>,
    /// Milliseconds that remained until the deadline when the call was forwarded.
    pub time_left_ms: u64,
    /// Payload.
    pub body: Body,
}

/// Payload of a call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Body {
    /// Request for a completion by a model engine.
    Chat(Chat),
    /// Request to a plain HTTP service.
    Plain(Plain),
}

/// Request for a completion by a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Chat {
    /// Messages as a JSON array.
    pub messages: String,
    /// Concatenated texts of all messages.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token that the caller has not received yet.
    pub from_index: u32,
}

/// Request to a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Plain {
    /// HTTP method in upper case.
    pub method: String,
    /// Path relative to the service, with a leading slash, followed by the query.
    pub target: String,
    /// Media type of the body, or empty if the caller gave none.
    pub media_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the rules of the configuration allow it to be executed more than once.
    pub idempotency: Idempotency,
}

/// Whether a call may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It must be executed at most once.
    NonIdempotent,
}

impl Call {
    /// Returns the name that identifies the call across resubmissions, or `None`
    /// if the call has no idempotency key.
    pub fn identity(&self) -> Option<String> {
        let key = self.key.as_ref()?;
        Some(identity(&self.workspace, &self.service, key))
    }

    /// Whether the call must be executed at most once.
    pub fn is_non_idempotent(&self) -> bool {
        matches!(&self.body, Body::Plain(plain) if plain.idempotency == Idempotency::NonIdempotent)
    }
}

/// Returns the name that identifies a call with an idempotency key across
/// resubmissions.
pub fn identity(workspace: &str, service: &str, key: &str) -> String {
    format!("{workspace}/{service}/{key}")
}
