//! What goes back to a caller, piece by piece.

use bincode::Decode;
use bincode::Encode;

use crate::problem::Problem;

/// A piece of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// The next token of a completion.
    Token(Token),
    /// The daemon will be reclaimed; the answer can be asked for under this
    /// key through any other daemon. More pieces may follow.
    Moved(String),
    /// The completion is complete.
    Finished(Usage),
    /// The whole answer of a plain service.
    Whole(Whole),
    /// The call was refused or given up on.
    Problem(Problem),
}

/// A token of a completion.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Token {
    /// Index in the completion, from 0.
    pub index: u32,
    /// Text.
    pub text: String,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt found in a prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// The whole answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media_type: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Whether nothing follows this piece.
    pub fn is_last(&self) -> bool {
        !matches!(self, Reply::Token(_) | Reply::Moved(_))
    }
}
