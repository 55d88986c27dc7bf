//! From HTTP requests to arrivals.

use job::problem::Problem;
use serde::Deserialize;
use serde_json::value::RawValue;
use web::request::Request;
use web::request::percent_decode;

use crate::arrival::Content;

/// Prefix of calls to a service by name.
pub const SERVICES: &str = "/services/";
/// Path of completions, below a service or alone.
const COMPLETIONS: &str = "/v1/chat/completions";
/// Tokens generated when the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest number of tokens that a caller may ask for.
const MAX_TOKENS_LIMIT: u32 = 65_536;
/// Path below a service under which jobs are looked up by key.
pub const JOBS: &str = "/jobs/";
/// Longest `Idempotency-Key`, in bytes.
const KEY_LIMIT_BYTES: usize = 200;

/// A request whose form is right.
#[derive(Debug, PartialEq, Eq)]
pub struct Parsed {
    /// Service that is called.
    pub service: String,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// What is called.
    pub content: Content,
    /// How the answer is to be sent.
    pub form: Form,
    /// Milliseconds that the caller will wait for a start (`Prefer: wait`), 0
    /// when not given.
    pub wait_ms: u64,
}

/// How an answer is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Whole.
    Whole,
    /// As a stream of events.
    Stream,
    /// Later, as a job to look up.
    Later,
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

/// Parses a request of a caller.
pub fn parse(request: &Request) -> Result<Parsed, Problem> {
    let mut parsed = parse_call(request)?;
    if prefers_later(request) && parsed.content != Content::Job {
        if parsed.key.is_none() {
            let detail = "send an Idempotency-Key with Prefer: respond-async";
            return Err(Problem::not_run(400, "key required", detail));
        }
        parsed.form = Form::Later;
    }
    Ok(parsed)
}

fn prefers_later(request: &Request) -> bool {
    let preferences = request.field("prefer").unwrap_or_default();
    preferences.split(',').any(|it| it.trim().eq_ignore_ascii_case("respond-async"))
}

fn parse_call(request: &Request) -> Result<Parsed, Problem> {
    let key = parse_key(request)?;
    if request.path == COMPLETIONS {
        return parse_chat(request, None, key);
    }
    let Some(rest) = request.path.strip_prefix(SERVICES) else {
        let detail = "call /services/NAME/... or /v1/chat/completions";
        return Err(Problem::not_run(404, "no such path", detail));
    };
    let (service, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    if path == COMPLETIONS {
        return parse_chat(request, Some(service), key);
    }
    if let Some(key) = path.strip_prefix(JOBS)
        && request.method == "GET"
    {
        let key = Some(check_key(&percent_decode(key))?);
        let service = service.to_owned();
        return Ok(Parsed {
            service,
            key,
            content: Content::Job,
            form: Form::Whole,
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
    Ok(Parsed {
        service: service.to_owned(),
        key,
        content,
        form: Form::Whole,
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

/// A preference that can't be read is passed over, as RFC 7240 asks.
fn wait_ms(request: &Request) -> u64 {
    let preferences = request.field("prefer").unwrap_or_default().split(',');
    let wait = preferences.filter_map(|it| it.trim().strip_prefix("wait=")).next();
    wait.and_then(|it| it.parse::<u64>().ok()).map_or(0, |it| it.saturating_mul(1000))
}

fn parse_chat(
    request: &Request,
    service: Option<&str>,
    key: Option<String>,
) -> Result<Parsed, Problem> {
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
    let form = if body.stream { Form::Stream } else { Form::Whole };
    Ok(Parsed { service, key, content, form, wait_ms: wait_ms(request) })
}

fn parse_from_index(request: &Request) -> Result<u32, Problem> {
    let Some(last) = request.field("last-event-id") else { return Ok(0) };
    let bad = || {
        let detail = "give the id of the last event received as Last-Event-ID";
        Problem::not_run(400, "bad event id", detail)
    };
    let last: u32 = last.parse().map_err(|_| bad())?;
    last.checked_add(1).ok_or_else(bad)
}
