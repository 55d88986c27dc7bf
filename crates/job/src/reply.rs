//! Parts of the answer that is streamed back to a caller.

use bincode::Decode;
use bincode::Encode;

use crate::problem::Problem;

/// One part of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// The next token of a completion.
    Token(Token),
    /// The daemon is about to be reclaimed. The answer is available under this
    /// key from any other daemon. More parts may follow.
    Moved(String),
    /// The completion is complete.
    Finished(Usage),
    /// The complete response of a plain service.
    Response(Response),
    /// The call was rejected or abandoned.
    Problem(Problem),
}

/// One token of a completion.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Token {
    /// Zero-based index in the completion.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in a prefix cache.
    pub cached_tokens: u32,
    /// Number of tokens generated.
    pub completion_tokens: u32,
}

/// The complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media_type: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Whether this is the last part of the answer.
    pub fn is_last(&self) -> bool {
        !matches!(self, Reply::Token(_) | Reply::Moved(_))
    }
}
