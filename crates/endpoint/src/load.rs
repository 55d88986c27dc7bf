//! Load reports and cache events of model engines.

use std::io::Read;

use serde::Deserialize;

use crate::agent;

/// Size of the heads of a request and its response on a reused connection, in bytes.
const HEADS_BYTES: usize = 220;
/// Maximum number of bytes read from a response. Later events arrive with the next poll.
const RESPONSE_LIMIT_BYTES: u64 = 4096;

/// The result of polling an engine.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Load of the engine, if it responded.
    pub load: Option<Load>,
    /// Cache events of the engine.
    pub events: Vec<Event>,
    /// Bytes transferred for the load query.
    pub load_bytes: usize,
    /// Bytes transferred for the cache event query.
    pub event_bytes: usize,
}

/// The load of an engine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Load {
    /// Number of running sequences.
    pub running: u32,
    /// Number of waiting sequences.
    pub waiting: u32,
    /// Maximum number of concurrently running sequences.
    pub capacity: u32,
}

/// The kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted from the cache.
    Evicted,
}

/// A cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Sequence number of the event. A missing number indicates a gap.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: Kind,
    /// Chained hash of the block.
    pub block: u64,
}

/// Queries the load of an engine and, if `events_after` is given, the cache events after that
/// sequence number.
pub fn poll(address: &str, events_after: Option<u64>) -> Report {
    let mut report = Report::default();
    if let Some(body) = get(&format!("http://{address}/v1/load")) {
        report.load = serde_json::from_slice(&body).ok();
        report.load_bytes = HEADS_BYTES + body.len();
    }
    let Some(after) = events_after else { return report };
    if let Some(body) = get(&format!("http://{address}/v1/cache-events?after={after}")) {
        report.events = parse_events(&body);
        report.event_bytes = HEADS_BYTES + body.len();
    }
    report
}

/// Parses the events of a response that may be truncated. Returns the complete ones.
pub fn parse_events(body: &[u8]) -> Vec<Event> {
    let mut remaining = body.strip_prefix(b"[").unwrap_or_default();
    let mut events = Vec::new();
    loop {
        let mut parsed = serde_json::Deserializer::from_slice(remaining).into_iter::<Event>();
        let Some(Ok(event)) = parsed.next() else { return events };
        events.push(event);
        let rest = &remaining[parsed.byte_offset()..];
        remaining = rest.strip_prefix(b",").unwrap_or_default();
    }
}

fn get(url: &str) -> Option<Vec<u8>> {
    let response = agent::pooled().get(url).call().ok()?;
    if response.status().as_u16() != 200 {
        return None;
    }
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(RESPONSE_LIMIT_BYTES);
    reader.read_to_end(&mut body).ok()?;
    Some(body)
}

/// Requests that an engine load a model, with a fencing token. Returns whether the engine
/// accepted the request.
pub fn request_model(address: &str, fence: u64, model: &str) -> bool {
    let order = serde_json::json!({ "fence": fence, "model": model });
    let result = agent::pooled().post(format!("http://{address}/v1/orders")).send_json(order);
    result.is_ok_and(|response| response.status().is_success())
}
