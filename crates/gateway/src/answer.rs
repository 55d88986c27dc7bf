//! From replies to HTTP answers.

use std::io;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

use job::problem::Outcome;
use job::problem::Problem;
use job::reply::Reply;
use job::reply::Token;
use job::reply::Usage;
use serde_json::json;
use web::answer::Responder;
use web::answer::Stream;
use web::answer::field;

/// Longest time without an event before a keep-alive comment is sent.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Streams a completion as events. An error means that the caller is gone.
pub fn stream(replies: &Receiver<Reply>, responder: Responder) -> io::Result<()> {
    let first = match replies.recv() {
        Ok(Reply::Problem(problem)) => return responder.send_problem(&problem),
        Ok(reply) => reply,
        Err(_) => return responder.send_problem(&lost()),
    };
    let fields = [field("Content-Type", "text/event-stream"), field("Cache-Control", "no-store")];
    let mut out = responder.stream(200, &fields)?;
    let mut next = Some(first);
    loop {
        let reply = match next.take() {
            Some(reply) => reply,
            None => match replies.recv_timeout(KEEP_ALIVE) {
                Ok(reply) => reply,
                Err(RecvTimeoutError::Timeout) => {
                    out.send(b": keep-alive\n\n")?;
                    continue;
                }
                Err(RecvTimeoutError::Disconnected) => Reply::Problem(lost()),
            },
        };
        if send_event(&mut out, &reply)? == Sent::Last {
            return out.finish();
        }
    }
}

/// Sends a completion or the answer of a plain service whole.
pub fn whole(replies: &Receiver<Reply>, responder: Responder) -> io::Result<()> {
    let mut content = String::new();
    loop {
        match replies.recv() {
            Ok(Reply::Token(token)) => content.push_str(&token.text),
            Ok(Reply::Moved(_)) => {}
            Ok(Reply::Finished(usage)) => {
                return responder.send_json(200, &completion(&content, usage));
            }
            Ok(Reply::Whole(whole)) => {
                return responder.send_typed(whole.status, &whole.media_type, &whole.body);
            }
            Ok(Reply::Problem(problem)) => return responder.send_problem(&problem),
            Err(_) => return responder.send_problem(&lost()),
        }
    }
}

#[derive(PartialEq, Eq)]
enum Sent {
    More,
    Last,
}

fn send_event(out: &mut Stream, reply: &Reply) -> io::Result<Sent> {
    match reply {
        Reply::Token(token) => {
            out.send(token_event(token).as_bytes())?;
            return Ok(Sent::More);
        }
        Reply::Moved(key) => {
            let data = json!({ "idempotency_key": key });
            out.send(format!("event: resume\ndata: {data}\n\n").as_bytes())?;
            return Ok(Sent::More);
        }
        Reply::Finished(usage) => {
            let last = json!({
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
                "usage": usage_json(*usage),
            });
            out.send(format!("data: {last}\n\ndata: [DONE]\n\n").as_bytes())?;
        }
        Reply::Problem(problem) => {
            let data = serde_json::to_string(problem).unwrap_or_default();
            out.send(format!("event: error\ndata: {data}\n\n").as_bytes())?;
        }
        Reply::Whole(_) => {
            let problem = Problem::new(502, "wrong answer", "call again", Outcome::Unknown);
            let data = serde_json::to_string(&problem).unwrap_or_default();
            out.send(format!("event: error\ndata: {data}\n\n").as_bytes())?;
        }
    }
    Ok(Sent::Last)
}

fn token_event(token: &Token) -> String {
    let data = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": token.text }, "finish_reason": null }],
    });
    format!("id: {}\ndata: {data}\n\n", token.index)
}

fn completion(content: &str, usage: Usage) -> serde_json::Value {
    json!({
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
        "usage": usage_json(usage),
    })
}

fn usage_json(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "cached_tokens": usage.cached_tokens,
        "completion_tokens": usage.completion_tokens,
    })
}

/// The daemon ended without a word on the request.
fn lost() -> Problem {
    let detail = "the daemon is shutting down; ask again with the same Idempotency-Key";
    Problem::new(503, "interrupted", detail, Outcome::Unknown).retry_after(1)
}
