//! Callers: send an arrival, read its answer and resume a broken stream.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::Answer;
use crate::answer::End;
use crate::targets::Targets;
use crate::trace::Call;
use crate::trace::Chat;

/// Longest time of an answer.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Most times that a caller sends a keyed completion whose stream broke.
const SENDS: u32 = 4;
/// Wait before a broken stream is resumed.
const RESUME_WAIT: Duration = Duration::from_millis(300);

/// A completion as far as it was received.
struct Received {
    text: String,
    tokens: u32,
    first: Option<Duration>,
    last_at: Instant,
    gaps: Vec<Duration>,
}

/// Asks for a completion.
pub fn chat(chat: &Chat, targets: &Targets) -> Answer {
    let started = Instant::now();
    let prompt = chat.prompt();
    let mut received = Received {
        text: String::new(),
        tokens: 0,
        first: None,
        last_at: started,
        gaps: Vec::new(),
    };
    let mut sends = 0;
    loop {
        let daemon = &targets.daemons[(chat.daemon + sends as usize) % targets.daemons.len()];
        sends += 1;
        let ended = send(chat, &prompt, daemon, targets, started, &mut received);
        let again = ended.end == End::Broken && chat.key.is_some() && sends < SENDS;
        if again && !ended.detail.starts_with("wrong") {
            std::thread::sleep(RESUME_WAIT);
            continue;
        }
        return Answer {
            first: received.first,
            gaps: received.gaps,
            tokens: received.tokens,
            took: started.elapsed(),
            sends,
            ..ended
        };
    }
}

/// Calls a plain service.
pub fn call(call: &Call, targets: &Targets) -> Answer {
    let started = Instant::now();
    let daemon = &targets.daemons[call.daemon % targets.daemons.len()];
    let url = format!("http://{daemon}/services/{}{}", call.service, call.path);
    let token = format!("Bearer {}", token(targets, &call.workspace));
    let sent = if call.method == "GET" {
        agent().get(url).header("authorization", token).call()
    } else {
        let mut request = agent().post(url).header("authorization", token);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        request.content_type("text/plain").send(call.body.as_str())
    };
    let mut answer = match sent {
        Ok(mut response) if response.status().as_u16() >= 300 => problem(&mut response),
        Ok(response) => ended(End::Whole, response.status().as_u16(), ""),
        Err(error) => ended(End::Broken, 0, &error.to_string()),
    };
    answer.took = started.elapsed();
    answer.first = Some(answer.took);
    answer
}

fn send(
    chat: &Chat,
    prompt: &str,
    daemon: &str,
    targets: &Targets,
    started: Instant,
    received: &mut Received,
) -> Answer {
    let url = format!("http://{daemon}/services/{}/v1/chat/completions", chat.service);
    let mut request = agent()
        .post(url)
        .header("authorization", format!("Bearer {}", token(targets, &chat.workspace)));
    if let Some(key) = &chat.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(wait_s) = chat.wait_s {
        request = request.header("prefer", format!("wait={wait_s}"));
    }
    if let Some(last) = received.tokens.checked_sub(1) {
        request = request.header("last-event-id", last.to_string());
    }
    let body = json!({
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": chat.max_tokens,
        "stream": true,
    });
    match request.send_json(body) {
        Ok(mut response) if response.status().as_u16() != 200 => problem(&mut response),
        Ok(response) => {
            let reader = BufReader::new(response.into_body().into_reader());
            let answer = read(reader, started, received);
            if answer.end == End::Whole { check(chat, received) } else { answer }
        }
        Err(error) => ended(End::Broken, 0, &error.to_string()),
    }
}

fn read(reader: impl BufRead, started: Instant, received: &mut Received) -> Answer {
    let mut id = None;
    let mut is_error = false;
    for line in reader.lines() {
        let Ok(line) = line else { break };
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.parse::<u32>().ok();
        } else if line == "event: error" {
            is_error = true;
        } else if line == "data: [DONE]" {
            return ended(End::Whole, 200, "");
        } else if let Some(data) = line.strip_prefix("data: ") {
            let data: Value = serde_json::from_str(data).unwrap_or_default();
            if is_error {
                return from_problem(200, &data);
            }
            let Some(text) = data["choices"][0]["delta"]["content"].as_str() else { continue };
            if id != Some(received.tokens) {
                let detail = format!("wrong token {id:?} in place of {}", received.tokens);
                return ended(End::Broken, 200, &detail);
            }
            received.take(text, started);
        }
    }
    ended(End::Broken, 200, "the stream ended early")
}

impl Received {
    fn take(&mut self, text: &str, started: Instant) {
        let now = Instant::now();
        match self.first {
            None => self.first = Some(now - started),
            Some(_) => self.gaps.push(now - self.last_at),
        }
        self.last_at = now;
        self.tokens += 1;
        self.text.push_str(text);
    }
}

fn check(chat: &Chat, received: &Received) -> Answer {
    if received.tokens != chat.max_tokens {
        let detail = format!("wrong number of tokens: {}", received.tokens);
        return ended(End::Broken, 200, &detail);
    }
    if chat.answer_hash.is_some_and(|it| it != xxh3_64(received.text.as_bytes())) {
        return ended(End::Broken, 200, "wrong text");
    }
    ended(End::Whole, 200, "")
}

fn problem(response: &mut ureq::http::Response<ureq::Body>) -> Answer {
    let status = response.status().as_u16();
    let has_retry_after = response.headers().contains_key("retry-after");
    let data: Value = response.body_mut().read_json().unwrap_or_default();
    Answer { has_retry_after, ..from_problem(status, &data) }
}

fn from_problem(status: u16, data: &Value) -> Answer {
    let end = match data["outcome"].as_str() {
        Some("not_run") => End::NotRun,
        Some("failed") => End::Failed,
        Some("unknown") => End::Unknown,
        _ => End::Broken,
    };
    ended(end, status, data["title"].as_str().unwrap_or_default())
}

fn ended(end: End, status: u16, detail: &str) -> Answer {
    Answer {
        end,
        status,
        has_retry_after: false,
        first: None,
        gaps: Vec::new(),
        tokens: 0,
        took: Duration::ZERO,
        sends: 1,
        detail: detail.to_owned(),
    }
}

fn token<'a>(targets: &'a Targets, workspace: &str) -> &'a str {
    targets.tokens.get(workspace).map_or("", String::as_str)
}

fn agent() -> Agent {
    let settings = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .max_idle_connections(0)
        .build();
    settings.into()
}
