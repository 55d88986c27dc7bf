//! One request of a caller from its head to its answer.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use platform::head;
use route::request::Attributes;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3;

use crate::ask::Arrival;
use crate::ask::Ask;
use crate::ask::Ended;
use crate::ask::Plan;
use crate::ask::Refusal;
use crate::ask::Target;
use crate::ask::Ticket;
use crate::attempt;
use crate::attempt::Head;
use crate::attempt::Read;
use crate::body::Answer;
use crate::plain;
use crate::server::Server;
use crate::stream;

/// Answers a request.
pub async fn serve(server: Server, request: Request<Incoming>) -> Response<Answer> {
    let mut response = answer(&server, request).await;
    if server.is_closing() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(server: &Server, request: Request<Incoming>) -> Response<Answer> {
    let arrived = Instant::now();
    let limits = server.limits();
    let (parts, body) = request.into_parts();
    let asked = head::decode_request(&parts.headers);
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return own(StatusCode::PAYLOAD_TOO_LARGE, &asked.id);
    }
    let body = Limited::new(body, limits.body_bytes).collect();
    let Ok(body) = timeout_at(arrived + limits.idle(), body).await else {
        return own(StatusCode::REQUEST_TIMEOUT, &asked.id);
    };
    let body: Bytes = match body {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return own(StatusCode::PAYLOAD_TOO_LARGE, &asked.id);
        }
        Err(_) => return own(StatusCode::BAD_REQUEST, &asked.id),
    };
    let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default().to_owned();
    let path = parts.uri.path().to_owned();
    let print = fingerprint(&path, &asked, &body);
    let id = asked.id.clone();
    let patience = asked.timeout;
    let arrival = Box::new(Arrival { host, path, asked, print });
    let (plan, target) = match server.decide(arrival).await {
        Ok(decision) => decision,
        Err(refusal) => return refuse(&refusal, &id),
    };
    let ticket = server.ticket(plan.ticket);
    let limit = patience.map_or(plan.timeout, |it| it.min(plan.timeout));
    let target_uri = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    let read = Read {
        method: parts.method,
        target: target_uri.parse().unwrap_or_default(),
        headers: parts.headers,
        body,
        id,
        due: arrived + limit,
    };
    run(server, read, plan, target, ticket).await
}

/// Sends the request until an endpoint answers it.
async fn run(
    server: &Server,
    read: Read,
    plan: Plan,
    mut target: Target,
    mut ticket: Ticket,
) -> Response<Answer> {
    let links = server.links();
    loop {
        let ended = match attempt::send(links, &read, &plan, &target, None).await {
            Ok(head) if plan.is_stream && head.status.is_success() => {
                match stream::begin(&read, target.clone(), head).await {
                    Ok(begun) => {
                        ticket.began();
                        return stream::relay(links, read, plan, ticket, begun);
                    }
                    Err(ended) => ended,
                }
            }
            Ok(head) => match whole(server, &read, &plan, &target, &mut ticket, head).await {
                Ok(response) => return response,
                Err(ended) => ended,
            },
            Err(ended) => ended,
        };
        if let Some(status) = final_status(ended, &plan) {
            ticket.end(ended, status.as_u16());
            return own(status, &read.id);
        }
        match ticket.next(ended).await {
            Ok(next) => target = next,
            Err(refusal) => {
                ticket.end(ended, refusal.status);
                return refuse(&refusal, &read.id);
            }
        }
    }
}

/// Reads an answer that is not relayed as a stream.
async fn whole(
    server: &Server,
    read: &Read,
    plan: &Plan,
    target: &Target,
    ticket: &mut Ticket,
    head: Head,
) -> Result<Response<Answer>, Ended> {
    let is_success = head.status.is_success();
    let is_server_error = head.status.is_server_error();
    if is_success {
        ticket.began();
    }
    let response = plain::collect(server.links(), read, &target.id, head).await?;
    if is_server_error && plan.is_idempotent {
        // Another endpoint may do better; if there is none, this answer stands.
        return match ticket.next(Ended::Failed).await {
            Ok(next) => again(server, read, plan, next, ticket, response).await,
            Err(_) => {
                ticket.end(Ended::Failed, response.status().as_u16());
                Ok(response)
            }
        };
    }
    let ended = if is_server_error { Ended::Failed } else { Ended::Served };
    ticket.end(ended, response.status().as_u16());
    Ok(response)
}

/// Tries one more endpoint after a failure that the endpoint answered itself.
async fn again(
    server: &Server,
    read: &Read,
    plan: &Plan,
    target: Target,
    ticket: &mut Ticket,
    failure: Response<Answer>,
) -> Result<Response<Answer>, Ended> {
    let retried = match attempt::send(server.links(), read, plan, &target, None).await {
        Ok(head) if head.status.is_success() && !plan.is_stream => {
            ticket.began();
            plain::collect(server.links(), read, &target.id, head).await.ok()
        }
        _ => None,
    };
    let (ended, response) = match retried {
        Some(response) => (Ended::Served, response),
        None => (Ended::Failed, failure),
    };
    ticket.end(ended, response.status().as_u16());
    Ok(response)
}

/// The status for the caller when no further endpoint may be asked.
fn final_status(ended: Ended, plan: &Plan) -> Option<StatusCode> {
    match ended {
        Ended::TimedOut => Some(StatusCode::GATEWAY_TIMEOUT),
        Ended::Broken if !plan.is_idempotent => Some(StatusCode::BAD_GATEWAY),
        _ => None,
    }
}

fn refuse(refusal: &Refusal, id: &str) -> Response<Answer> {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Answer::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = head::own_response(id, refusal.retry_after);
    response
}

fn own(status: StatusCode, id: &str) -> Response<Answer> {
    refuse(&Refusal { status: status.as_u16(), retry_after: None }, id)
}

fn fingerprint(path: &str, asked: &Attributes, body: &[u8]) -> u128 {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), asked.key.as_deref().unwrap_or_default().as_bytes(), body] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest128()
}

impl Server {
    async fn decide(&self, arrival: Box<Arrival>) -> Result<(Plan, Target), Refusal> {
        let (reply, answer) = oneshot::channel();
        self.ask(Ask::Arrival { arrival, reply });
        let stopped = Refusal { status: 503, retry_after: None };
        answer.await.unwrap_or(Err(stopped))
    }
}
