//! Parses HTTP requests.

use job::problem::Problem;
use serde::Deserialize;
use serde_json::value::RawValue;
use web::request::Request;
use web::request::percent_decode;

use crate::arrival::Content;

/// Path prefix of calls to a service by name.
pub const SERVICES_PREFIX: &str = "/services/";
/// Path of chat completions, at the root or below a service.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Maximum number of tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest `max_tokens` that a caller may request.
const MAX_TOKENS_LIMIT: u32 = 65_536;
/// Path prefix of job lookups by key, below a service.
pub const JOBS_PREFIX: &str = "/jobs/";
/// Maximum length of an `Idempotency-Key`, in bytes.
const KEY_LIMIT_BYTES: usize = 200;

/// A well-formed call.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the requested service.
    pub service: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Content of the request.
    pub content: Content,
    /// How the response is delivered.
    pub delivery: Delivery,
    /// Milliseconds that the caller is willing to wait for the call to start (`Prefer: wait`), 0 if
    /// not given.
    pub wait_ms: u64,
}

/// How a response is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// In one piece.
    Full,
    /// As an event stream.
    Stream,
    /// As a job to look up later.
    Deferred,
}

#[derive(Deserialize)]
struct Completion<'a> {
    #[serde(default)]
    model: String,
    #[serde(borrow)]
    messages: &'a RawValue,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

/// Parses a caller's request. Returns the problem to send if it is malformed.
pub fn parse(request: &Request) -> Result<Call, Problem> {
    let mut call = parse_call(request)?;
    if prefers_async(request) && call.content != Content::Job {
        if call.key.is_none() {
            let detail = "send an Idempotency-Key with Prefer: respond-async";
            return Err(Problem::not_run(400, "key required", detail));
        }
        call.delivery = Delivery::Deferred;
    }
    Ok(call)
}

fn prefers_async(request: &Request) -> bool {
    let preferences = request.field("prefer").unwrap_or_default();
    preferences.split(',').any(|it| it.trim().eq_ignore_ascii_case("respond-async"))
}

fn parse_call(request: &Request) -> Result<Call, Problem> {
    let key = parse_key(request)?;
    if request.path == COMPLETIONS_PATH {
        return parse_chat(request, None, key);
    }
    let Some(rest) = request.path.strip_prefix(SERVICES_PREFIX) else {
        let detail = "call /services/NAME/... or /v1/chat/completions";
        return Err(Problem::not_run(404, "no such path", detail));
    };
    let (service, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    if path == COMPLETIONS_PATH {
        return parse_chat(request, Some(service), key);
    }
    if let Some(key) = path.strip_prefix(JOBS_PREFIX)
        && request.method == "GET"
    {
        let key = Some(check_key(&percent_decode(key))?);
        let service = service.to_owned();
        return Ok(Call {
            service,
            key,
            content: Content::Job,
            delivery: Delivery::Full,
            wait_ms: wait_ms(request),
        });
    }
    let content = Content::Plain {
        method: request.method.clone(),
        path: path.to_owned(),
        query: request.query.clone(),
        media_type: request.field("content-type").unwrap_or_default().to_owned(),
        body: request.body.clone(),
    };
    Ok(Call {
        service: service.to_owned(),
        key,
        content,
        delivery: Delivery::Full,
        wait_ms: wait_ms(request),
    })
}

fn parse_key(request: &Request) -> Result<Option<String>, Problem> {
    request.field("idempotency-key").map(check_key).transpose()
}

fn check_key(key: &str) -> Result<String, Problem> {
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
        let detail = format!("give an Idempotency-Key of 1 to {KEY_LIMIT_BYTES} bytes");
        return Err(Problem::not_run(400, "bad key", detail));
    }
    Ok(key.to_owned())
}

/// Returns the value of `Prefer: wait` in milliseconds. Invalid preferences are ignored, as
/// RFC 7240 requires.
fn wait_ms(request: &Request) -> u64 {
    let preferences = request.field("prefer").unwrap_or_default().split(',');
    let wait = preferences.filter_map(|it| it.trim().strip_prefix("wait=")).next();
    wait.and_then(|it| it.parse::<u64>().ok()).map_or(0, |it| it.saturating_mul(1000))
}

fn parse_chat(
    request: &Request,
    service: Option<&str>,
    key: Option<String>,
) -> Result<Call, Problem> {
    if request.method != "POST" {
        let detail = "send completions with POST";
        return Err(Problem::not_run(405, "wrong method", detail));
    }
    let malformed = |error: serde_json::Error| {
        let detail = format!("send a JSON object with messages ({error})");
        Problem::not_run(400, "malformed body", detail)
    };
    let body: Completion<'_> = serde_json::from_slice(&request.body).map_err(malformed)?;
    let messages: Vec<Message> = serde_json::from_str(body.messages.get()).map_err(malformed)?;
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if messages.is_empty() || max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        let detail =
            format!("give at least one message and max_tokens from 1 to {MAX_TOKENS_LIMIT}");
        return Err(Problem::not_run(400, "bad completion", detail));
    }
    let content = Content::Chat {
        messages: body.messages.get().to_owned(),
        prompt: messages.iter().map(|it| it.content.as_str()).collect(),
        max_tokens,
        from_index: parse_from_index(request)?,
    };
    let service = service.map_or(body.model, str::to_owned);
    let delivery = if body.stream { Delivery::Stream } else { Delivery::Full };
    Ok(Call { service, key, content, delivery, wait_ms: wait_ms(request) })
}

fn parse_from_index(request: &Request) -> Result<u32, Problem> {
    let Some(last) = request.field("last-event-id") else { return Ok(0) };
    let invalid = || {
        let detail = "give the id of the last event received as Last-Event-ID";
        Problem::not_run(400, "bad event id", detail)
    };
    let last: u32 = last.parse().map_err(|_| invalid())?;
    last.checked_add(1).ok_or_else(invalid)
}
