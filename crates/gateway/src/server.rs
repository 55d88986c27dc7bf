//! The HTTP server for callers.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use job::problem::Problem;
use tokio::sync::mpsc::unbounded_channel;
use web::request::Request;
use web::response::Responder;
use web::server::Limits;
use web::server::Server;
use web::server::Task;

use crate::arrival::Arrival;
use crate::arrival::ArrivalId;
use crate::arrival::Event;
use crate::parse::Call;
use crate::parse::Delivery;
use crate::parse::JOBS_PREFIX;
use crate::parse::SERVICES_PREFIX;
use crate::parse::parse;
use crate::response;

/// Receives the events of the gateway. It is called on the server's thread.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// Whether the daemon accepts requests.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    serving: Arc<AtomicBool>,
    configured: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets whether the daemon accepts requests.
    pub fn set(&self, ready: bool) {
        self.serving.store(ready, Ordering::Release);
    }

    /// Sets whether the configuration in force is known to be recent.
    pub fn set_configured(&self, configured: bool) {
        self.configured.store(configured, Ordering::Release);
    }

    /// Returns whether the daemon accepts requests and has a recent configuration.
    pub fn get(&self) -> bool {
        self.serving.load(Ordering::Acquire) && self.configured.load(Ordering::Acquire)
    }
}

/// Starts the HTTP server for callers. Fails if the address can't be bound.
pub fn start(
    address: &str,
    limits: Limits,
    readiness: Readiness,
    sink: Sink,
) -> Result<Server, web::Error> {
    let next_id = AtomicU64::new(1);
    let handler = move |request: Request, responder: Responder| -> Task {
        let id = ArrivalId(next_id.fetch_add(1, Ordering::Relaxed));
        let (readiness, sink) = (readiness.clone(), Arc::clone(&sink));
        Box::pin(async move {
            let _ = serve(id, &request, responder, &readiness, &sink).await;
        })
    };
    Server::start_async(address, limits, Arc::new(handler))
}

async fn serve(
    id: ArrivalId,
    request: &Request,
    responder: Responder,
    readiness: &Readiness,
    sink: &Sink,
) -> io::Result<()> {
    match request.path.as_str() {
        "/healthz" => responder.send_typed(200, "text/plain", b"ok\n"),
        "/readyz" if readiness.get() => responder.send_typed(200, "text/plain", b"ready\n"),
        "/readyz" => {
            let problem = Problem::not_run(503, "not ready", "use another daemon");
            responder.send_problem(&problem.retry_after(1))
        }
        _ => serve_call(id, request, responder, sink).await,
    }
}

async fn serve_call(
    id: ArrivalId,
    request: &Request,
    responder: Responder,
    sink: &Sink,
) -> io::Result<()> {
    let call = match parse(request) {
        Ok(call) => call,
        Err(problem) => return responder.send_problem(&problem),
    };
    let location = format!("{SERVICES_PREFIX}{}{JOBS_PREFIX}{}", call.service, encoded_key(&call));
    let (replies, mut receiver) = unbounded_channel();
    sink(Event::Arrived(Box::new(Arrival {
        id,
        token: request.bearer().unwrap_or_default().to_owned(),
        service: call.service,
        key: call.key,
        content: call.content,
        wait_ms: call.wait_ms,
        replies,
    })));
    let result = match call.delivery {
        Delivery::Stream => response::send_stream(&mut receiver, responder).await,
        Delivery::Full => response::send_full(&mut receiver, responder).await,
        // A deferred job has a key and continues after the caller disconnects.
        Delivery::Deferred => {
            return response::send_deferred(&mut receiver, responder, &location).await;
        }
    };
    if result.is_err() {
        sink(Event::Disconnected(id));
    }
    result
}

/// Returns the key of a call, percent-encoded as a path segment.
fn encoded_key(call: &Call) -> String {
    let key = call.key.as_deref().unwrap_or_default();
    let is_unreserved = |it: u8| it.is_ascii_alphanumeric() || b"-._~".contains(&it);
    key.bytes()
        .map(|it| if is_unreserved(it) { char::from(it).to_string() } else { format!("%{it:02X}") })
        .collect()
}
