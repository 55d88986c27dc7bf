//! Generation of a streamed completion.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use web::request::Request;
use web::response::Responder;
use web::response::Stream;
use web::response::field;

use crate::engine::Engine;
use crate::engine::event;
use crate::engine::parse;
use crate::engine::protocol::Completion;
use crate::engine::protocol::Execution;
use crate::engine::protocol::Usage;
use crate::text;

/// Interval at which a silenced stream checks its switch.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between keep-alive comments during prefill.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

struct Sequence {
    id: String,
    prompt: String,
    first_index: u32,
    end_index: u32,
    computed_tokens: usize,
    cached_tokens: usize,
    silence_count: u64,
}

impl Engine {
    /// Serves `POST /v1/chat/completions`. The answer is always a stream.
    pub(super) fn complete(&self, request: &Request, responder: Responder) -> io::Result<()> {
        let body = match parse::<Completion>(&request.body) {
            Ok(body) => body,
            Err(problem) => return responder.send_problem(&problem),
        };
        let prompt: String = body.messages.iter().map(|it| it.content.as_str()).collect();
        self.switches.crash_on_match(&prompt);
        let fields = [field("Content-Type", "text/event-stream")];
        let mut stream = responder.stream(200, &fields)?;
        let _slot =
            self.slots.acquire(body.priority, || stream.blocking_send(b": keep-alive\n\n"))?;
        let id = request.field("x-request-id").unwrap_or_default().to_owned();
        let sequence = self.prefill(&mut stream, &body, id, prompt)?;
        let generated = self.generate(&mut stream, &sequence);
        self.record(&sequence, *generated.as_ref().unwrap_or(&0));
        if generated? < sequence.end_index.saturating_sub(sequence.first_index) {
            return Ok(());
        }
        stream.blocking_send(last_chunk(&sequence).as_bytes())?;
        stream.blocking_send(b"data: [DONE]\n\n")?;
        stream.blocking_finish()
    }

    /// Simulates the prefill of the uncached tokens of the prompt and the resumed text, sending
    /// keep-alives.
    fn prefill(
        &self,
        stream: &mut Stream,
        body: &Completion,
        id: String,
        prompt: String,
    ) -> io::Result<Sequence> {
        let resumed = body.resume.as_ref();
        let text = format!("{prompt}{}", resumed.map_or("", |it| it.text.as_str()));
        let total_tokens = text::prompt_tokens(&text);
        let cached_tokens = (self.cache.insert(&text) / 4).min(total_tokens);
        let computed_tokens = total_tokens - cached_tokens;
        let ready_at = Instant::now() + self.config.prefill_time_per_token * computed_tokens as u32;
        while Instant::now() < ready_at {
            stream.blocking_send(b": keep-alive\n\n")?;
            thread::sleep(
                KEEP_ALIVE_INTERVAL.min(ready_at.saturating_duration_since(Instant::now())),
            );
        }
        let first_index = resumed.map_or(0, |it| it.tokens);
        let end_index = body.max_tokens;
        let silence_count = self.switches.silence_count();
        Ok(Sequence {
            id,
            prompt,
            first_index,
            end_index,
            computed_tokens,
            cached_tokens,
            silence_count,
        })
    }

    /// Streams the tokens. Returns their number, which is smaller if the request is cancelled.
    fn generate(&self, stream: &mut Stream, sequence: &Sequence) -> io::Result<u32> {
        let started = Instant::now();
        let mut text = sequence.prompt.clone();
        for index in sequence.first_index..sequence.end_index {
            let generated = index - sequence.first_index;
            let ready_at = started + self.config.token_interval * (generated + 1);
            thread::sleep(ready_at.saturating_duration_since(Instant::now()));
            self.switches.delay();
            while self.switches.is_silenced(sequence.silence_count) {
                thread::sleep(POLL_INTERVAL);
            }
            if self.state().cancelled.contains(&sequence.id) {
                return Ok(generated);
            }
            let token = text::token(&sequence.prompt, index);
            text.push_str(&token);
            self.state().texts.insert(sequence.id.clone(), text.clone());
            stream.blocking_send(event(index, &chunk(&sequence.id, &token)).as_bytes())?;
        }
        self.cache.insert(&text);
        Ok(sequence.end_index.saturating_sub(sequence.first_index))
    }

    fn record(&self, sequence: &Sequence, generated: u32) {
        let mut state = self.state();
        state.texts.remove(&sequence.id);
        state.executions.push(Execution {
            request: sequence.id.clone(),
            first_index: sequence.first_index,
            generated,
            computed_tokens: sequence.computed_tokens,
            cached_tokens: sequence.cached_tokens,
        });
    }
}

fn chunk(id: &str, token: &str) -> Value {
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
    })
}

fn last_chunk(sequence: &Sequence) -> String {
    let usage = Usage {
        prompt_tokens: text::prompt_tokens(&sequence.prompt),
        cached_tokens: sequence.cached_tokens,
        completion_tokens: sequence.end_index - sequence.first_index,
    };
    let value = json!({
        "id": sequence.id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": usage,
    });
    event(sequence.end_index, &value)
}
