//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of a head.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.field("request-id").unwrap_or_default()
    }

    fn parse(text: &str) -> Head {
        let mut lines = text.lines();
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|it| it.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Head { start, fields: fields.collect() }
    }
}

/// A connection with the bytes that were received and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Receives bytes. Returns how many; 0 at the end.
    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1_024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Returns the next head; an error at the end of the connection.
    pub fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Head::parse(&String::from_utf8_lossy(&head)));
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let data = self.take(size)?;
        self.take(2)?;
        Ok(data)
    }

    /// Returns the whole body of a message with this head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let size = head.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.take(size)
    }

    /// Waits until the other end has closed the connection, for at most `limit`. Returns whether
    /// it has.
    pub fn wait_for_close(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.fill() {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if is_timeout(&error) => return false,
                Err(_) => return true,
            }
        }
    }
}

pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}
