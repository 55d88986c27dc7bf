//! Callers: streamed completions and calls of plain services.

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

/// Longest time of a call.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A token as it arrived.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// Event identifier.
    pub id: String,
    /// Text.
    pub text: String,
    /// When.
    pub at: Instant,
}

/// A streamed completion as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// Tokens in order of arrival.
    pub tokens: Vec<Arrived>,
    /// Whether the last event came.
    pub complete: bool,
    /// Key under which to go on elsewhere, when the daemon named one.
    pub resume_key: Option<String>,
    /// Problem, when the stream or the whole call ended with one.
    pub problem: Option<Value>,
    /// HTTP status.
    pub status: u16,
}

/// Answer of a plain service, or a problem.
#[derive(Clone, Debug)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After`, empty when there was none.
    pub retry_after: String,
    /// Body.
    pub body: Value,
}

/// A streamed completion to ask for.
#[derive(Clone, Debug)]
pub struct Draft<'a> {
    /// Address of the daemon, or of an engine.
    pub address: &'a str,
    /// Path.
    pub path: String,
    /// Prompt.
    pub prompt: &'a str,
    /// Number of tokens.
    pub max_tokens: u32,
    /// `Idempotency-Key`, when one is sent.
    pub key: Option<&'a str>,
    /// `Last-Event-ID`, when one is sent.
    pub last_event_id: Option<&'a str>,
}

impl Streamed {
    /// Texts of all tokens, one after the other.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|it| it.text.as_str()).collect()
    }
}

impl<'a> Draft<'a> {
    /// A completion of the model service.
    pub fn new(address: &'a str, prompt: &'a str, max_tokens: u32) -> Draft<'a> {
        let path = format!("/services/{MODEL_SERVICE}/v1/chat/completions");
        Draft { address, path, prompt, max_tokens, key: None, last_event_id: None }
    }

    /// Asks and calls `each` for every token as it arrives.
    pub fn stream(&self, mut each: impl FnMut(&Arrived)) -> io::Result<Streamed> {
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
        let mut streamed = Streamed { status: response.status().as_u16(), ..Streamed::default() };
        if streamed.status != 200 {
            streamed.problem = response.body_mut().read_json().ok();
            return Ok(streamed);
        }
        let reader = BufReader::new(response.into_body().into_reader());
        // A cut connection leaves an incomplete stream with what came before.
        if read_events(reader, &mut streamed, &mut each).is_err() {
            streamed.complete = false;
        }
        Ok(streamed)
    }
}

/// Posts a renewal under a key.
pub fn renew(address: &str, key: &str, body: &str) -> io::Result<Answered> {
    let sent = agent()
        .post(format!("http://{address}/services/{PLAIN_SERVICE}/renewals"))
        .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"))
        .header("idempotency-key", key)
        .content_type("text/plain")
        .send(body);
    let mut response = sent.map_err(io::Error::other)?;
    let retry_after = response.headers().get("retry-after").and_then(|it| it.to_str().ok());
    Ok(Answered {
        status: response.status().as_u16(),
        retry_after: retry_after.unwrap_or_default().to_owned(),
        body: response.body_mut().read_json().unwrap_or_default(),
    })
}

fn read_events(
    reader: impl BufRead,
    streamed: &mut Streamed,
    each: &mut impl FnMut(&Arrived),
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
            streamed.complete = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            let data: Value = serde_json::from_str(data).map_err(io::Error::other)?;
            if is_error {
                streamed.problem = Some(data);
                continue;
            }
            if std::mem::take(&mut is_resume) {
                streamed.resume_key = data["idempotency_key"].as_str().map(str::to_owned);
                continue;
            }
            if let Some(text) = data["choices"][0]["delta"]["content"].as_str() {
                let at = Instant::now();
                let arrived = Arrived { id: std::mem::take(&mut id), text: text.to_owned(), at };
                each(&arrived);
                streamed.tokens.push(arrived);
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
