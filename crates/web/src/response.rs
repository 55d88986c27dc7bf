//! Sends HTTP responses, either complete with a content length or chunked.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::body::Content;
use crate::body::Part;
use crate::problem::Problem;
use crate::request::Field;

/// Media type of problem details.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Number of chunks buffered per stream for a slow caller.
const BUFFERED_CHUNKS: usize = 64;

/// Sends the response to one request.
pub struct Responder {
    response: oneshot::Sender<Response<Content>>,
    write_timeout: Duration,
}

/// A response body sent in chunks.
pub struct Stream {
    parts: mpsc::Sender<Part>,
    write_timeout: Duration,
}

impl Responder {
    pub(crate) fn new(
        response: oneshot::Sender<Response<Content>>,
        write_timeout: Duration,
    ) -> Responder {
        Responder { response, write_timeout }
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        self.response.closed().await;
    }

    /// Sends a complete response.
    ///
    /// Fails if the status or a field is invalid or the caller has disconnected.
    pub fn send(self, status: u16, fields: &[Field], body: &[u8]) -> io::Result<()> {
        self.respond(status, fields, Content::Full(Bytes::copy_from_slice(body)))
    }

    /// Sends a complete response with the given media type.
    pub fn send_typed(self, status: u16, media_type: &str, body: &[u8]) -> io::Result<()> {
        self.send(status, &[field("Content-Type", media_type)], body)
    }

    /// Sends a complete response with `value` as JSON.
    pub fn send_json(self, status: u16, value: &impl Serialize) -> io::Result<()> {
        let body = serde_json::to_vec(value).map_err(io::Error::other)?;
        self.send_typed(status, "application/json", &body)
    }

    /// Sends problem details, with a `Retry-After` field if the problem allows a retry.
    pub fn send_problem(self, problem: &Problem) -> io::Result<()> {
        let body = serde_json::to_vec(problem).map_err(io::Error::other)?;
        let mut fields = vec![field("Content-Type", PROBLEM_TYPE)];
        if let Some(seconds) = problem.retry_after_s {
            fields.push(field("Retry-After", &seconds.to_string()));
        }
        self.send(problem.status, &fields, &body)
    }

    /// Starts a chunked response. Its head is sent immediately.
    pub fn stream(self, status: u16, fields: &[Field]) -> io::Result<Stream> {
        let (parts, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        let write_timeout = self.write_timeout;
        self.respond(status, fields, Content::Stream(receiver))?;
        Ok(Stream { parts, write_timeout })
    }

    fn respond(self, status: u16, fields: &[Field], content: Content) -> io::Result<()> {
        let mut response = Response::new(content);
        *response.status_mut() = status.try_into().map_err(io::Error::other)?;
        for field in fields {
            let name = HeaderName::try_from(&field.name).map_err(io::Error::other)?;
            let value = field.value.replace(['\r', '\n'], " ");
            let value = HeaderValue::try_from(value).map_err(io::Error::other)?;
            response.headers_mut().append(name, value);
        }
        self.response.send(response).map_err(|_| disconnected())
    }
}

impl Stream {
    /// Sends one chunk, blocking the calling thread while the buffer is full.
    ///
    /// Fails if the caller has disconnected.
    pub fn blocking_send(&mut self, chunk: &[u8]) -> io::Result<()> {
        let part = Part::Chunk(Bytes::copy_from_slice(chunk));
        self.parts.blocking_send(part).map_err(|_| disconnected())
    }

    /// Sends one chunk.
    ///
    /// Fails if the caller has disconnected or reads nothing for the write timeout.
    pub async fn send(&mut self, chunk: Vec<u8>) -> io::Result<()> {
        match timeout(self.write_timeout, self.parts.send(Part::Chunk(chunk.into()))).await {
            Ok(sent) => sent.map_err(|_| disconnected()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Marks the response as complete, blocking the calling thread while the buffer is full.
    ///
    /// A stream dropped before it is finished aborts its connection.
    pub fn blocking_finish(self) -> io::Result<()> {
        self.parts.blocking_send(Part::End).map_err(|_| disconnected())
    }

    /// Marks the response as complete.
    ///
    /// A stream dropped before it is finished aborts its connection.
    pub async fn finish(self) -> io::Result<()> {
        match timeout(self.write_timeout, self.parts.send(Part::End)).await {
            Ok(sent) => sent.map_err(|_| disconnected()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Creates a header field.
pub fn field(name: &str, value: &str) -> Field {
    Field { name: name.to_owned(), value: value.to_owned() }
}

fn disconnected() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}
