//! The callers' server.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use job::problem::Problem;
use tokio::sync::mpsc::unbounded_channel;
use web::answer::Responder;
use web::request::Request;
use web::server::Limits;
use web::server::Server;
use web::server::Task;

use crate::answer;
use crate::arrival::Arrival;
use crate::arrival::ArrivalId;
use crate::arrival::Event;
use crate::parse::Form;
use crate::parse::JOBS;
use crate::parse::Parsed;
use crate::parse::SERVICES;
use crate::parse::parse;

/// Takes the gateway's events; called on the server's thread.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// Whether the daemon takes requests.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    serving: Arc<AtomicBool>,
    configured: Arc<AtomicBool>,
}

impl Readiness {
    /// Says whether the daemon takes requests from now on.
    pub fn set(&self, ready: bool) {
        self.serving.store(ready, Ordering::Release);
    }

    /// Says whether the configuration in force is known to be recent.
    pub fn set_configured(&self, configured: bool) {
        self.configured.store(configured, Ordering::Release);
    }

    /// Whether the daemon takes requests by a recent configuration.
    pub fn get(&self) -> bool {
        self.serving.load(Ordering::Acquire) && self.configured.load(Ordering::Acquire)
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
    let handler = move |request: Request, responder: Responder| -> Task {
        let id = ArrivalId(next.fetch_add(1, Ordering::Relaxed));
        let (readiness, sink) = (readiness.clone(), Arc::clone(&sink));
        Box::pin(async move {
            let _ = serve(id, &request, responder, &readiness, &sink).await;
        })
    };
    Server::start_tasks(address, limits, Arc::new(handler))
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
    let parsed = match parse(request) {
        Ok(parsed) => parsed,
        Err(problem) => return responder.send_problem(&problem),
    };
    let location = format!("{SERVICES}{}{JOBS}{}", parsed.service, request_key(&parsed));
    let (replies, mut received) = unbounded_channel();
    sink(Event::Arrived(Box::new(Arrival {
        id,
        token: request.bearer().unwrap_or_default().to_owned(),
        service: parsed.service,
        key: parsed.key,
        content: parsed.content,
        wait_ms: parsed.wait_ms,
        replies,
    })));
    let sent = match parsed.form {
        Form::Stream => answer::stream(&mut received, responder).await,
        Form::Whole => answer::whole(&mut received, responder).await,
        // A job with a key goes on when nobody waits for it.
        Form::Later => return answer::later(&mut received, responder, &location).await,
    };
    if sent.is_err() {
        sink(Event::Gone(id));
    }
    sent
}

/// Key of a request as a part of a path.
fn request_key(parsed: &Parsed) -> String {
    let key = parsed.key.as_deref().unwrap_or_default();
    let plain = |it: u8| it.is_ascii_alphanumeric() || b"-._~".contains(&it);
    key.bytes()
        .map(|it| if plain(it) { char::from(it).to_string() } else { format!("%{it:02X}") })
        .collect()
}
