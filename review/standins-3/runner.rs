//! Runners, and their entries in the store.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Head;
use crate::store::Store;

/// Interval at which a runner writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a runner looks for connections, for their ends and for its own.
const POLL: Duration = Duration::from_millis(2);

/// Size from which on a body is long. Those are left to the handler.
const LONG_BODY_BYTES: usize = 256 * 1_024;

/// What a runner does with a request. Returns whether the connection is kept.
pub type Handler = dyn Fn(&Runner, &mut Connection, &Head) -> bool + Send + Sync;

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds.
    born: Arc<AtomicU64>,
    slots: u32,
    is_registered: Arc<AtomicBool>,
    is_down: Arc<AtomicBool>,
}

impl Runner {
    /// Starts a runner that writes its entry regularly.
    pub fn start(id: &str, slots: u32, store: &Store, handler: Arc<Handler>) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let runner = Runner {
            id: id.to_owned(),
            address,
            born: Arc::new(AtomicU64::new(unix_ms())),
            slots,
            is_registered: Arc::new(AtomicBool::new(true)),
            is_down: Arc::default(),
        };
        let server = runner.clone();
        thread::spawn(move || server.listen(listener, &handler));
        let (writer, store) = (runner.clone(), store.clone());
        writer.write(&store, 1);
        thread::spawn(move || {
            for number in 2.. {
                thread::sleep(BEAT);
                writer.write(&store, number);
            }
        });
        runner
    }

    /// Accepts connections. While the runner is down, its port is closed.
    fn listen(&self, listener: TcpListener, handler: &Arc<Handler>) {
        let mut listening = Some(listener);
        loop {
            if self.is_down() {
                listening = None;
                thread::sleep(POLL);
                continue;
            }
            let listener = match listening.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.address) {
                    Ok(listener) => listener,
                    Err(_) => continue,
                },
            };
            let _ = listener.set_nonblocking(true);
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                let (server, handler) = (self.clone(), handler.clone());
                thread::spawn(move || server.serve(&mut Connection::new(stream), &*handler));
            }
            listening = Some(listener);
            thread::sleep(POLL);
        }
    }

    fn write(&self, store: &Store, number: u64) {
        if !self.is_registered.load(Ordering::SeqCst) || self.is_down() {
            return;
        }
        let Runner { id, address, slots, .. } = self;
        let born = self.born.load(Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"pool\",\"addr\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{number},\
             \"born\":{born}}}"
        );
        store.put("servers", id, &entry);
    }

    // Not used by all cases.
    #[allow(dead_code)]
    /// Crashes the runner: its connections and its port are closed, and it is back after a time.
    pub fn crash(&self, time: Duration) {
        self.is_down.store(true, Ordering::SeqCst);
        thread::sleep(time);
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
    }

    /// Whether the runner has crashed and is not back.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    // Not used by all cases.
    #[allow(dead_code)]
    /// Waits for a time. Returns false if the runner crashes or the connection is closed meanwhile.
    pub fn work(&self, connection: &mut Connection, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if self.is_down() {
                return false;
            }
            if left.is_zero() {
                let _ = connection.stream.set_read_timeout(None);
                return true;
            }
            if connection.wait_for_close(left.min(POLL)) {
                return false;
            }
        }
    }

    fn serve(&self, connection: &mut Connection, handler: &Handler) {
        let born = self.born.load(Ordering::SeqCst);
        while let Ok(head) = connection.head() {
            let is_former = self.is_down() || self.born.load(Ordering::SeqCst) != born;
            if is_former || !has_long_body(&head) && connection.body(&head).is_err() {
                return;
            }
            let is_kept = match head.target() {
                "/report" => self.report(connection),
                _ => handler(self, connection, &head),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn report(&self, connection: &mut Connection) -> bool {
        let body = format!(
            "{{\"stage\":\"mixed\",\"models\":[],\"busy\":false,\"seq\":1,\"queued\":0,\
             \"active\":0,\"kv_used\":0,\"kv_total\":500000,\"handles\":0,\"born\":{}}}",
            self.born.load(Ordering::SeqCst)
        );
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.stream.write_all(text.as_bytes()).is_ok()
    }
}

fn has_long_body(head: &Head) -> bool {
    let size = head.field("content-length").and_then(|it| it.parse().ok());
    size.is_some_and(|it: usize| it >= LONG_BODY_BYTES)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |it| it.as_millis() as u64)
}

// Not used by all cases.
#[allow(dead_code)]
/// Sends a whole answer with the proof of the runner. Returns whether it was taken.
pub fn answer(connection: &mut Connection, head: &Head, status: &str, more: &str, body: &str) -> bool {
    let id = head.id();
    let text = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Seal: 1.2.3\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.stream.write_all(text.as_bytes()).is_ok()
}

// Not used by all cases.
#[allow(dead_code)]
/// Sends the head of a stream in chunks. Returns whether it was taken.
pub fn begin_stream(connection: &mut Connection, head: &Head) -> bool {
    let id = head.id();
    let text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.2.3\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.stream.write_all(text.as_bytes()).is_ok()
}

// Not used by all cases.
#[allow(dead_code)]
/// Sends a chunk; an empty one ends the body. Returns whether it was taken.
pub fn chunk(connection: &mut Connection, data: &str) -> bool {
    let text = format!("{:x}\r\n{data}\r\n", data.len());
    connection.stream.write_all(text.as_bytes()).is_ok()
}

// Not used by all cases.
#[allow(dead_code)]
/// Returns the number of the last event that the sender of a request has.
pub fn last_event(head: &Head) -> u64 {
    head.field("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0)
}
