//! A caller that speaks HTTP by hand, so that it can do it badly.

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
        socket.set_read_timeout(Some(super::PATIENCE)).unwrap();
        Caller(socket)
    }

    /// Sends a text whole.
    pub fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Sends as much as the server takes.
    pub fn try_send(&mut self, text: &str) {
        let _ = self.0.write_all(text.as_bytes());
    }

    /// Sends a byte now and then until the server ends it, or for `limit`.
    pub fn trickle(&mut self, start: &str, pause: Duration, limit: Duration) -> Duration {
        let started = Instant::now();
        self.send(start);
        self.0.set_read_timeout(Some(pause)).unwrap();
        while started.elapsed() < limit {
            let sent = self.0.write_all(b"x");
            let mut byte = [0];
            let read = self.0.read(&mut byte);
            let open = read.is_err_and(|it| it.kind() == std::io::ErrorKind::WouldBlock);
            if sent.is_err() || !open {
                return started.elapsed();
            }
        }
        limit
    }

    /// Sends a request of its own connection; gives the whole answer.
    pub fn ask_once(mut self, body: &str) -> String {
        let length = body.len();
        let head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close";
        self.try_send(&format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}"));
        self.read_to_end()
    }

    /// Reads until the server closes.
    pub fn read_to_end(&mut self) -> String {
        let mut answer = Vec::new();
        let _ = self.0.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Reads a first piece.
    pub fn read_some(&mut self) {
        let mut piece = [0; 16];
        assert!(self.0.read(&mut piece).unwrap() > 0);
    }

    /// Reads one answer of three bytes; gives its body.
    pub fn read_answer(&mut self) -> String {
        let mut answer = Vec::new();
        let mut byte = [0];
        while !answer.ends_with(b"\r\n\r\n") {
            self.0.read_exact(&mut byte).unwrap();
            answer.push(byte[0]);
        }
        let mut body = [0; 3];
        self.0.read_exact(&mut body).unwrap();
        String::from_utf8_lossy(&body).into_owned()
    }
}

/// Waits until the condition holds; says whether it did in time.
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
