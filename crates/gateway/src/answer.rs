//! From replies to HTTP answers.

use std::io;
use std::time::Duration;

use job::problem::Outcome;
use job::problem::Problem;
use job::reply::Reply;
use job::reply::Token;
use job::reply::Usage;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use web::answer::Responder;
use web::answer::Stream;
use web::answer::field;

/// Time for a call that is answered later to be refused at once.
const REFUSAL_WAIT: Duration = Duration::from_millis(100);
/// Longest time without an event before a keep-alive comment is sent.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Streams a completion as events. An error means that the caller is gone.
pub async fn stream(
    replies: &mut UnboundedReceiver<Reply>,
    mut responder: Responder,
) -> io::Result<()> {
    let first = match next(replies, &mut responder).await? {
        Reply::Problem(problem) => return responder.send_problem(&problem),
        reply => reply,
    };
    let fields = [field("Content-Type", "text/event-stream"), field("Cache-Control", "no-store")];
    let mut out = responder.stream(200, &fields)?;
    let mut waiting = Some(first);
    loop {
        let reply = match waiting.take() {
            Some(reply) => reply,
            None => {
                let received = tokio::select! {
                    received = timeout(KEEP_ALIVE, replies.recv()) => received,
                    () = out.gone() => return Err(io::ErrorKind::BrokenPipe.into()),
                };
                match received {
                    Ok(Some(reply)) => reply,
                    Ok(None) => Reply::Problem(lost()),
                    Err(_) => {
                        out.push(b": keep-alive\n\n".to_vec()).await?;
                        continue;
                    }
                }
            }
        };
        if send_event(&mut out, &reply).await? == Sent::Last {
            return out.complete().await;
        }
    }
}

/// Sends a completion or the answer of a plain service whole.
pub async fn whole(
    replies: &mut UnboundedReceiver<Reply>,
    mut responder: Responder,
) -> io::Result<()> {
    let mut content = String::new();
    loop {
        match next(replies, &mut responder).await? {
            Reply::Token(token) => content.push_str(&token.text),
            Reply::Moved(_) => {}
            Reply::Finished(usage) => {
                return responder.send_json(200, &completion(&content, usage));
            }
            Reply::Response(whole) => {
                return responder.send_typed(whole.status, &whole.media_type, &whole.body);
            }
            Reply::Problem(problem) => return responder.send_problem(&problem),
        }
    }
}

/// Says that the answer is to be looked up at `location`, unless the call is
/// refused at once.
pub async fn later(
    replies: &mut UnboundedReceiver<Reply>,
    mut responder: Responder,
    location: &str,
) -> io::Result<()> {
    let first = timeout(REFUSAL_WAIT, next(replies, &mut responder)).await;
    if let Ok(Ok(Reply::Problem(problem))) = first {
        return responder.send_problem(&problem);
    }
    let body = json!({ "state": "running" }).to_string();
    let fields = [field("Content-Type", "application/json"), field("Location", location)];
    responder.send(202, &fields, body.as_bytes())
}

/// Next piece for a caller that has got nothing yet.
async fn next(
    replies: &mut UnboundedReceiver<Reply>,
    responder: &mut Responder,
) -> io::Result<Reply> {
    tokio::select! {
        reply = replies.recv() => Ok(reply.unwrap_or_else(|| Reply::Problem(lost()))),
        () = responder.gone() => Err(io::ErrorKind::BrokenPipe.into()),
    }
}

#[derive(PartialEq, Eq)]
enum Sent {
    More,
    Last,
}

async fn send_event(out: &mut Stream, reply: &Reply) -> io::Result<Sent> {
    match reply {
        Reply::Token(token) => {
            out.push(token_event(token).into_bytes()).await?;
            return Ok(Sent::More);
        }
        Reply::Moved(key) => {
            let data = json!({ "idempotency_key": key });
            out.push(format!("event: resume\ndata: {data}\n\n").into_bytes()).await?;
            return Ok(Sent::More);
        }
        Reply::Finished(usage) => {
            let last = json!({
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
                "usage": usage_json(*usage),
            });
            out.push(format!("data: {last}\n\ndata: [DONE]\n\n").into_bytes()).await?;
        }
        Reply::Problem(problem) => {
            let data = serde_json::to_string(problem).unwrap_or_default();
            out.push(format!("event: error\ndata: {data}\n\n").into_bytes()).await?;
        }
        Reply::Response(_) => {
            let problem = Problem::new(502, "wrong answer", "call again", Outcome::Unknown);
            let data = serde_json::to_string(&problem).unwrap_or_default();
            out.push(format!("event: error\ndata: {data}\n\n").into_bytes()).await?;
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
