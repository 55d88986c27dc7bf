//! Generation of one streamed completion.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use web::answer::Responder;
use web::answer::Stream;
use web::answer::field;
use web::request::Request;

use crate::engine::Engine;
use crate::engine::event;
use crate::engine::parse;
use crate::engine::protocol::Completion;
use crate::engine::protocol::Execution;
use crate::engine::protocol::Usage;
use crate::text;

/// Time between looks at the switches while a stream is silenced.
const POLL: Duration = Duration::from_millis(5);
/// Longest time without an event before a keep-alive comment is sent.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

struct Sequence {
    id: String,
    prompt: String,
    first_index: u32,
    end_index: u32,
    computed_tokens: usize,
    cached_tokens: usize,
    silences: u64,
}

impl Engine {
    /// Serves `POST /v1/chat/completions`, always as a stream.
    pub(super) fn complete(&self, request: &Request, responder: Responder) -> io::Result<()> {
        let body = match parse::<Completion>(&request.body) {
            Ok(body) => body,
            Err(problem) => return responder.send_problem(&problem),
        };
        let prompt: String = body.messages.iter().map(|it| it.content.as_str()).collect();
        self.switches.crash_if_told(&prompt);
        let fields = [field("Content-Type", "text/event-stream")];
        let mut stream = responder.stream(200, &fields)?;
        let _slot = self.slots.acquire(body.priority, || stream.send(b": keep-alive\n\n"))?;
        let id = request.field("x-request-id").unwrap_or_default().to_owned();
        let sequence = self.prefill(&mut stream, &body, id, prompt)?;
        let generated = self.generate(&mut stream, &sequence);
        self.record(&sequence, *generated.as_ref().unwrap_or(&0));
        if generated? < sequence.end_index.saturating_sub(sequence.first_index) {
            return Ok(());
        }
        stream.send(last_chunk(&sequence).as_bytes())?;
        stream.send(b"data: [DONE]\n\n")?;
        stream.finish()
    }

    fn prefill(
        &self,
        stream: &mut Stream,
        body: &Completion,
        id: String,
        prompt: String,
    ) -> io::Result<Sequence> {
        let resumed = body.resume.as_ref();
        let text = format!("{prompt}{}", resumed.map_or("", |it| it.text.as_str()));
        let total = text::prompt_tokens(&text);
        let cached_tokens = (self.cache.take_up(&text) / 4).min(total);
        let computed_tokens = total - cached_tokens;
        let ready_at = Instant::now() + self.shape.prefill_time * computed_tokens as u32;
        while Instant::now() < ready_at {
            stream.send(b": keep-alive\n\n")?;
            thread::sleep(KEEP_ALIVE.min(ready_at.saturating_duration_since(Instant::now())));
        }
        let first_index = resumed.map_or(0, |it| it.tokens);
        let end_index = body.max_tokens;
        let silences = self.switches.silences();
        Ok(Sequence {
            id,
            prompt,
            first_index,
            end_index,
            computed_tokens,
            cached_tokens,
            silences,
        })
    }

    /// Streams the tokens; gives their number, smaller when cancelled.
    fn generate(&self, stream: &mut Stream, sequence: &Sequence) -> io::Result<u32> {
        let started = Instant::now();
        let mut text = sequence.prompt.clone();
        for index in sequence.first_index..sequence.end_index {
            let nth = index - sequence.first_index;
            let due = started + self.shape.token_time * (nth + 1);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.switches.hold();
            while self.switches.is_silenced(sequence.silences) {
                thread::sleep(POLL);
            }
            if self.state().cancelled.contains(&sequence.id) {
                return Ok(nth);
            }
            let token = text::token(&sequence.prompt, index);
            text.push_str(&token);
            self.state().texts.insert(sequence.id.clone(), text.clone());
            stream.send(event(index, &chunk(&sequence.id, &token)).as_bytes())?;
        }
        self.cache.take_up(&text);
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
