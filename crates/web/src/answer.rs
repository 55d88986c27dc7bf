//! Answers: whole ones with a content length, and streams in chunks.

use std::io;
use std::io::Write;

use chunked_transfer::Encoder;
use serde::Serialize;

use crate::problem::Problem;
use crate::request::Field;

/// Media type of problem answers.
const PROBLEM_TYPE: &str = "application/problem+json";

/// End mark of a chunked answer.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The way back to the caller of one request.
pub struct Responder {
    writer: Box<dyn Write + Send>,
}

/// An answer that is being streamed.
pub struct Stream {
    encoder: Encoder<Box<dyn Write + Send>>,
}

impl Responder {
    /// Answers over `writer`.
    pub fn new(writer: Box<dyn Write + Send>) -> Responder {
        Responder { writer }
    }

    /// Sends a whole answer.
    pub fn send(mut self, status: u16, fields: &[Field], body: &[u8]) -> io::Result<()> {
        let mut head = head(status, fields);
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body)?;
        self.writer.flush()
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
    pub fn stream(mut self, status: u16, fields: &[Field]) -> io::Result<Stream> {
        let mut head = head(status, fields);
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        self.writer.write_all(head.as_bytes())?;
        self.writer.flush()?;
        Ok(Stream { encoder: Encoder::new(self.writer) })
    }
}

impl Stream {
    /// Sends one chunk now. An error means that the caller is gone.
    pub fn send(&mut self, chunk: &[u8]) -> io::Result<()> {
        self.encoder.write_all(chunk)?;
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Sends the mark of a complete answer.
    ///
    /// A stream dropped without this also ends its chunks; protocols on top
    /// mark completeness with a last event.
    pub fn finish(mut self) -> io::Result<()> {
        self.encoder.flush()?;
        // The encoder's own end mark, written when it is dropped, would not be flushed.
        let mut writer = std::mem::replace(self.encoder.get_mut(), Box::new(io::sink()));
        writer.write_all(LAST_CHUNK)?;
        writer.flush()
    }
}

/// A header field of an answer.
pub fn field(name: &str, value: &str) -> Field {
    Field { name: name.to_owned(), value: value.to_owned() }
}

fn head(status: u16, fields: &[Field]) -> String {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for field in fields {
        let value = field.value.replace(['\r', '\n'], " ");
        head.push_str(&format!("{}: {value}\r\n", field.name));
    }
    head
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
