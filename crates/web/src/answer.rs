//! Answers: whole ones with a content length, and streams in chunks.

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
use crate::body::Piece;
use crate::problem::Problem;
use crate::request::Field;

/// Media type of problem answers.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Pieces of a stream that wait for a slow caller.
const PIECES_LIMIT: usize = 64;

/// The way back to the caller of one request.
pub struct Responder {
    answer: oneshot::Sender<Response<Content>>,
    write_timeout: Duration,
}

/// An answer that is being streamed.
pub struct Stream {
    pieces: mpsc::Sender<Piece>,
    write_timeout: Duration,
}

impl Responder {
    pub(crate) fn new(
        answer: oneshot::Sender<Response<Content>>,
        write_timeout: Duration,
    ) -> Responder {
        Responder { answer, write_timeout }
    }

    /// Returns when the caller is gone.
    pub async fn gone(&mut self) {
        self.answer.closed().await;
    }

    /// Sends a whole answer.
    pub fn send(self, status: u16, fields: &[Field], body: &[u8]) -> io::Result<()> {
        self.answer(status, fields, Content::Whole(Bytes::copy_from_slice(body)))
    }

    /// Sends a whole answer of one media type.
    pub fn send_typed(self, status: u16, media_type: &str, body: &[u8]) -> io::Result<()> {
        self.send(status, &[field("Content-Type", media_type)], body)
    }

    /// Sends a value as JSON.
    pub fn send_json(self, status: u16, value: &impl Serialize) -> io::Result<()> {
        let body = serde_json::to_vec(value).map_err(io::Error::other)?;
        self.send_typed(status, "application/json", &body)
    }

    /// Sends a problem, with `Retry-After` when waiting helps.
    pub fn send_problem(self, problem: &Problem) -> io::Result<()> {
        let body = serde_json::to_vec(problem).map_err(io::Error::other)?;
        let mut fields = vec![field("Content-Type", PROBLEM_TYPE)];
        if let Some(seconds) = problem.retry_after_s {
            fields.push(field("Retry-After", &seconds.to_string()));
        }
        self.send(problem.status, &fields, &body)
    }

    /// Starts a chunked answer whose head is sent at once.
    pub fn stream(self, status: u16, fields: &[Field]) -> io::Result<Stream> {
        let (pieces, received) = mpsc::channel(PIECES_LIMIT);
        let write_timeout = self.write_timeout;
        self.answer(status, fields, Content::Pieces(received))?;
        Ok(Stream { pieces, write_timeout })
    }

    fn answer(self, status: u16, fields: &[Field], content: Content) -> io::Result<()> {
        let mut response = Response::new(content);
        *response.status_mut() = status.try_into().map_err(io::Error::other)?;
        for field in fields {
            let name = HeaderName::try_from(&field.name).map_err(io::Error::other)?;
            let value = field.value.replace(['\r', '\n'], " ");
            let value = HeaderValue::try_from(value).map_err(io::Error::other)?;
            response.headers_mut().append(name, value);
        }
        self.answer.send(response).map_err(|_| gone())
    }
}

impl Stream {
    /// Sends one chunk from a thread. An error means that the caller is gone.
    pub fn send(&mut self, chunk: &[u8]) -> io::Result<()> {
        let piece = Piece::Chunk(Bytes::copy_from_slice(chunk));
        self.pieces.blocking_send(piece).map_err(|_| gone())
    }

    /// Sends one chunk from a task. An error means that the caller is gone or
    /// reads nothing.
    pub async fn push(&mut self, chunk: Vec<u8>) -> io::Result<()> {
        match timeout(self.write_timeout, self.pieces.send(Piece::Chunk(chunk.into()))).await {
            Ok(sent) => sent.map_err(|_| gone()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Returns when the caller is gone.
    pub async fn gone(&self) {
        self.pieces.closed().await;
    }

    /// Sends the mark of a complete answer from a thread.
    ///
    /// A stream dropped without this breaks its connection.
    pub fn finish(self) -> io::Result<()> {
        self.pieces.blocking_send(Piece::End).map_err(|_| gone())
    }

    /// Sends the mark of a complete answer from a task.
    pub async fn complete(self) -> io::Result<()> {
        match timeout(self.write_timeout, self.pieces.send(Piece::End)).await {
            Ok(sent) => sent.map_err(|_| gone()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// A header field of an answer.
pub fn field(name: &str, value: &str) -> Field {
    Field { name: name.to_owned(), value: value.to_owned() }
}

fn gone() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}
