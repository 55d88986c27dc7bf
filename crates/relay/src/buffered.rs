//! Responses that are buffered completely before they are sent to the caller.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use platform::head;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::admission::Outcome;
use crate::attempt::Call;
use crate::attempt::Head;
use crate::body::Payload;
use crate::budget::Shortage;
use crate::buffer::Buffer;
use crate::server::Server;

/// Maximum size of a buffered response; bounds the memory of a daemon.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Pause after which memory is asked for again.
pub(crate) const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);

/// Reads the response completely and returns its connection to the pool.
pub async fn collect(
    server: &Server,
    call: &Call,
    endpoint: &str,
    head: Head,
) -> Result<Response<Payload>, Outcome> {
    let Head { status, headers, attributes, body, connection } = head;
    let body = match timeout_at(call.deadline, read(server, body)).await {
        Ok(body) => body?,
        Err(_) => return Err(Outcome::TimedOut),
    };
    server.pool().release(endpoint, connection, attributes.keep_alive);
    let mut response = Response::new(Payload::buffered(body));
    *response.status_mut() = status;
    *response.headers_mut() = head::forward_response(&headers);
    Ok(response)
}

/// Reads a body. One that is too large, or that is given up since it is the largest while memory
/// is short, counts as broken. Others are left with the endpoint while memory is short, which
/// says nothing about the endpoint or the request.
async fn read(server: &Server, mut body: Incoming) -> Result<Bytes, Outcome> {
    let mut buffer = Buffer::new(server.budget().buffer(), body.size_hint().exact());
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.evicted() => return Err(Outcome::Broken),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| Outcome::Broken)?.into_data() else { continue };
        if data.len() > MAX_BODY_BYTES - buffer.len() {
            return Err(Outcome::Broken);
        }
        while let Err(Shortage) = buffer.push(&data, Instant::now()) {
            if buffer.is_evicted() {
                return Err(Outcome::Broken);
            }
            sleep(SHORTAGE_PAUSE).await;
        }
    }
    buffer.complete().map_err(|Shortage| Outcome::Broken)
}
