//! The callers' server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;

use job::problem::Problem;
use web::answer::Responder;
use web::request::Request;
use web::server::Limits;
use web::server::Server;

use crate::answer;
use crate::arrival::Arrival;
use crate::arrival::ArrivalId;
use crate::arrival::Event;
use crate::parse::parse;

/// Takes the gateway's events; called on the threads of requests.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// Whether the daemon takes requests.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Says whether the daemon takes requests from now on.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Whether the daemon takes requests.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Starts the callers' server.
pub fn start(
    address: &str,
    limits: Limits,
    readiness: Readiness,
    sink: Sink,
) -> Result<Server, web::Error> {
    let next = AtomicU64::new(1);
    let handler = move |request: Request, responder: Responder| {
        let id = ArrivalId(next.fetch_add(1, Ordering::Relaxed));
        serve(id, &request, responder, &readiness, &sink);
    };
    Server::start(address, limits, Arc::new(handler))
}

fn serve(
    id: ArrivalId,
    request: &Request,
    responder: Responder,
    readiness: &Readiness,
    sink: &Sink,
) {
    let _ = match request.path.as_str() {
        "/healthz" => responder.send_typed(200, "text/plain", b"ok\n"),
        "/readyz" if readiness.get() => responder.send_typed(200, "text/plain", b"ready\n"),
        "/readyz" => {
            let problem = Problem::not_run(503, "not ready", "use another daemon");
            responder.send_problem(&problem.retry_after(1))
        }
        _ => serve_call(id, request, responder, sink),
    };
}

fn serve_call(
    id: ArrivalId,
    request: &Request,
    responder: Responder,
    sink: &Sink,
) -> std::io::Result<()> {
    let parsed = match parse(request) {
        Ok(parsed) => parsed,
        Err(problem) => return responder.send_problem(&problem),
    };
    let (replies, received) = channel();
    sink(Event::Arrived(Box::new(Arrival {
        id,
        token: request.bearer().unwrap_or_default().to_owned(),
        service: parsed.service,
        key: parsed.key,
        content: parsed.content,
        wait_ms: parsed.wait_ms,
        replies,
    })));
    let sent = if parsed.stream {
        answer::stream(&received, responder)
    } else {
        answer::whole(&received, responder)
    };
    if sent.is_err() {
        sink(Event::Gone(id));
    }
    sent
}
