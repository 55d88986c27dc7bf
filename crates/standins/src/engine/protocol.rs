//! JSON bodies of the model engine's published protocol.

use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Messages of the conversation.
    pub messages: Vec<Message>,
    /// Largest number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Priority, 0 first.
    #[serde(default)]
    pub priority: u8,
    /// Tokens generated elsewhere, after which to go on.
    #[serde(default)]
    pub resume: Option<Resume>,
}

/// A message of the conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Tokens generated elsewhere.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Resume {
    /// Their number.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// Token counts in the last chunk of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens of the prompt found in the cache.
    pub cached_tokens: usize,
    /// Tokens generated in this call.
    pub completion_tokens: u32,
}

/// Load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences running.
    pub running: usize,
    /// Sequences waiting for a slot.
    pub waiting: usize,
    /// Slots.
    pub capacity: usize,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
}

/// KV cache as exported and imported.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kv {
    /// Prompt and generated text that it covers.
    pub text: String,
}

/// An order to the engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the one who orders.
    pub fence: u64,
    /// Model to load.
    pub model: String,
}

/// One executed completion, as recorded by the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Request identifier given by the caller of the engine.
    pub request: String,
    /// Index of the first token generated here.
    pub first_index: u32,
    /// Tokens generated here.
    pub generated: u32,
    /// Tokens of prompt and resumed text that had to be computed.
    pub computed_tokens: usize,
    /// Tokens of prompt and resumed text found in the cache.
    pub cached_tokens: usize,
}

fn default_max_tokens() -> u32 {
    16
}
