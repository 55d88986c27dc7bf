//! Answers that are read whole before the caller gets them.

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use platform::head;
use tokio::time::timeout_at;

use crate::ask::Ended;
use crate::attempt::Head;
use crate::attempt::Read;
use crate::body::Answer;
use crate::links::Links;

/// Largest answer that is read whole, in bytes; bounds the memory of a daemon.
const LIMIT_BYTES: usize = 16 << 20;

/// Reads the answer to its end.
pub async fn collect(
    links: &Links,
    read: &Read,
    endpoint: &str,
    answer: Head,
) -> Result<Response<Answer>, Ended> {
    let Head { status, headers, answered, body, link } = answer;
    let body: Bytes = match timeout_at(read.due, Limited::new(body, LIMIT_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err(Ended::Broken),
        Err(_) => return Err(Ended::TimedOut),
    };
    links.keep(endpoint, link, answered.keep_alive);
    let mut response = Response::new(Answer::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = head::forward_response(&headers);
    Ok(response)
}
