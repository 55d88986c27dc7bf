//! One log line, decoded.

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Daemon that wrote it, as far as it is known.
    pub daemon: String,
    /// When, in milliseconds since 1970 by that daemon's clock.
    pub at_ms: i64,
    /// What happened.
    pub event: String,
    /// Its fields in the order of their names.
    pub fields: Map<String, Value>,
}

/// The line as the logger writes it.
#[derive(Deserialize)]
struct Line {
    timestamp: i64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl Record {
    /// Decodes a line; `None` for lines of other programs. What log collectors
    /// write before the JSON is passed over, and its last word taken for the
    /// daemon; without it `source` is.
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

    /// A field that is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field that is a whole number.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields.get(name)?.as_i64()
    }
}
