//! Consumers.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Sends a request on a new channel and reads its answer.
pub fn exchange(
    address: SocketAddr,
    head: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut reader = http::connect(address, timeout)?;
    reader.get_mut().write_all(head.as_bytes())?;
    reader.get_mut().write_all(body.as_bytes())?;
    let answer = http::read(&mut reader, true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the head of a consumer's request.
pub fn head(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64, body: &str) -> String {
    let length = match method {
        "POST" => format!("Content-Length: {}\r\n", body.len()),
        _ => String::new(),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: office.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n{length}\r\n"
    )
}
