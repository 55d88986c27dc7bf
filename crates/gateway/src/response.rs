//! Converts replies to HTTP responses.

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
use web::response::Responder;
use web::response::Stream;
use web::response::field;

/// Time during which an asynchronous call can still be rejected in the first response.
const REJECTION_WAIT: Duration = Duration::from_millis(100);
/// Time without an event after which a keep-alive comment is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Streams a completion as server-sent events. Fails if the caller disconnects.
pub async fn send_stream(
    replies: &mut UnboundedReceiver<Reply>,
    mut responder: Responder,
) -> io::Result<()> {
    let first = match next_reply(replies, &mut responder).await? {
        Reply::Problem(problem) => return responder.send_problem(&problem),
        reply => reply,
    };
    let fields = [field("Content-Type", "text/event-stream"), field("Cache-Control", "no-store")];
    let mut stream = responder.stream(200, &fields)?;
    let mut pending = Some(first);
    loop {
        let reply = match pending.take() {
            Some(reply) => reply,
            None => {
                let received = tokio::select! {
                    received = timeout(KEEP_ALIVE_INTERVAL, replies.recv()) => received,
                    () = stream.closed() => return Err(io::ErrorKind::BrokenPipe.into()),
                };
                match received {
                    Ok(Some(reply)) => reply,
                    Ok(None) => Reply::Problem(interrupted()),
                    Err(_) => {
                        stream.send(b": keep-alive\n\n".to_vec()).await?;
                        continue;
                    }
                }
            }
        };
        if send_event(&mut stream, &reply).await? == Position::Last {
            return stream.finish().await;
        }
    }
}

/// Sends a completion or the response of a plain service in one piece.
pub async fn send_full(
    replies: &mut UnboundedReceiver<Reply>,
    mut responder: Responder,
) -> io::Result<()> {
    let mut content = String::new();
    loop {
        match next_reply(replies, &mut responder).await? {
            Reply::Token(token) => content.push_str(&token.text),
            Reply::Moved(_) => {}
            Reply::Finished(usage) => {
                return responder.send_json(200, &completion(&content, usage));
            }
            Reply::Response(response) => {
                return responder.send_typed(response.status, &response.media_type, &response.body);
            }
            Reply::Problem(problem) => return responder.send_problem(&problem),
        }
    }
}

/// Responds that the job is running and can be looked up at `location`, unless the call is
/// rejected within a short wait.
pub async fn send_deferred(
    replies: &mut UnboundedReceiver<Reply>,
    mut responder: Responder,
    location: &str,
) -> io::Result<()> {
    let first = timeout(REJECTION_WAIT, next_reply(replies, &mut responder)).await;
    if let Ok(Ok(Reply::Problem(problem))) = first {
        return responder.send_problem(&problem);
    }
    let body = json!({ "state": "running" }).to_string();
    let fields = [field("Content-Type", "application/json"), field("Location", location)];
    responder.send(202, &fields, body.as_bytes())
}

/// Receives the next reply while nothing has been sent to the caller yet.
async fn next_reply(
    replies: &mut UnboundedReceiver<Reply>,
    responder: &mut Responder,
) -> io::Result<Reply> {
    tokio::select! {
        reply = replies.recv() => Ok(reply.unwrap_or_else(|| Reply::Problem(interrupted()))),
        () = responder.closed() => Err(io::ErrorKind::BrokenPipe.into()),
    }
}

/// Whether an event is the last one of its stream.
#[derive(PartialEq, Eq)]
enum Position {
    Middle,
    Last,
}

async fn send_event(stream: &mut Stream, reply: &Reply) -> io::Result<Position> {
    match reply {
        Reply::Token(token) => {
            stream.send(token_event(token).into_bytes()).await?;
            return Ok(Position::Middle);
        }
        Reply::Moved(key) => {
            let data = json!({ "idempotency_key": key });
            stream.send(format!("event: resume\ndata: {data}\n\n").into_bytes()).await?;
            return Ok(Position::Middle);
        }
        Reply::Finished(usage) => {
            let data = json!({
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
                "usage": usage_json(*usage),
            });
            stream.send(format!("data: {data}\n\ndata: [DONE]\n\n").into_bytes()).await?;
        }
        Reply::Problem(problem) => {
            let data = serde_json::to_string(problem).unwrap_or_default();
            stream.send(format!("event: error\ndata: {data}\n\n").into_bytes()).await?;
        }
        Reply::Response(_) => {
            let problem = Problem::new(502, "wrong answer", "call again", Outcome::Unknown);
            let data = serde_json::to_string(&problem).unwrap_or_default();
            stream.send(format!("event: error\ndata: {data}\n\n").into_bytes()).await?;
        }
    }
    Ok(Position::Last)
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

/// Returns the problem for a daemon that stopped before it replied to the request.
fn interrupted() -> Problem {
    let detail = "the daemon is shutting down; ask again with the same Idempotency-Key";
    Problem::new(502, "interrupted", detail, Outcome::Unknown).retry_after(1)
}
