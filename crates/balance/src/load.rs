//! Outstanding work that daemons have sent to an endpoint.

use bincode::Decode;
use bincode::Encode;

/// Outstanding work at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Load {
    /// Requests without a complete response.
    pub open_requests: u32,
    /// Uncached prompt tokens of requests that wait for their first event.
    pub prefill_tokens: u32,
    /// Prompt and output tokens of open requests, which occupy engine memory.
    pub held_tokens: u32,
}

impl Load {
    /// Returns the sum of both loads.
    pub fn plus(self, other: Load) -> Load {
        Load {
            open_requests: self.open_requests + other.open_requests,
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            held_tokens: self.held_tokens.saturating_add(other.held_tokens),
        }
    }

    /// Returns this load without `other`; saturates at zero.
    pub fn minus(self, other: Load) -> Load {
        Load {
            open_requests: self.open_requests.saturating_sub(other.open_requests),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            held_tokens: self.held_tokens.saturating_sub(other.held_tokens),
        }
    }
}
