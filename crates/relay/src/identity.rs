//! Which process is at the other end of a connection to an endpoint.
//!
//! An endpoint may start again under its id and address with another software version. A process
//! is known only by what it has answered: a connection on which nothing was heard may have been
//! opened while no process was there, and lead to the next one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use platform::report;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::connection::Connection;

/// Maximum size of its response; it lists the requests that run.
const MAX_BODY_BYTES: usize = 256 * 1_024;

/// What is known of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// When it started, in milliseconds since 1970, if it has stated that.
    pub started_at_ms: Option<u64>,
    /// Since when it has been answering. `None` if it hasn't answered on the connection.
    pub heard_since: Option<Instant>,
    /// A time at which it was still running, after the request had begun. Known only of those that
    /// have stated no start.
    pub running_at: Option<Instant>,
}

impl Identity {
    /// Whether more is known than before, apart from progress within `interval`.
    pub fn is_news(&self, before: &Identity, interval: Duration) -> bool {
        let Identity { started_at_ms, heard_since, running_at } = *self;
        let has_progress = running_at
            .is_some_and(|it| before.running_at.is_none_or(|other| it > other + interval));
        has_progress || (started_at_ms, heard_since) != (before.started_at_ms, before.heard_since)
    }
}

/// A process of which nothing was heard.
pub const UNHEARD: Identity = Identity { started_at_ms: None, heard_since: None, running_at: None };

/// Why a process has not stated its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its response is complete, but states no start.
    NotStated,
    /// There was no response of a process: none at all, only a part of one, or an error of
    /// something before it. Says nothing about the endpoint.
    Unanswered,
}

impl Failure {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Failure::NotStated => "not_stated",
            Failure::Unanswered => "unanswered",
        }
    }
}

/// Asks the process at the other end of a connection when it started, in milliseconds since
/// 1970. It has to answer within `limit`.
pub async fn ask(
    connection: &mut Connection,
    address: SocketAddr,
    limit: Duration,
) -> Result<u64, Failure> {
    let asked = timeout(limit, exchange(connection, address)).await;
    let body = asked.unwrap_or(Err(Failure::Unanswered))?;
    report::started_at_ms(&body).ok_or(Failure::NotStated)
}

async fn exchange(connection: &mut Connection, address: SocketAddr) -> Result<Bytes, Failure> {
    let request = report::request(&address.to_string());
    let response = connection.send(request).await;
    let (parts, body) = response.map_err(|_| Failure::Unanswered)?.into_parts();
    if !report::is_of_endpoint(parts.status) {
        return Err(Failure::Unanswered);
    }
    if !report::is_report(parts.status, &parts.headers) {
        // A stream of events may have no end.
        if !report::is_stream(&parts.headers)
            && Limited::new(body, MAX_BODY_BYTES).collect().await.is_ok()
        {
            // An error ends the connection, which the caller notices.
            connection.is_reusable().await;
        }
        return Err(Failure::NotStated);
    }
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = collected.map_err(|_| Failure::Unanswered)?.to_bytes();
    // Fails if the response was the last one on the connection.
    match connection.is_reusable().await {
        true => Ok(body),
        false => Err(Failure::Unanswered),
    }
}
