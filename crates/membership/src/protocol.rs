//! Versions of the messages between daemons, so that different builds run side by side.

use crate::digest::Message;

/// Version of the messages that a daemon understands. Each version contains all earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Protocol {
    /// The messages of daemons that state no version.
    Unstated,
    /// [`Message::Usage`] and [`Message::ConfigDelta`].
    Changes,
    /// [`Message::Reads`].
    Reads,
    /// [`Message::Accounts`].
    Accounts,
}

impl Protocol {
    /// The version that this build understands.
    pub const PRESENT: Protocol = Protocol::Accounts;

    /// Returns the number that states the version to other daemons.
    pub fn number(self) -> u32 {
        match self {
            Protocol::Unstated => 0,
            Protocol::Changes => 1,
            Protocol::Reads => 2,
            Protocol::Accounts => 3,
        }
    }

    /// Returns the version that another daemon states, as far as this build knows it.
    pub fn from_number(number: u32) -> Protocol {
        match number {
            0 => Protocol::Unstated,
            1 => Protocol::Changes,
            2 => Protocol::Reads,
            _ => Protocol::Accounts,
        }
    }
}

impl Message {
    /// Returns the first version that contains this message.
    pub fn protocol(&self) -> Protocol {
        match self {
            Message::Digest { .. }
            | Message::Pull { .. }
            | Message::Interruptions(_)
            | Message::Origins { .. }
            | Message::OriginQuery { .. }
            | Message::OriginReply { .. }
            | Message::Push { .. } => Protocol::Unstated,
            Message::Usage { .. } | Message::ConfigDelta(_) => Protocol::Changes,
            Message::Reads(_) => Protocol::Reads,
            Message::Accounts(_) => Protocol::Accounts,
        }
    }
}
