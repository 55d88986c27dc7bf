//! HTTP server for the load balancer's readiness probe and for metrics. Callers may reach it
//! too, so what its connections hold is bounded.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use platform::settings::READY_PATH;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::metrics;

/// Maximum number of connections. A further one closes the oldest, so that callers which keep
/// theirs open don't keep out the balancer.
const MAX_CONNECTIONS: usize = 64;
/// How long a connection may wait for the head of a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a request's head, in bytes; the smallest that the HTTP library accepts.
const HEAD_BYTES: usize = 8_192;
/// Bytes of responses after which a connection is closed. The HTTP library keeps those that
/// the caller doesn't read.
const RESPONSE_BYTES: usize = 64 * 1_024;
/// Size of a response's head, in bytes, rounded up.
const RESPONSE_HEAD_BYTES: usize = 128;
/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves readiness and metrics on a listener.
pub async fn run(listener: TcpListener, ready: watch::Receiver<bool>) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        connections.retain(|it| !it.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
            metrics::count("probe_connection", "closed");
        }
        let connection = serve(stream, ready.clone());
        connections.push_back(spawn_local(connection).abort_handle());
        // Connections are served before they are closed for further ones.
        yield_now().await;
    }
}

async fn serve(stream: TcpStream, ready: watch::Receiver<bool>) {
    let sent_bytes = Cell::new(0);
    let service = service_fn(|request: Request<Incoming>| {
        let (mut response, bytes) = respond(request.uri().path(), *ready.borrow());
        sent_bytes.set(sent_bytes.get() + bytes + RESPONSE_HEAD_BYTES);
        if sent_bytes.get() > RESPONSE_BYTES {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(HEAD_BYTES);
    // Clients retry after a broken connection.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Returns the response and the size of its body in bytes.
fn respond(path: &str, is_ready: bool) -> (Response<Full<Bytes>>, usize) {
    let mut response = Response::new(Full::default());
    let mut bytes = 0;
    match path {
        "/metrics" => {
            let metrics = metrics::encode();
            bytes = metrics.len();
            *response.body_mut() = Full::from(metrics);
        }
        READY_PATH if is_ready => {}
        READY_PATH => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    (response, bytes)
}
