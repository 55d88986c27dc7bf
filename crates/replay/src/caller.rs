//! Callers that send a request, read its answer and resume a broken stream.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::Answer;
use crate::answer::Status;
use crate::targets::Targets;
use crate::trace::Call;
use crate::trace::Chat;

/// Timeout of a single attempt.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum attempts of a completion with an idempotency key whose stream breaks.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before a broken stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(300);

/// Part of a completion that was received so far.
struct Progress {
    text: String,
    tokens: u32,
    first_token: Option<Duration>,
    last_token_at: Instant,
    token_gaps: Vec<Duration>,
}

/// Requests a completion, resuming the stream if it breaks and the request has a key.
///
/// Each attempt goes to the next daemon.
pub fn chat(chat: &Chat, targets: &Targets) -> Answer {
    let started = Instant::now();
    let prompt = chat.prompt();
    let mut progress = Progress {
        text: String::new(),
        tokens: 0,
        first_token: None,
        last_token_at: started,
        token_gaps: Vec::new(),
    };
    let mut attempts = 0;
    loop {
        let daemon = &targets.daemons[(chat.daemon + attempts as usize) % targets.daemons.len()];
        attempts += 1;
        let last = send(chat, &prompt, daemon, targets, started, &mut progress);
        let can_resume =
            last.status == Status::Broken && chat.key.is_some() && attempts < MAX_ATTEMPTS;
        // A wrong answer is final. Only an interrupted one is resumed.
        if can_resume && !last.detail.starts_with("wrong") {
            std::thread::sleep(RESUME_DELAY);
            continue;
        }
        return Answer {
            latency: progress.first_token,
            token_gaps: progress.token_gaps,
            tokens: progress.tokens,
            elapsed: started.elapsed(),
            attempts,
            ..last
        };
    }
}

/// Calls a plain service.
pub fn call(call: &Call, targets: &Targets) -> Answer {
    let started = Instant::now();
    let daemon = &targets.daemons[call.daemon % targets.daemons.len()];
    let url = format!("http://{daemon}/services/{}{}", call.service, call.path);
    let token = format!("Bearer {}", token(targets, &call.workspace));
    let result = if call.method == "GET" {
        agent().get(url).header("authorization", token).call()
    } else {
        let mut request = agent().post(url).header("authorization", token);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        request.content_type("text/plain").send(call.body.as_str())
    };
    let mut answer = match result {
        Ok(mut response) if response.status().as_u16() >= 300 => problem(&mut response),
        Ok(response) => answer(Status::Whole, response.status().as_u16(), ""),
        Err(error) => answer(Status::Broken, 0, &error.to_string()),
    };
    answer.elapsed = started.elapsed();
    answer.latency = Some(answer.elapsed);
    answer
}

/// Sends one attempt and reads its answer into `progress`.
fn send(
    chat: &Chat,
    prompt: &str,
    daemon: &str,
    targets: &Targets,
    started: Instant,
    progress: &mut Progress,
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
    if let Some(last_event_id) = progress.tokens.checked_sub(1) {
        request = request.header("last-event-id", last_event_id.to_string());
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
            let answer = read(reader, started, progress);
            if answer.status == Status::Whole { check(chat, progress) } else { answer }
        }
        Err(error) => answer(Status::Broken, 0, &error.to_string()),
    }
}

/// Reads the events of a stream until it ends.
fn read(reader: impl BufRead, started: Instant, progress: &mut Progress) -> Answer {
    let mut id = None;
    let mut is_error = false;
    for line in reader.lines() {
        let Ok(line) = line else { break };
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.parse::<u32>().ok();
        } else if line == "event: error" {
            is_error = true;
        } else if line == "data: [DONE]" {
            return answer(Status::Whole, 200, "");
        } else if let Some(data) = line.strip_prefix("data: ") {
            let data: Value = serde_json::from_str(data).unwrap_or_default();
            if is_error {
                return from_problem(200, &data);
            }
            let Some(text) = data["choices"][0]["delta"]["content"].as_str() else { continue };
            if id != Some(progress.tokens) {
                let detail = format!("wrong token {id:?} in place of {}", progress.tokens);
                return answer(Status::Broken, 200, &detail);
            }
            progress.append(text, started);
        }
    }
    answer(Status::Broken, 200, "the stream ended early")
}

impl Progress {
    fn append(&mut self, text: &str, started: Instant) {
        let now = Instant::now();
        match self.first_token {
            None => self.first_token = Some(now - started),
            Some(_) => self.token_gaps.push(now - self.last_token_at),
        }
        self.last_token_at = now;
        self.tokens += 1;
        self.text.push_str(text);
    }
}

/// Checks the length and, if its hash is known, the text of a complete answer.
fn check(chat: &Chat, progress: &Progress) -> Answer {
    if progress.tokens != chat.max_tokens {
        let detail = format!("wrong number of tokens: {}", progress.tokens);
        return answer(Status::Broken, 200, &detail);
    }
    if chat.answer_hash.is_some_and(|it| it != xxh3_64(progress.text.as_bytes())) {
        return answer(Status::Broken, 200, "wrong text");
    }
    answer(Status::Whole, 200, "")
}

/// Converts a problem response into an answer.
fn problem(response: &mut ureq::http::Response<ureq::Body>) -> Answer {
    let http_status = response.status().as_u16();
    let has_retry_after = response.headers().contains_key("retry-after");
    let data: Value = response.body_mut().read_json().unwrap_or_default();
    Answer { has_retry_after, ..from_problem(http_status, &data) }
}

fn from_problem(http_status: u16, data: &Value) -> Answer {
    let status = match data["outcome"].as_str() {
        Some("not_run") => Status::NotRun,
        Some("failed") => Status::Failed,
        Some("unknown") => Status::Unknown,
        _ => Status::Broken,
    };
    answer(status, http_status, data["title"].as_str().unwrap_or_default())
}

fn answer(status: Status, http_status: u16, detail: &str) -> Answer {
    Answer {
        status,
        http_status,
        has_retry_after: false,
        latency: None,
        token_gaps: Vec::new(),
        tokens: 0,
        elapsed: Duration::ZERO,
        attempts: 1,
        detail: detail.to_owned(),
    }
}

fn token<'a>(targets: &'a Targets, workspace: &str) -> &'a str {
    targets.tokens.get(workspace).map_or("", String::as_str)
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .max_idle_connections(0)
        .build();
    config.into()
}
