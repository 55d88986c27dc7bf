//! What replicas tell each other.

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Catalog;
use crate::log::Entry;

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Entries that are in the table.
    Entries(Vec<Entry>),
    /// Asks for what came after a revision.
    Ask {
        /// Number of the question.
        number: u64,
        /// Revision that the asker has in force.
        after: u64,
    },
    /// Answer to a question.
    Answer {
        /// Number of the question.
        number: u64,
        /// What came after the revision.
        content: Content,
    },
}

/// What a peer knows beyond the revision of the asker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// The peer does not know itself whether it is up to date.
    Unconfirmed,
    /// All entries after the revision.
    Entries(Vec<Entry>),
    /// The whole catalog.
    Catalog(Catalog),
}

/// Text of a message.
pub fn encode(message: &Message) -> Result<String, serde_json::Error> {
    serde_json::to_string(message)
}

/// Message in a text.
pub fn decode(text: &str) -> Result<Message, serde_json::Error> {
    serde_json::from_str(text)
}
