//! One attempt at a call of a plain service.

use std::time::Duration;

use job::call::Plain;
use job::call::Repeat;
use job::problem::Outcome;
use job::problem::Problem;
use job::reply::Response;
use ureq::http::Request;

use crate::agent;
use crate::attempt::Event;
use crate::attempt::Failure;

/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;
/// Media type of problem answers.
const PROBLEM_TYPE: &str = "application/problem+json";

/// What is asked of the service.
#[derive(Clone, Debug)]
pub struct Order {
    /// The call.
    pub call: Plain,
    /// `Idempotency-Key` to send along.
    pub key: Option<String>,
    /// Fencing number to send along.
    pub fence: Option<u64>,
    /// Use a connection that was not used before.
    pub fresh_connection: bool,
    /// Longest time to answer.
    pub timeout: Duration,
}

/// Runs the attempt; its only event is `Answered` or `Failed`.
pub(crate) fn run(address: &str, order: &Order, emit: &dyn Fn(Event)) {
    match call(address, order) {
        Ok(whole) => emit(Event::Answered(whole)),
        Err(failure) => emit(Event::Failed(agent::examine(address, failure))),
    }
}

fn call(address: &str, order: &Order) -> Result<Response, Failure> {
    let not_sent = |it: ureq::http::Error| Failure::NotSent(it.to_string());
    let mut builder = Request::builder()
        .method(order.call.method.as_str())
        .uri(format!("http://{address}{}", order.call.target));
    if !order.call.media_type.is_empty() {
        builder = builder.header("content-type", &order.call.media_type);
    }
    if let Some(key) = &order.key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(fence) = order.fence {
        builder = builder.header("lentilhook-fence", fence);
    }
    let request = builder.body(order.call.body.as_slice()).map_err(not_sent)?;
    let sent = match order.call.repeat {
        Repeat::Idempotent if order.fresh_connection => {
            agent::single_use(agent::SILENCE_TIMEOUT).run(request)
        }
        Repeat::Idempotent => agent::pooled().run(request),
        Repeat::NonIdempotent => agent::single_use(order.timeout).run(request),
    };
    let mut response = sent.map_err(|it| agent::failure(&it))?;
    let status = response.status().as_u16();
    let media_type = response.headers().get("content-type").and_then(|it| it.to_str().ok());
    let media_type = media_type.unwrap_or_default().to_owned();
    let read = response.body_mut().with_config().limit(ANSWER_LIMIT_BYTES).read_to_vec();
    let body = read.map_err(|it| agent::failure(&it))?;
    if says_not_run(&media_type, &body) {
        return Err(Failure::Refused(format!("service answered {status} and did not run it")));
    }
    Ok(Response { status, media_type, body })
}

/// Whether a service says in the published form that nothing was executed.
fn says_not_run(media_type: &str, body: &[u8]) -> bool {
    let problem = || serde_json::from_slice::<Problem>(body).ok();
    media_type == PROBLEM_TYPE && problem().is_some_and(|it| it.outcome == Outcome::NotRun)
}
