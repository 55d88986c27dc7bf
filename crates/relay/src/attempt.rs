//! One send of a request to one endpoint, up to the head of the answer.

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
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::ask::Ended;
use crate::ask::Plan;
use crate::ask::Target;
use crate::links::Link;
use crate::links::Links;

/// A caller's request, read to its end.
#[derive(Clone, Debug)]
pub struct Read {
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// Head.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Identity of the try.
    pub id: String,
    /// When the final answer is due.
    pub due: Instant,
}

/// The head of an endpoint's own answer.
#[derive(Debug)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What they say.
    pub answered: head::Response,
    /// Body, still to be read.
    pub body: Incoming,
    /// Connection on which it comes.
    pub link: Link,
}

/// Sends the request; `last_event` is set when a stream goes on elsewhere.
pub async fn send(
    links: &Links,
    read: &Read,
    plan: &Plan,
    target: &Target,
    last_event: Option<&str>,
) -> Result<Head, Ended> {
    let opened = match timeout_at(read.due, links.open(&target.id, target.address)).await {
        Ok(opened) => opened,
        Err(_) => return Err(Ended::TimedOut),
    };
    let Ok(mut link) = opened else { return Err(Ended::Unreachable) };
    let request = request(read, plan, target, last_event);
    let is_fresh = !link.is_used;
    let response = match timeout_at(read.due, link.sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        // The connection was closed before a byte of the request went out.
        Ok(Err(error)) if error.is_canceled() => return Err(Ended::Unreachable),
        Ok(Err(_)) => return Err(Ended::Broken),
        Err(_) => return Err(Ended::TimedOut),
    };
    let (parts, body) = response.into_parts();
    let answered = head::decode_response(parts.status.as_u16(), &parts.headers);
    // On a used connection an answer without an identity may be an earlier one's.
    let is_ours = match &answered.id {
        Some(id) => *id == read.id,
        None => is_fresh || read.id.is_empty(),
    };
    if !is_ours {
        return Err(Ended::Broken);
    }
    if answered.has_not_run {
        let is_other = parts.status == StatusCode::MISDIRECTED_REQUEST;
        return Err(if is_other { Ended::Misdirected } else { Ended::TurnedAway });
    }
    if parts.status.is_success() && (!answered.is_sealed || answered.is_encoded) {
        return Err(Ended::Broken);
    }
    Ok(Head { status: parts.status, headers: parts.headers, answered, body, link })
}

fn request(
    read: &Read,
    plan: &Plan,
    target: &Target,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let overrides = Overrides {
        endpoint: &target.id,
        workspace: plan.workspace.as_deref(),
        time_left: read.due.saturating_duration_since(Instant::now()),
        priority: plan.rank,
        last_event,
        strips_key: plan.hides_key,
    };
    let mut request = Request::new(Full::new(read.body.clone()));
    *request.method_mut() = read.method.clone();
    *request.uri_mut() = read.target.clone();
    *request.headers_mut() = head::encode_request(&read.headers, &overrides);
    request
}
