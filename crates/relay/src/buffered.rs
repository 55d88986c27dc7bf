//! Responses that are buffered completely before they are sent to the caller.

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use platform::head;
use tokio::time::timeout_at;

use crate::admission::Outcome;
use crate::attempt::Call;
use crate::attempt::Head;
use crate::body::Payload;
use crate::connection::Pool;

/// Maximum size of a buffered response; bounds the memory of a daemon.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads the response completely and returns its connection to the pool.
pub async fn collect(
    pool: &Pool,
    call: &Call,
    endpoint: &str,
    head: Head,
) -> Result<Response<Payload>, Outcome> {
    let Head { status, headers, attributes, body, connection } = head;
    let body: Bytes =
        match timeout_at(call.deadline, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(Outcome::Broken),
            Err(_) => return Err(Outcome::TimedOut),
        };
    pool.release(endpoint, connection, attributes.keep_alive);
    let mut response = Response::new(Payload::buffered(body));
    *response.status_mut() = status;
    *response.headers_mut() = head::forward_response(&headers);
    Ok(response)
}
