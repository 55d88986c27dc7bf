//! Which process is at the other end of a connection to an endpoint.
//!
//! An endpoint may start again under its id and address with another software version. What is
//! learned on a connection holds for the later requests on it, as a restart ends it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use platform::report;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::connection::Connection;

/// How long a process may take to say when it started.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of its response; it lists the requests that run.
const MAX_BODY_BYTES: usize = 256 * 1_024;

/// What is known of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// When it started, in milliseconds since 1970, if it has stated that on the connection.
    pub started_at_ms: Option<u64>,
    /// Since when connections to it have been open without interruption.
    pub since: Instant,
}

/// Why a process has not stated its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its response is none that states a start.
    NotStated,
    /// There was no response, only a part of one, or the connection ended with it.
    Broken,
}

/// Asks the process at the other end of a connection when it started, in milliseconds since
/// 1970.
pub async fn ask(connection: &mut Connection, address: SocketAddr) -> Result<u64, Failure> {
    let asked = timeout(TIMEOUT, exchange(connection, address)).await;
    let body = asked.unwrap_or(Err(Failure::Broken))?;
    report::started_at_ms(&body).ok_or(Failure::NotStated)
}

async fn exchange(connection: &mut Connection, address: SocketAddr) -> Result<Bytes, Failure> {
    let request = report::request(&address.to_string());
    let response = connection.sender.send_request(request).await;
    let (parts, body) = response.map_err(|_| Failure::Broken)?.into_parts();
    if !report::is_report(parts.status, &parts.headers) {
        return Err(Failure::NotStated);
    }
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = collected.map_err(|_| Failure::Broken)?.to_bytes();
    // Fails if the response was the last one on the connection.
    connection.sender.ready().await.map_err(|_| Failure::Broken)?;
    Ok(body)
}
