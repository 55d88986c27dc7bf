//! A caller's call, checked against the configuration of its workspace.

use bincode::Decode;
use bincode::Encode;

/// A call that may be placed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Call {
    /// Identifier given by the daemon that took the call from its caller.
    pub id: u64,
    /// Workspace of the caller.
    pub workspace: String,
    /// Service that is called.
    pub service: String,
    /// `Idempotency-Key`, when the caller gave one.
    pub key: Option<String>,
    /// Milliseconds that were left for the answer when the call was sent on.
    pub time_left_ms: u64,
    /// What is called.
    pub body: Body,
}

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Body {
    /// A completion by a model engine.
    Chat(Chat),
    /// A call of a plain service.
    Plain(Plain),
}

/// A completion by a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Chat {
    /// Messages as a JSON array.
    pub messages: String,
    /// Texts of all messages, one after the other.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token that the caller still wants.
    pub from_index: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Plain {
    /// Method in upper case.
    pub method: String,
    /// Path below the service, with a leading slash, and the query.
    pub target: String,
    /// Media type of the body, empty when not given.
    pub media_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the rules say that it may be executed more than once.
    pub repeat: Repeat,
}

/// Whether a call may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Repeat {
    /// It may.
    Idempotent,
    /// It may not.
    NonIdempotent,
}

impl Call {
    /// Name that identifies the call across resubmissions, when it has a key.
    pub fn identity(&self) -> Option<String> {
        let key = self.key.as_ref()?;
        Some(identity(&self.workspace, &self.service, key))
    }

    /// Whether it must not be executed twice.
    pub fn is_non_idempotent(&self) -> bool {
        matches!(&self.body, Body::Plain(plain) if plain.repeat == Repeat::NonIdempotent)
    }
}

/// Name that identifies calls with a key across resubmissions.
pub fn identity(workspace: &str, service: &str, key: &str) -> String {
    format!("{workspace}/{service}/{key}")
}
