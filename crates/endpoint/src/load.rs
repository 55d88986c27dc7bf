//! Load reports and cache events of model engines.

use std::io::Read;

use serde::Deserialize;

use crate::agent;

/// Bytes of the heads of a request and its answer on a kept connection.
const HEADS_BYTES: usize = 220;
/// Most bytes read of an answer; later events come with the next question.
const ANSWER_LIMIT_BYTES: u64 = 4096;

/// What an engine told.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Its load, when it answered.
    pub load: Option<Load>,
    /// Its cache events.
    pub events: Vec<Event>,
    /// Bytes that the answer about its load took.
    pub load_bytes: usize,
    /// Bytes that the answer about its cache took.
    pub event_bytes: usize,
}

/// A load report.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Load {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Sequences that run at once.
    pub capacity: u32,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The block is cached now.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// A cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// Chained hash of the block.
    pub block: u64,
}

/// Asks an engine for its load, and for cache events after a number.
pub fn ask(address: &str, events_after: Option<u64>) -> Told {
    let mut told = Told::default();
    if let Some(body) = get(&format!("http://{address}/v1/load")) {
        told.load = serde_json::from_slice(&body).ok();
        told.load_bytes = HEADS_BYTES + body.len();
    }
    let Some(after) = events_after else { return told };
    if let Some(body) = get(&format!("http://{address}/v1/cache-events?after={after}")) {
        told.events = parse_events(&body);
        told.event_bytes = HEADS_BYTES + body.len();
    }
    told
}

/// Events of an answer that may have been cut short.
pub fn parse_events(body: &[u8]) -> Vec<Event> {
    let mut values = body.strip_prefix(b"[").unwrap_or_default();
    let mut events = Vec::new();
    loop {
        let mut parsed = serde_json::Deserializer::from_slice(values).into_iter::<Event>();
        let Some(Ok(event)) = parsed.next() else { return events };
        events.push(event);
        let rest = &values[parsed.byte_offset()..];
        values = rest.strip_prefix(b",").unwrap_or_default();
    }
}

fn get(url: &str) -> Option<Vec<u8>> {
    let response = agent::pooled().get(url).call().ok()?;
    if response.status().as_u16() != 200 {
        return None;
    }
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(ANSWER_LIMIT_BYTES);
    reader.read_to_end(&mut body).ok()?;
    Some(body)
}

/// Orders an engine to load a model under a fencing number; whether it took
/// the order.
pub fn order_model(address: &str, fence: u64, model: &str) -> bool {
    let order = serde_json::json!({ "fence": fence, "model": model });
    let sent = agent::pooled().post(format!("http://{address}/v1/orders")).send_json(order);
    sent.is_ok_and(|response| response.status().is_success())
}
