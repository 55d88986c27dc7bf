//! Decoding of log lines.

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// A decoded log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Daemon that wrote the line, as far as known.
    pub daemon: String,
    /// Time of the line, in milliseconds since the Unix epoch by that daemon's clock.
    pub at_ms: i64,
    /// Name of the logged event.
    pub event: String,
    /// Structured fields of the line, ordered by name.
    pub fields: Map<String, Value>,
}

/// JSON format of a line as written by the logger.
#[derive(Deserialize)]
struct Line {
    timestamp: i64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl Record {
    /// Decodes a line. Returns `None` for lines of other programs. Log collectors may
    /// put a prefix before the JSON, whose last word is then the name of the daemon;
    /// without a prefix, `source` is used.
    pub fn decode(line: &str, source: &str) -> Option<Record> {
        let start = line.find('{')?;
        let decoded: Line = serde_json::from_str(line[start..].trim_end()).ok()?;
        let daemon = line[..start].split_whitespace().last().unwrap_or(source);
        Some(Record {
            daemon: daemon.to_owned(),
            at_ms: decoded.timestamp,
            event: decoded.payload,
            fields: decoded.kv,
        })
    }

    /// Returns the value of a text field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of an integer field.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields.get(name)?.as_i64()
    }
}
