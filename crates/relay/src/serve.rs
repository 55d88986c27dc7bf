//! Handling of one caller's request, from its head to the response.

use std::rc::Rc;

use balance::subject;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use platform::head;
use policy::promise;
use policy::promise::Author;
use policy::promise::Evidence;
use route::config::Limits;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::admission::Admission;
use crate::admission::Arrival;
use crate::admission::Decision;
use crate::admission::Message;
use crate::admission::Outcome;
use crate::admission::Plan;
use crate::admission::Refusal;
use crate::admission::Target;
use crate::admission::Ticket;
use crate::attempt;
use crate::attempt::Call;
use crate::attempt::Head;
use crate::body::Payload;
use crate::body::Tracked;
use crate::budget::Shortage;
use crate::buffer::Buffer;
use crate::buffered;
use crate::exchange::Progress;
use crate::hop;
use crate::server::SHORT_OF_MEMORY;
use crate::server::STOPPING;
use crate::server::Server;
use crate::stream;

/// Serves a request and records its progress.
pub async fn serve(
    server: Server,
    request: Request<Incoming>,
    progress: Rc<Progress>,
) -> Response<Tracked> {
    let version = request.version();
    let is_forwarded = head::is_forwarded(request.headers());
    let mut response = respond(&server, request, &progress).await;
    if version < Version::HTTP_11 && response.body().is_streamed() {
        // Earlier versions have no chunks.
        progress.record_undelimited();
    }
    if !is_forwarded {
        head::remove_statement(response.headers_mut());
    }
    if server.is_closing() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|it| Tracked::new(it, progress))
}

async fn respond(
    server: &Server,
    request: Request<Incoming>,
    progress: &Progress,
) -> Response<Payload> {
    let begun_at = Instant::now();
    // The head may have been received while the request before it was running.
    let arrived_at = progress.read_at().unwrap_or(begun_at);
    let limits = server.limits();
    let (parts, body) = request.into_parts();
    let attributes = head::decode_request(&parts.headers);
    progress.begin(&attributes.id);
    let received = tokio::select! {
        biased;
        received = receive(server, body, limits, begun_at) => received,
        () = server.ending() => Err(STOPPING),
    };
    let body = match received {
        Ok(body) => body,
        Err(refusal) => {
            spdlog::info!("request incomplete", kv: {
                request = attributes.id.as_str(),
                status = refusal.status,
            });
            return refusal_response(&refusal, &attributes.id);
        }
    };
    progress.record_received();
    let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default().to_owned();
    let path = parts.uri.path().to_owned();
    let uri = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    let fingerprint = subject::fingerprint(&[uri.as_bytes(), &body]);
    let id = attributes.id.clone();
    let caller_timeout = attributes.timeout;
    let arrival =
        Box::new(Arrival { host, path, attributes, fingerprint, waited: arrived_at.elapsed() });
    let admission = match server.decide(arrival).await {
        Ok(admission) => admission,
        Err(refusal) => return refusal_response(&refusal, &id),
    };
    let timeout = match &admission {
        Admission::Run(plan, _) => plan.timeout,
        Admission::Forward { timeout, .. } => *timeout,
    };
    let timeout = caller_timeout.map_or(timeout, |it| it.min(timeout));
    let call = Call {
        method: parts.method,
        uri: uri.parse().unwrap_or_default(),
        headers: parts.headers,
        body,
        id,
        deadline: arrived_at + timeout,
        tried: Vec::new(),
    };
    match admission {
        Admission::Run(plan, target) => {
            let ticket = server.ticket(plan.ticket);
            forward(server, call, plan, target, ticket).await
        }
        Admission::Forward { daemons, is_idempotent, .. } => {
            hop::forward(call, &daemons, is_idempotent).await
        }
    }
}

/// Receives the body of a request.
async fn receive(
    server: &Server,
    mut body: Incoming,
    limits: Limits,
    begun_at: Instant,
) -> Result<Bytes, Refusal> {
    let refuse = |status: StatusCode| Err(Refusal { status: status.as_u16(), retry_after: None });
    let size = body.size_hint();
    if size.lower() > limits.body_bytes as u64 {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut buffer = Buffer::new(server.budget().receive(begun_at), size.exact());
    let deadline = begun_at + limits.idle();
    loop {
        let received = tokio::select! {
            biased;
            received = timeout_at(deadline, body.frame()) => received,
            () = buffer.evicted() => return Err(SHORT_OF_MEMORY),
        };
        let frame = match received {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return buffer.complete().map_err(|Shortage| SHORT_OF_MEMORY),
            Ok(Some(Err(_))) => return refuse(StatusCode::BAD_REQUEST),
            Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT),
        };
        let Ok(data) = frame.into_data() else { continue };
        if data.len() > limits.body_bytes - buffer.len() {
            return refuse(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if buffer.push(&data, Instant::now()).is_err() {
            return Err(SHORT_OF_MEMORY);
        }
    }
}

/// Sends the request to one endpoint after the other until one responds or no retry
/// is left.
async fn forward(
    server: &Server,
    mut call: Call,
    plan: Plan,
    mut target: Target,
    mut ticket: Ticket,
) -> Response<Payload> {
    let pool = server.pool();
    loop {
        let sent = attempt::send(pool, &call, &plan, &target, &ticket, None).await;
        call.tried.push(target.id.clone());
        let outcome = match sent {
            Ok(head) if plan.is_stream && head.status.is_success() => {
                match stream::open(server, &call, target.clone(), head).await {
                    Ok(opened) => {
                        ticket.report_started();
                        return stream::relay(server, call, plan, ticket, opened);
                    }
                    Err(outcome) => outcome,
                }
            }
            Ok(head) => {
                match relay_buffered(server, &call, &plan, &target, &mut ticket, head).await {
                    Ok(response) => return response,
                    Err(outcome) => outcome,
                }
            }
            Err(outcome) => outcome,
        };
        if let Some(status) = final_status(outcome, &plan) {
            ticket.set_result(outcome, status.as_u16());
            return status_response(status, &call.id);
        }
        match ticket.retry(outcome).await {
            Ok(next) => target = next,
            Err(refusal) => {
                ticket.set_result(outcome, refusal.status);
                return refusal_response(&refusal, &call.id);
            }
        }
    }
}

/// Reads a response that is not relayed as a stream.
async fn relay_buffered(
    server: &Server,
    call: &Call,
    plan: &Plan,
    target: &Target,
    ticket: &mut Ticket,
    head: Head,
) -> Result<Response<Payload>, Outcome> {
    let is_success = head.status.is_success();
    let is_server_error = head.status.is_server_error();
    let is_framed = head.attributes.is_framed;
    if is_success {
        ticket.report_started();
    }
    // Responses of endpoints that state that they have not run the request don't get here.
    let checked = promise::Response {
        status: head.status.as_u16(),
        author: Author::Endpoint,
        evidence: Evidence::None,
        is_idempotent: plan.is_idempotent,
    };
    let is_sealed = head.attributes.is_sealed;
    let response = buffered::collect(server, call, &target.id, head).await?;
    if checked.checked_status() != checked.status {
        log_withheld(&call.id, &target.id, checked, is_sealed);
        ticket.set_result(Outcome::Failed, checked.checked_status());
        return Ok(withheld_response(checked, &call.id));
    }
    if is_server_error && plan.is_idempotent {
        // Another endpoint may succeed. If there is none, the caller gets this response.
        return match ticket.retry(Outcome::Failed).await {
            Ok(next) => retry_once(server, call, plan, next, ticket, response).await,
            Err(_) => {
                ticket.set_result(Outcome::Failed, response.status().as_u16());
                Ok(response)
            }
        };
    }
    let outcome = if is_server_error { Outcome::Failed } else { Outcome::served(is_framed) };
    ticket.set_result(outcome, response.status().as_u16());
    Ok(response)
}

/// Tries one more endpoint after an endpoint's own error response, and returns
/// that response if the retry fails too.
async fn retry_once(
    server: &Server,
    call: &Call,
    plan: &Plan,
    target: Target,
    ticket: &mut Ticket,
    failure: Response<Payload>,
) -> Result<Response<Payload>, Outcome> {
    let retried = match attempt::send(server.pool(), call, plan, &target, ticket, None).await {
        Ok(head) if head.status.is_success() && !plan.is_stream => {
            ticket.report_started();
            let is_framed = head.attributes.is_framed;
            let collected = buffered::collect(server, call, &target.id, head).await;
            collected.map(|it| (Outcome::served(is_framed), it))
        }
        Ok(_) => Err(Outcome::Failed),
        Err(outcome) => Err(outcome),
    };
    let (outcome, response) = retried.unwrap_or_else(|outcome| (outcome, failure));
    ticket.set_result(outcome, response.status().as_u16());
    Ok(response)
}

/// Returns the status for the caller if the request must not be retried.
fn final_status(outcome: Outcome, plan: &Plan) -> Option<StatusCode> {
    match outcome {
        Outcome::TimedOut => Some(StatusCode::GATEWAY_TIMEOUT),
        Outcome::Broken if !plan.is_idempotent => Some(StatusCode::BAD_GATEWAY),
        _ => None,
    }
}

/// Logs that a response isn't passed on, as its status would promise more than is known.
pub(crate) fn log_withheld(id: &str, from: &str, response: promise::Response, is_sealed: bool) {
    spdlog::warn!("response withheld", kv: {
        request = id,
        from = from,
        status = response.status,
        sent = response.checked_status(),
        evidence = response.evidence.name(),
        is_idempotent = response.is_idempotent,
        is_sealed = is_sealed,
    });
}

/// Returns this daemon's response in place of one that isn't passed on.
pub(crate) fn withheld_response(response: promise::Response, id: &str) -> Response<Payload> {
    refusal_response(&Refusal { status: response.checked_status(), retry_after: None }, id)
}

/// Returns a response of this daemon, for a request that has not run if its status promises that.
pub(crate) fn refusal_response(refusal: &Refusal, id: &str) -> Response<Payload> {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Payload::buffered(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = head::own_response(id, refusal.retry_after);
    if promise::is_made_by(status.as_u16()) {
        head::state_not_run(response.headers_mut());
    }
    response
}

pub(crate) fn status_response(status: StatusCode, id: &str) -> Response<Payload> {
    refusal_response(&Refusal { status: status.as_u16(), retry_after: None }, id)
}

impl Server {
    async fn decide(&self, arrival: Box<Arrival>) -> Decision {
        let (reply, decision) = oneshot::channel();
        self.send(Message::Admit { arrival, reply });
        let stopped = Refusal { status: 503, retry_after: None };
        decision.await.unwrap_or(Err(stopped))
    }
}
