//! One attempt at a call to a plain service.

use std::ops::Range;
use std::time::Duration;

use job::call::Idempotency;
use job::call::Plain;
use job::problem::Outcome;
use job::problem::Problem;
use job::reply::Response;
use ureq::http;

use crate::agent;
use crate::attempt::Event;
use crate::attempt::Failure;

/// Maximum size of a response body, in bytes.
const RESPONSE_LIMIT_BYTES: u64 = 16 << 20;
/// Statuses of final responses, in the classes of HTTP.
const STATUSES: Range<u16> = 200..600;
/// Media type of problem details.
const PROBLEM_TYPE: &str = "application/problem+json";

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Request {
    /// Call to send.
    pub call: Plain,
    /// Value of the `Idempotency-Key` header, if any.
    pub key: Option<String>,
    /// Fencing token to send, if any.
    pub fence: Option<u64>,
    /// Whether to open a new connection.
    pub fresh_connection: bool,
    /// Timeout for the response to a non-idempotent call.
    pub timeout: Duration,
}

/// Runs the attempt. Its only event is `Answered` or `Failed`.
pub(crate) fn run(address: &str, request: &Request, emit: &dyn Fn(Event)) {
    match call(address, request) {
        Ok(response) => emit(Event::Answered(response)),
        Err(failure) => emit(Event::Failed(agent::refine_failure(address, failure))),
    }
}

fn call(address: &str, request: &Request) -> Result<Response, Failure> {
    let not_sent = |it: http::Error| Failure::NotSent(it.to_string());
    let mut builder = http::Request::builder()
        .method(request.call.method.as_str())
        .uri(format!("http://{address}{}", request.call.target));
    if !request.call.media_type.is_empty() {
        builder = builder.header("content-type", &request.call.media_type);
    }
    if let Some(key) = &request.key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(fence) = request.fence {
        builder = builder.header("lentilhook-fence", fence);
    }
    let http_request = builder.body(request.call.body.as_slice()).map_err(not_sent)?;
    let result = match request.call.idempotency {
        Idempotency::Idempotent if request.fresh_connection => {
            agent::single_use(agent::READ_TIMEOUT).run(http_request)
        }
        Idempotency::Idempotent => agent::pooled().run(http_request),
        Idempotency::NonIdempotent => agent::single_use(request.timeout).run(http_request),
    };
    let mut response = result.map_err(|it| agent::failure(&it))?;
    let status = response.status().as_u16();
    if !STATUSES.contains(&status) {
        return Err(Failure::Broken(format!("service answered {status}, which is in no class")));
    }
    let media_type = response.headers().get("content-type").and_then(|it| it.to_str().ok());
    let media_type = media_type.unwrap_or_default().to_owned();
    let read_result = response.body_mut().with_config().limit(RESPONSE_LIMIT_BYTES).read_to_vec();
    let body = read_result.map_err(|it| agent::failure(&it))?;
    if is_not_run(&media_type, &body) {
        return Err(Failure::Refused(format!("service answered {status} and did not run it")));
    }
    Ok(Response { status, media_type, body })
}

/// Whether a response is a problem whose outcome states that nothing was executed.
fn is_not_run(media_type: &str, body: &[u8]) -> bool {
    let problem = || serde_json::from_slice::<Problem>(body).ok();
    media_type == PROBLEM_TYPE && problem().is_some_and(|it| it.outcome == Outcome::NotRun)
}
