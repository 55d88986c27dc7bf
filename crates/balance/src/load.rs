//! What daemons have sent to an endpoint and is not answered yet.

use bincode::Decode;
use bincode::Encode;

/// Open work at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Load {
    /// Requests without a complete answer.
    pub open: u32,
    /// Tokens of prompts still to be read, for requests without a first event.
    pub unread: u32,
    /// Tokens of prompts and answers that open requests hold in memory.
    pub held: u32,
}

impl Load {
    /// Both together.
    pub fn plus(self, other: Load) -> Load {
        Load {
            open: self.open + other.open,
            unread: self.unread.saturating_add(other.unread),
            held: self.held.saturating_add(other.held),
        }
    }

    /// What is left without a part that has ended.
    pub fn minus(self, other: Load) -> Load {
        Load {
            open: self.open.saturating_sub(other.open),
            unread: self.unread.saturating_sub(other.unread),
            held: self.held.saturating_sub(other.held),
        }
    }
}
