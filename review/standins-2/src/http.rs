//! The part of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(it, _)| it.eq_ignore_ascii_case(name))
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut Reader) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.first_line.is_empty() {
                Ok(None)
            } else {
                Err(ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            if !line.is_empty() {
                message.first_line = line.to_owned();
            }
            continue;
        }
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; `None` after the last one.
pub fn read_chunk(reader: &mut Reader) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Reads a message with its body. A response without a length ends with the connection.
pub fn read(reader: &mut Reader, is_response: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if message.has("content-length") {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Opens a connection to a server.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Reader> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(BufReader::new(stream))
}

/// Whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
