//! A caller that writes HTTP by hand, so that it can also violate the protocol.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use web::server::Server;

/// A connection to the server under test.
pub struct Caller(TcpStream);

impl Caller {
    /// Connects to the server.
    pub fn connect(server: &Server) -> Caller {
        let socket = TcpStream::connect(server.address).unwrap();
        socket.set_read_timeout(Some(super::TEST_TIMEOUT)).unwrap();
        Caller(socket)
    }

    /// Sends all of `text`.
    pub fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Sends as much of `text` as the server accepts.
    pub fn try_send(&mut self, text: &str) {
        let _ = self.0.write_all(text.as_bytes());
    }

    /// Sends `start`, then one byte per `pause` until the server closes the connection.
    ///
    /// Returns the time until the connection was closed, or `limit` if it stayed open.
    pub fn trickle(&mut self, start: &str, pause: Duration, limit: Duration) -> Duration {
        let started = Instant::now();
        self.send(start);
        self.0.set_read_timeout(Some(pause)).unwrap();
        while started.elapsed() < limit {
            let sent = self.0.write_all(b"x");
            let mut byte = [0];
            let read = self.0.read(&mut byte);
            let is_open = read.is_err_and(|it| it.kind() == std::io::ErrorKind::WouldBlock);
            if sent.is_err() || !is_open {
                return started.elapsed();
            }
        }
        limit
    }

    /// Sends a request that closes the connection. Returns the complete response.
    pub fn request_once(mut self, body: &str) -> String {
        let length = body.len();
        let head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close";
        self.try_send(&format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}"));
        self.read_to_end()
    }

    /// Reads until the server closes the connection.
    pub fn read_to_end(&mut self) -> String {
        let mut response = Vec::new();
        let _ = self.0.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Reads until the server closes the connection. Fails if it doesn't close it in order.
    pub fn read_to_orderly_end(&mut self) -> Result<String, ErrorKind> {
        let mut response = String::new();
        self.0.read_to_string(&mut response).map_err(|it| it.kind())?;
        Ok(response)
    }

    /// Reads the first bytes of a response.
    pub fn read_some(&mut self) {
        let mut bytes = [0; 16];
        assert!(self.0.read(&mut bytes).unwrap() > 0);
    }

    /// Reads one response with a body of three bytes. Returns the body.
    pub fn read_response(&mut self) -> String {
        let mut response = Vec::new();
        let mut byte = [0];
        while !response.ends_with(b"\r\n\r\n") {
            self.0.read_exact(&mut byte).unwrap();
            response.push(byte[0]);
        }
        let mut body = [0; 3];
        self.0.read_exact(&mut body).unwrap();
        String::from_utf8_lossy(&body).into_owned()
    }
}

/// Waits until the condition holds. Returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
