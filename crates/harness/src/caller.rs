//! Callers: streamed completions and calls to the plain service.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::cluster::MODEL_SERVICE;
use crate::cluster::PLAIN_SERVICE;
use crate::cluster::WORKSPACE_TOKEN;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A received token.
#[derive(Clone, Debug)]
pub struct Token {
    /// Identifier of its event.
    pub id: String,
    /// Text of the token.
    pub text: String,
    /// Time of its arrival.
    pub arrived_at: Instant,
}

/// A received completion, possibly incomplete.
#[derive(Clone, Debug, Default)]
pub struct Completion {
    /// Tokens in order of arrival.
    pub tokens: Vec<Token>,
    /// Whether the final event was received.
    pub complete: bool,
    /// Idempotency key to resume the stream with, if the daemon sent one.
    pub resume_key: Option<String>,
    /// Problem details, if the call was rejected or the stream ended with an error.
    pub problem: Option<Value>,
    /// HTTP status.
    pub status: u16,
}

/// Response of the plain service, or problem details.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of `Retry-After`, empty if absent.
    pub retry_after: String,
    /// JSON body.
    pub body: Value,
}

/// Request for a streamed completion.
#[derive(Clone, Debug)]
pub struct Draft<'a> {
    /// Address of the daemon, or of an engine.
    pub address: &'a str,
    /// Request path.
    pub path: String,
    /// Content of the user message.
    pub prompt: &'a str,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Value of `Idempotency-Key`, if sent.
    pub key: Option<&'a str>,
    /// Value of `Last-Event-ID`, if sent.
    pub last_event_id: Option<&'a str>,
}

impl Completion {
    /// Returns the concatenated text of all tokens.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|it| it.text.as_str()).collect()
    }
}

impl<'a> Draft<'a> {
    /// Creates a request to the model service.
    pub fn new(address: &'a str, prompt: &'a str, max_tokens: u32) -> Draft<'a> {
        let path = format!("/services/{MODEL_SERVICE}/v1/chat/completions");
        Draft { address, path, prompt, max_tokens, key: None, last_event_id: None }
    }

    /// Sends the request and calls `on_token` for each token as it arrives.
    pub fn stream(&self, mut on_token: impl FnMut(&Token)) -> io::Result<Completion> {
        let mut request = agent()
            .post(format!("http://{}{}", self.address, self.path))
            .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"));
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(id) = self.last_event_id {
            request = request.header("last-event-id", id);
        }
        let body = json!({
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut response = request.send_json(body).map_err(io::Error::other)?;
        let mut completion =
            Completion { status: response.status().as_u16(), ..Completion::default() };
        if completion.status != 200 {
            completion.problem = response.body_mut().read_json().ok();
            return Ok(completion);
        }
        let reader = BufReader::new(response.into_body().into_reader());
        // If the connection breaks, the completion keeps the tokens received so far.
        if read_events(reader, &mut completion, &mut on_token).is_err() {
            completion.complete = false;
        }
        Ok(completion)
    }
}

/// Posts a renewal with this idempotency key.
pub fn renew(address: &str, key: &str, body: &str) -> io::Result<Response> {
    let result = agent()
        .post(format!("http://{address}/services/{PLAIN_SERVICE}/renewals"))
        .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"))
        .header("idempotency-key", key)
        .content_type("text/plain")
        .send(body);
    decode(result)
}

/// Looks an entry up, which may be repeated, under this idempotency key.
pub fn look_up(address: &str, key: &str) -> io::Result<Response> {
    let result = agent()
        .get(format!("http://{address}/services/{PLAIN_SERVICE}/entries/{key}"))
        .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"))
        .header("idempotency-key", key)
        .call();
    decode(result)
}

fn decode(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> io::Result<Response> {
    let mut response = result.map_err(io::Error::other)?;
    let retry_after = response.headers().get("retry-after").and_then(|it| it.to_str().ok());
    Ok(Response {
        status: response.status().as_u16(),
        retry_after: retry_after.unwrap_or_default().to_owned(),
        body: response.body_mut().read_json().unwrap_or_default(),
    })
}

fn read_events(
    reader: impl BufRead,
    completion: &mut Completion,
    on_token: &mut impl FnMut(&Token),
) -> io::Result<()> {
    let mut id = String::new();
    let mut is_error = false;
    let mut is_resume = false;
    for line in reader.lines() {
        let line = line?;
        if let Some(value) = line.strip_prefix("id: ") {
            value.clone_into(&mut id);
        } else if line == "event: error" {
            is_error = true;
        } else if line == "event: resume" {
            is_resume = true;
        } else if line == "data: [DONE]" {
            completion.complete = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            let data: Value = serde_json::from_str(data).map_err(io::Error::other)?;
            if is_error {
                completion.problem = Some(data);
                continue;
            }
            if std::mem::take(&mut is_resume) {
                completion.resume_key = data["idempotency_key"].as_str().map(str::to_owned);
                continue;
            }
            if let Some(text) = data["choices"][0]["delta"]["content"].as_str() {
                let token = Token {
                    id: std::mem::take(&mut id),
                    text: text.to_owned(),
                    arrived_at: Instant::now(),
                };
                on_token(&token);
                completion.tokens.push(token);
            }
        }
    }
    Ok(())
}

fn agent() -> ureq::Agent {
    let settings = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    settings.into()
}
