//! Requests that another daemon serves, since this one does not reach the endpoints.
//!
//! The other daemon treats the request like one of a caller, so that it checks, limits and
//! counts it; this daemon only passes bytes on.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use platform::head;
use policy::promise;
use policy::promise::Author;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::admission::Refusal;
use crate::attempt::Call;
use crate::body;
use crate::body::ChunkSender;
use crate::body::Payload;
use crate::connection;
use crate::connection::Connection;
use crate::connection::SendError;
use crate::serve::log_withheld;
use crate::serve::refusal_response;
use crate::serve::status_response;
use crate::serve::withheld_response;

/// Number of chunks buffered for a slow caller before reading from the daemon pauses.
const BUFFERED_CHUNKS: usize = 16;
/// Retry delay for callers when no daemon accepted a connection.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(500);

/// Forwards a request to the first of the daemons that accepts a connection.
pub async fn forward(call: Call, daemons: &[SocketAddr], is_idempotent: bool) -> Response<Payload> {
    for daemon in daemons {
        // A connection of its own, so that its loss says that the request may have run.
        let connected = timeout_at(call.deadline, connection::connect(*daemon)).await;
        let Ok(Ok(mut connection)) = connected else { continue };
        let sent = connection.send(request(&call));
        let status = match timeout_at(call.deadline, sent).await {
            Ok(Ok(response)) => {
                let checked = check(&response, is_idempotent);
                if checked.checked_status() == checked.status {
                    return relay(call, response, connection);
                }
                let is_sealed = head::is_sealed(response.headers());
                log_withheld(&call.id, &daemon.to_string(), checked, is_sealed);
                return withheld_response(checked, &call.id);
            }
            Ok(Err(SendError::Unsent)) => continue,
            Ok(Err(SendError::Broken)) => StatusCode::BAD_GATEWAY,
            Err(_) => StatusCode::GATEWAY_TIMEOUT,
        };
        log_end(&call, *daemon, status.as_u16());
        return status_response(status, &call.id);
    }
    spdlog::info!("no daemon to forward to", kv: {
        request = call.id.as_str(),
        tried = daemons.len(),
    });
    let refusal = Refusal { status: 503, retry_after: Some(UNREACHABLE_DELAY) };
    refusal_response(&refusal, &call.id)
}

fn request(call: &Call) -> Request<Full<Bytes>> {
    let time_left = call.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = head::hop_request(&call.headers, time_left);
    request
}

/// Returns what is known of the request after the response of another daemon, which states it if
/// the request has not run. Former versions and other programs state nothing.
fn check(response: &Response<Incoming>, is_idempotent: bool) -> promise::Response {
    promise::Response {
        status: response.status().as_u16(),
        author: Author::Endpoint,
        evidence: head::decode_statement(response.headers()),
        is_idempotent,
    }
}

/// Returns the response to the caller and spawns the task that relays its body.
fn relay(call: Call, response: Response<Incoming>, connection: Connection) -> Response<Payload> {
    let (parts, body) = response.into_parts();
    let (chunks, payload) = body::channel(BUFFERED_CHUNKS);
    let mut response = Response::new(payload);
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::forward_response(&parts.headers);
    spawn_local(copy(call, body, chunks, connection));
    response
}

/// Copies the body until its end, the deadline, or the caller's disconnect, which closes the
/// connection to the other daemon.
async fn copy(call: Call, mut body: Incoming, chunks: ChunkSender, _connection: Connection) {
    loop {
        let frame = tokio::select! {
            biased;
            () = chunks.closed() => return,
            frame = timeout_at(call.deadline, body.frame()) => frame,
        };
        let chunk = match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => Ok(bytes),
                Err(_) => continue,
            },
            Ok(None) => return chunks.finish(),
            Ok(Some(Err(_))) | Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        };
        let is_broken = chunk.is_err();
        if chunks.send(chunk).await.is_err() || is_broken {
            return;
        }
    }
}

fn log_end(call: &Call, daemon: SocketAddr, status: u16) {
    spdlog::info!("forwarding failed", kv: {
        request = call.id.as_str(),
        daemon = daemon.to_string(),
        status = status,
    });
}
