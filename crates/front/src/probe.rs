//! HTTP server for the load balancer's readiness probe and for metrics. Callers may reach it
//! too, so what its connections hold is bounded.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
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
use tokio::time::Instant;
use tokio::time::sleep;

use crate::metrics;

/// Maximum number of connections. A further one closes another, so that callers which keep
/// theirs open don't keep out the balancer.
const MAX_CONNECTIONS: usize = 64;
/// Number of connections that are kept for those that were answered last. The others are for
/// new connections, so that answered ones can't keep them out.
const KEPT_CONNECTIONS: usize = 32;
/// How long a connection may wait for the head of a request; longer than the balancer's pause
/// between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a request's head, in bytes; the smallest that the HTTP library accepts.
const HEAD_BYTES: usize = 8_192;
/// Bytes of responses after which a connection is closed. The HTTP library keeps those that
/// the caller doesn't read.
const RESPONSE_BYTES: usize = 64 * 1_024;
/// Size of a response's head, in bytes, rounded up.
const RESPONSE_HEAD_BYTES: usize = 128;
/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Use of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// When the connection was opened.
    pub opened_at: Instant,
    /// When its latest request was answered.
    pub answered_at: Option<Instant>,
}

#[derive(Debug)]
struct Connection {
    usage: Rc<Cell<Use>>,
    task: AbortHandle,
}

/// Returns the index of the connection to close for a further one, if there are too many: the
/// one that has been without an answered request for the longest time. Those that were never
/// answered come first while few were.
pub fn surplus(uses: &[Use]) -> Option<usize> {
    if uses.len() < MAX_CONNECTIONS {
        return None;
    }
    let answered = uses.iter().filter(|it| it.answered_at.is_some()).count();
    let closes_answered = answered > KEPT_CONNECTIONS;
    let candidates =
        uses.iter().enumerate().filter(|(_, it)| it.answered_at.is_some() == closes_answered);
    let oldest = candidates.min_by_key(|(_, it)| it.answered_at.unwrap_or(it.opened_at));
    oldest.map(|(at, _)| at)
}

/// Serves readiness and metrics on a listener.
pub async fn run(listener: TcpListener, ready: watch::Receiver<bool>) {
    let mut connections: Vec<Connection> = Vec::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        connections.retain(|it| !it.task.is_finished());
        let uses: Vec<Use> = connections.iter().map(|it| it.usage.get()).collect();
        if let Some(at) = surplus(&uses) {
            connections.swap_remove(at).task.abort();
            metrics::count("probe_connection", "closed");
        }
        let usage = Rc::new(Cell::new(Use { opened_at: Instant::now(), answered_at: None }));
        let serving = serve(stream, ready.clone(), usage.clone());
        connections.push(Connection { usage, task: spawn_local(serving).abort_handle() });
        // Connections are served before they are closed for further ones.
        yield_now().await;
    }
}

async fn serve(stream: TcpStream, ready: watch::Receiver<bool>, usage: Rc<Cell<Use>>) {
    let sent_bytes = Cell::new(0);
    let service = service_fn(|request: Request<Incoming>| {
        let (mut response, bytes) = respond(request.uri().path(), *ready.borrow());
        usage.set(Use { answered_at: Some(Instant::now()), ..usage.get() });
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
