//! One attempt at a chat completion.

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

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";
/// Statuses with which an engine rejects a request that it has not started.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

/// Timeout for the first token, while only keep-alives arrive. It covers the wait for a slot and
/// the prefill of the prompt.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout between tokens, while only keep-alives arrive.
const TOKEN_GAP_TIMEOUT: Duration = Duration::from_secs(10);

/// A chat completion request to an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier with which the request can be cancelled at the engine.
    pub request_id: String,
    /// Messages as a JSON array.
    pub messages: String,
    /// Maximum number of tokens, including those of earlier attempts.
    pub max_tokens: u32,
    /// Priority, where 0 is served first.
    pub priority: u8,
    /// Number of tokens that earlier attempts delivered.
    pub resume_tokens: u32,
    /// Text of the tokens that earlier attempts delivered.
    pub resume_text: String,
    /// Whether to open a new connection.
    pub fresh_connection: bool,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: Option<String>,
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<TokenCounts>,
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
struct TokenCounts {
    prompt_tokens: u32,
    cached_tokens: u32,
    completion_tokens: u32,
}

/// Runs the attempt. Its last event is `Finished` or `Failed`.
pub(crate) fn run(address: &str, request: &Request, cancel: &Cancel, emit: &dyn Fn(Event)) {
    match stream(address, request, cancel, emit) {
        Ok(usage) => emit(Event::Finished(usage)),
        Err(failure) if cancel.is_cancelled() => emit(Event::Failed(failure)),
        Err(failure) => emit(Event::Failed(agent::refine_failure(address, failure))),
    }
    if cancel.is_cancelled() {
        // The stream was abandoned before its end. Cancel the request so that the engine stops
        // generating tokens that nobody reads.
        let url = format!("http://{address}/v1/requests/{}", request.request_id);
        let _ = agent::pooled().delete(url).call();
    }
}

fn stream(
    address: &str,
    request: &Request,
    cancel: &Cancel,
    emit: &dyn Fn(Event),
) -> Result<Usage, Failure> {
    let url = format!("http://{address}/v1/chat/completions");
    let agent = match request.fresh_connection {
        true => agent::single_use(agent::READ_TIMEOUT),
        false => agent::pooled().clone(),
    };
    let call = agent.post(url).header("x-request-id", &request.request_id);
    let result = call.send_json(body(request)?);
    let response = result.map_err(|it| agent::failure(&it))?;
    let status = response.status().as_u16();
    if REJECTION_STATUSES.contains(&status) {
        return Err(Failure::Refused(format!("engine answered {status}")));
    }
    if status != 200 {
        return Err(Failure::Broken(format!("engine answered {status}")));
    }
    let mut reader = BufReader::new(response.into_body().into_reader());
    read(&mut reader, request, cancel, emit)
}

/// Reads the events of a stream up to the last one and emits its tokens.
///
/// Returns the token counts, or the failure of a stream that is broken, timed out or cancelled.
pub fn read(
    reader: &mut impl BufRead,
    request: &Request,
    cancel: &Cancel,
    emit: &dyn Fn(Event),
) -> Result<Usage, Failure> {
    let mut usage = None;
    let mut last_event = Instant::now();
    let mut event_timeout = FIRST_TOKEN_TIMEOUT;
    loop {
        let item = sse::read(reader).map_err(|it| agent::read_failure(&it))?;
        if cancel.is_cancelled() {
            return Err(Failure::Broken("cancelled".to_owned()));
        }
        match item {
            None => return Err(Failure::Broken("stream ended before its last event".to_owned())),
            Some(Item::Comment) if last_event.elapsed() > event_timeout => {
                return Err(Failure::Silent(
                    "only keep-alives arrived before the timeout".to_owned(),
                ));
            }
            Some(Item::Comment) => {}
            Some(Item::Event { data, .. }) if data == DONE => {
                let missing = "the stream ended without its token counts";
                return usage.ok_or_else(|| Failure::Broken(missing.to_owned()));
            }
            Some(Item::Event { id, data }) => {
                handle_event(request, &id, &data, &mut usage, emit)?;
                last_event = Instant::now();
                event_timeout = TOKEN_GAP_TIMEOUT;
            }
        }
    }
}

fn handle_event(
    request: &Request,
    id: &str,
    data: &str,
    usage: &mut Option<Usage>,
    emit: &dyn Fn(Event),
) -> Result<(), Failure> {
    let broken = |detail: String| Failure::Broken(detail);
    let chunk: Chunk = serde_json::from_str(data).map_err(|it| broken(it.to_string()))?;
    if chunk.id.is_some_and(|it| it != request.request_id) {
        return Err(broken("an event belongs to another request".to_owned()));
    }
    if let Some(counts) = chunk.usage {
        *usage = Some(Usage {
            prompt_tokens: counts.prompt_tokens,
            cached_tokens: counts.cached_tokens,
            completion_tokens: counts.completion_tokens,
        });
    }
    let content = chunk.choices.into_iter().next().and_then(|it| it.delta.content);
    if let Some(text) = content {
        let index = id.parse().map_err(|_| broken(format!("event has the id {id:?}")))?;
        if index >= request.max_tokens {
            return Err(broken(format!("event {index} is beyond the end")));
        }
        emit(Event::Token { index, text });
    }
    Ok(())
}

fn body(request: &Request) -> Result<serde_json::Value, Failure> {
    let not_sent = |it: serde_json::Error| Failure::NotSent(it.to_string());
    let messages: &RawValue = serde_json::from_str(&request.messages).map_err(not_sent)?;
    let messages = serde_json::to_value(messages).map_err(not_sent)?;
    let mut body = json!({
        "messages": messages,
        "max_tokens": request.max_tokens,
        "priority": request.priority,
        "stream": true,
    });
    if request.resume_tokens > 0 {
        body["resume"] = json!({ "tokens": request.resume_tokens, "text": request.resume_text });
    }
    Ok(body)
}
