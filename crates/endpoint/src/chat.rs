//! One attempt at a completion.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use job::reply::Usage;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use crate::agent;
use crate::attempt::Cancel;
use crate::attempt::Event;
use crate::attempt::Failure;
use crate::sse;
use crate::sse::Item;

/// Data of the event that marks a complete stream.
const DONE: &str = "[DONE]";
/// Statuses by which an engine says that it has not started.
const REFUSALS: [u16; 2] = [429, 503];

/// Longest time with nothing but keep-alives before the first token, while
/// the request waits for a slot and its prompt is computed.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time with nothing but keep-alives between tokens.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// What is asked of the engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// Request identifier, by which the engine cancels.
    pub request: String,
    /// Messages as a JSON array.
    pub messages: String,
    /// Largest number of tokens, those of earlier attempts included.
    pub max_tokens: u32,
    /// Priority, 0 first.
    pub priority: u8,
    /// Number of tokens that earlier attempts delivered.
    pub resume_tokens: u32,
    /// Their text.
    pub resume_text: String,
    /// Use a connection that was not used before.
    pub fresh_connection: bool,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: Option<String>,
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
struct ChunkUsage {
    prompt_tokens: u32,
    cached_tokens: u32,
    completion_tokens: u32,
}

/// Runs the attempt; its last event is `Finished` or `Failed`.
pub(crate) fn run(address: &str, order: &Order, cancel: &Cancel, emit: &dyn Fn(Event)) {
    match stream(address, order, cancel, emit) {
        Ok(usage) => emit(Event::Finished(usage)),
        Err(failure) if cancel.is_cancelled() => emit(Event::Failed(failure)),
        Err(failure) => emit(Event::Failed(agent::examine(address, failure))),
    }
    if cancel.is_cancelled() {
        // The stream was left before its end: the engine must not go on for nobody.
        let url = format!("http://{address}/v1/requests/{}", order.request);
        let _ = agent::pooled().delete(url).call();
    }
}

fn stream(
    address: &str,
    order: &Order,
    cancel: &Cancel,
    emit: &dyn Fn(Event),
) -> Result<Usage, Failure> {
    let url = format!("http://{address}/v1/chat/completions");
    let agent = match order.fresh_connection {
        true => agent::single_use(agent::SILENCE_TIMEOUT),
        false => agent::pooled().clone(),
    };
    let call = agent.post(url).header("x-request-id", &order.request);
    let sent = call.send_json(body(order)?);
    let response = sent.map_err(|it| agent::failure(&it))?;
    let status = response.status().as_u16();
    if REFUSALS.contains(&status) {
        return Err(Failure::Refused(format!("engine answered {status}")));
    }
    if status != 200 {
        return Err(Failure::Broken(format!("engine answered {status}")));
    }
    let mut reader = BufReader::new(response.into_body().into_reader());
    read(&mut reader, order, cancel, emit)
}

/// Reads the events of an answer up to its last one.
pub fn read(
    reader: &mut impl BufRead,
    order: &Order,
    cancel: &Cancel,
    emit: &dyn Fn(Event),
) -> Result<Usage, Failure> {
    let mut usage = None;
    let mut progressed = Instant::now();
    let mut patience = START_TIMEOUT;
    loop {
        let item = sse::read(reader).map_err(|it| agent::read_failure(&it))?;
        if cancel.is_cancelled() {
            return Err(Failure::Broken("cancelled".to_owned()));
        }
        match item {
            None => return Err(Failure::Broken("stream ended before its last event".to_owned())),
            Some(Item::Comment) if progressed.elapsed() > patience => {
                return Err(Failure::Silent("only keep-alives came for too long".to_owned()));
            }
            Some(Item::Comment) => {}
            Some(Item::Event { data, .. }) if data == DONE => {
                let missing = "the stream's last event came without the count of its tokens";
                return usage.ok_or_else(|| Failure::Broken(missing.to_owned()));
            }
            Some(Item::Event { id, data }) => {
                take(order, &id, &data, &mut usage, emit)?;
                progressed = Instant::now();
                patience = PROGRESS_TIMEOUT;
            }
        }
    }
}

fn take(
    order: &Order,
    id: &str,
    data: &str,
    usage: &mut Option<Usage>,
    emit: &dyn Fn(Event),
) -> Result<(), Failure> {
    let broken = |detail: String| Failure::Broken(detail);
    let chunk: Chunk = serde_json::from_str(data).map_err(|it| broken(it.to_string()))?;
    if chunk.id.is_some_and(|it| it != order.request) {
        return Err(broken("an event belongs to another request".to_owned()));
    }
    if let Some(counted) = chunk.usage {
        *usage = Some(Usage {
            prompt_tokens: counted.prompt_tokens,
            cached_tokens: counted.cached_tokens,
            completion_tokens: counted.completion_tokens,
        });
    }
    let content = chunk.choices.into_iter().next().and_then(|it| it.delta.content);
    if let Some(text) = content {
        let index = id.parse().map_err(|_| broken(format!("event has the id {id:?}")))?;
        if index >= order.max_tokens {
            return Err(broken(format!("event {index} is beyond the end")));
        }
        emit(Event::Token { index, text });
    }
    Ok(())
}

fn body(order: &Order) -> Result<serde_json::Value, Failure> {
    let broken = |it: serde_json::Error| Failure::NotSent(it.to_string());
    let messages: &RawValue = serde_json::from_str(&order.messages).map_err(broken)?;
    let messages = serde_json::to_value(messages).map_err(broken)?;
    let mut body = json!({
        "messages": messages,
        "max_tokens": order.max_tokens,
        "priority": order.priority,
        "stream": true,
    });
    if order.resume_tokens > 0 {
        body["resume"] = json!({ "tokens": order.resume_tokens, "text": order.resume_text });
    }
    Ok(body)
}
