//! A single attempt: sends a request to one endpoint and reads the response head.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use platform::head;
use platform::head::Overrides;
use quota::endpoint::Statement;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::admission::Confirmation;
use crate::admission::Outcome;
use crate::admission::Plan;
use crate::admission::Target;
use crate::admission::Ticket;
use crate::connection::Connection;
use crate::connection::Pool;
use crate::connection::SendError;
use crate::identity::Identity;
use crate::identity::UNHEARD;

/// Interval at which the broker is asked again whether a request may be sent.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(50);

/// How long a response waits until its process is known; others are heard within that time.
const VERIFICATION_TIME: Duration = Duration::from_millis(1_200);

/// A caller's request, received completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id.
    pub id: String,
    /// Deadline for the end of the response.
    pub deadline: Instant,
    /// Endpoints to which earlier attempts were sent.
    pub tried: Vec<String>,
}

/// Head of an endpoint's response.
#[derive(Debug)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Attributes decoded from status and headers.
    pub attributes: head::Response,
    /// Body, not read yet.
    pub body: Incoming,
    /// Connection that carries the body.
    pub connection: Connection,
}

/// Sends the request and reads the response head. `last_event` is the id of the last
/// relayed event if a stream is resumed. Nothing is sent if the endpoint has left while a
/// connection to it was opened.
pub async fn send(
    pool: &Pool,
    call: &Call,
    plan: &Plan,
    target: &Target,
    ticket: &Ticket,
    last_event: Option<&str>,
) -> Result<Head, Outcome> {
    let (mut connection, verifies) = prepare(pool, call, plan, target, ticket).await?;
    let is_fresh = !connection.is_reused;
    let request = request(call, plan, target, last_event);
    let response = match timeout_at(call.deadline, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::Unsent)) => return Err(Outcome::Unreachable),
        Ok(Err(SendError::Broken)) => return Err(Outcome::Broken),
        Err(_) => return Err(Outcome::TimedOut),
    };
    let (parts, body) = response.into_parts();
    let attributes = head::decode_response(parts.status.as_u16(), &parts.headers);
    // On a reused connection, a response without an id may belong to an earlier request.
    let is_matching = match &attributes.id {
        Some(id) => *id == call.id,
        None => is_fresh || call.id.is_empty(),
    };
    if !is_matching {
        return Err(Outcome::Broken);
    }
    if attributes.is_sealed {
        pool.record_answer(&connection);
    }
    let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let names_limit = attributes.request_limit != Statement::Unlimited;
    let ends_limit = target.is_limited && attributes.is_sealed;
    if !is_misdirected && (names_limit || ends_limit) {
        ticket.report_limit(attributes.request_limit);
    }
    if !is_misdirected && attributes.is_leaving {
        ticket.report_leaving();
    }
    if let Some(survived) = attributes.survived_rejections.filter(|_| !is_misdirected) {
        ticket.report_brittle(survived);
    }
    if let Some(duration) = attributes.retry_after {
        ticket.report_pause(duration);
    }
    if verifies && !attributes.has_not_run {
        verify(pool, &connection, call, ticket).await?;
    }
    if attributes.has_not_run && !is_fresh && call.id.is_empty() {
        // It may be about an earlier request, and this one may run.
        return Err(Outcome::Unverified);
    }
    if attributes.has_not_run {
        return Err(if is_misdirected { Outcome::Misdirected } else { Outcome::Declined });
    }
    if parts.status.is_success() && (!attributes.is_sealed || attributes.is_encoded) {
        return Err(Outcome::Broken);
    }
    Ok(Head { status: parts.status, headers: parts.headers, attributes, body, connection })
}

/// Returns a connection on which the request may be sent, and whether its response has to be
/// verified. Fails with the outcome of the attempt if there is none.
async fn prepare(
    pool: &Pool,
    call: &Call,
    plan: &Plan,
    target: &Target,
    ticket: &Ticket,
) -> Result<(Connection, bool), Outcome> {
    let acquired = match timeout_at(call.deadline, acquire(pool, call, plan, target)).await {
        Ok(acquired) => acquired,
        Err(_) => return Err(Outcome::TimedOut),
    };
    let Ok(mut connection) = acquired else { return Err(Outcome::Unreachable) };
    if connection.is_reused && !plan.needs_identity() {
        return Ok((connection, false));
    }
    // An endpoint whose reports break off can't be asked.
    let verifies =
        plan.needs_identity() && target.is_bound && pool.identity_to_verify(&connection).is_some();
    loop {
        let identity = || match (plan.needs_identity(), verifies) {
            (false, _) => None,
            (true, false) => Some(pool.identity(&connection)),
            (true, true) => pool.identity_to_verify(&connection).or(Some(UNHEARD)),
        };
        match confirm(call, &connection, ticket, identity).await {
            Ok(Wait::Over) if !verifies => {}
            Ok(_) => return Ok((connection, verifies)),
            Err(Outcome::OtherProcess) => {
                pool.release(&target.id, connection, None);
                return Err(Outcome::OtherProcess);
            }
            Err(outcome) => return Err(outcome),
        }
        match timeout_at(call.deadline, pool.ask_again(&mut connection, target)).await {
            Ok(true) => {}
            Ok(false) => return Err(Outcome::OtherProcess),
            Err(_) => return Err(Outcome::TimedOut),
        }
    }
}

/// Whether a request has waited until its process was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Over,
    Unneeded,
}

/// Waits until it is known whether the request may be sent on a connection. Fails with the outcome
/// of the attempt if it may not.
async fn confirm(
    call: &Call,
    connection: &Connection,
    ticket: &Ticket,
    identity: impl Fn() -> Option<Identity>,
) -> Result<Wait, Outcome> {
    let mut wait = Wait::Unneeded;
    loop {
        let identity = identity();
        match ticket.confirm(identity, !connection.is_reused).await {
            Confirmation::Sound => return Ok(wait),
            Confirmation::Unsound => return Err(Outcome::Unreachable),
            Confirmation::OtherProcess => return Err(Outcome::OtherProcess),
            Confirmation::Later => sleep(CONFIRMATION_INTERVAL).await,
        }
        wait = Wait::Over;
        if Instant::now() >= call.deadline {
            return Err(Outcome::OtherProcess);
        }
        // The process may have ended meanwhile.
        if connection.is_closed() {
            return Err(Outcome::Unreachable);
        }
    }
}

/// Waits until it is known whether the process that has begun to respond on a connection is the one
/// that has been answering on others, and has the software version that the request needs.
async fn verify(
    pool: &Pool,
    connection: &Connection,
    call: &Call,
    ticket: &Ticket,
) -> Result<(), Outcome> {
    let deadline = call.deadline.min(Instant::now() + VERIFICATION_TIME);
    while Instant::now() < deadline {
        match ticket.confirm(Some(pool.identity(connection)), false).await {
            Confirmation::Sound => return Ok(()),
            Confirmation::Later => sleep(CONFIRMATION_INTERVAL).await,
            Confirmation::Unsound | Confirmation::OtherProcess => break,
        }
    }
    Err(Outcome::Unverified)
}

/// Returns a connection to the endpoint; one on which the process has been asked for its identity
/// if the request depends on that.
async fn acquire(
    pool: &Pool,
    call: &Call,
    plan: &Plan,
    target: &Target,
) -> Result<Connection, String> {
    // An endpoint that was tried before may write an earlier response of the same id once more
    // on a connection that it has kept.
    let connection = match call.tried.contains(&target.id) {
        true => pool.connect(&target.id, target.address).await?,
        false => pool.acquire(&target.id, target.address).await?,
    };
    if !plan.needs_identity() {
        return Ok(connection);
    }
    pool.identify(connection, target).await
}

fn request(
    call: &Call,
    plan: &Plan,
    target: &Target,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let overrides = Overrides {
        endpoint: &target.id,
        workspace: plan.workspace.as_deref(),
        time_left: call.deadline.saturating_duration_since(Instant::now()),
        priority: plan.priority,
        last_event,
        strips_key: plan.strips_key,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = head::encode_request(&call.headers, &overrides);
    request
}
