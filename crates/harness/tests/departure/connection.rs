//! A caller's connection that reads and writes when the test says so.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use harness::cluster::PLAIN_SERVICE;
use harness::cluster::WORKSPACE_TOKEN;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Small, so that the daemon has to keep what the caller does not read.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Far beyond every limit of the daemon, but ends a failing test.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// A connection to a daemon's port for callers.
pub struct Connection(TcpStream);

impl Connection {
    /// Connects with a small receive buffer.
    pub fn open(address: &str) -> io::Result<Connection> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.connect(&address.into())?;
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Connection(stream))
    }

    /// Sends the head of a call that the plain service answers with the body it received.
    pub fn send_head(&mut self, body_bytes: usize) -> io::Result<()> {
        let head = format!(
            "POST /services/{PLAIN_SERVICE}/echo HTTP/1.1\r\nHost: daemon\r\n\
             Authorization: Bearer {WORKSPACE_TOKEN}\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        self.0.write_all(head.as_bytes())
    }

    /// Sends a part of a body.
    pub fn send_body(&mut self, part: &str) -> io::Result<()> {
        self.0.write_all(part.as_bytes())
    }

    /// Reads up to `limit` bytes.
    pub fn read_some(&mut self, limit: usize) {
        let _ = self.0.read(&mut vec![0; limit]);
    }

    /// Reads until the daemon closes the connection. Returns what was read before the end or the
    /// first error.
    pub fn read_to_end(&mut self) -> String {
        let mut response = Vec::new();
        let _ = self.0.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Reads one response with a content length. Returns its head and body, or what arrived of
    /// them.
    pub fn read_response(&mut self) -> String {
        let mut response = Vec::new();
        let mut byte = [0];
        while !response.ends_with(b"\r\n\r\n") {
            match self.0.read(&mut byte) {
                Ok(1) => response.push(byte[0]),
                _ => return String::from_utf8_lossy(&response).into_owned(),
            }
        }
        let head = String::from_utf8_lossy(&response).to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: u64 = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        let _ = (&mut self.0).take(length).read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }
}
