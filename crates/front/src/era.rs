//! The store row that keeps when the store's era began, for lease holders that start later.

use duty::horizon::Start;
use serde::Deserialize;
use serde::Serialize;

/// The row's content, in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    era: u64,
    /// A moment at which the era had begun, in Unix milliseconds.
    begun_by_ms: i64,
}

/// Encodes the content of the row.
pub fn encode(start: Start) -> String {
    let content = Content { era: start.era, begun_by_ms: start.begun_by_ms };
    // Numbers can always be encoded.
    serde_json::to_string(&content).unwrap_or_default()
}

/// Decodes the content of the row; `None` if it is empty.
pub fn decode(content: &str) -> Result<Option<Start>, serde_json::Error> {
    if content.is_empty() {
        return Ok(None);
    }
    let Content { era, begun_by_ms } = serde_json::from_str(content)?;
    Ok(Some(Start { era, begun_by_ms }))
}
