//! Messages between replicas.

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Catalog;
use crate::log::Entry;

/// A message between replicas, sent as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Entries that are committed in the table.
    Entries(Vec<Entry>),
    /// Requests the entries after a revision.
    #[serde(rename = "ask")]
    Query {
        /// Sequence number of the query.
        number: u64,
        /// Revision in force on the sender.
        after: u64,
    },
    /// Response to a query.
    #[serde(rename = "answer")]
    Response {
        /// Sequence number of the query.
        number: u64,
        /// State after the revision in the query.
        content: Content,
    },
}

/// Content of a response to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// The responding peer does not know whether it is up to date itself.
    Unconfirmed,
    /// All entries after the revision in the query.
    Entries(Vec<Entry>),
    /// The complete catalog.
    Catalog(Catalog),
}

/// Encodes a message as JSON.
pub fn encode(message: &Message) -> Result<String, serde_json::Error> {
    serde_json::to_string(message)
}

/// Decodes a message. Fails on malformed JSON and on unknown messages.
pub fn decode(text: &str) -> Result<Message, serde_json::Error> {
    serde_json::from_str(text)
}
