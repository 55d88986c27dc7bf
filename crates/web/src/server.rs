//! A server that goes on accepting after an accept error and bounds the
//! requests that are open at once.
//!
//! `tiny_http` stops accepting at its first accept error and never again, so
//! each instance of it runs on a clone of this module's own listener and is
//! replaced when it fails. A failed instance still owns kept-alive
//! connections; its receiver goes on until they have idled out.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use crate::Error;
use crate::answer::Responder;
use crate::problem::Problem;
use crate::request;
use crate::request::Request;

/// Pause before a failed instance is replaced, so that a full descriptor
/// table makes no busy loop.
const REBUILD_PAUSE: Duration = Duration::from_millis(20);
/// Time between looks at the stop flag.
const POLL: Duration = Duration::from_millis(100);
/// Stack of a thread that serves one request, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Seconds after which a caller may try again when too much is open.
const BUSY_RETRY_S: u32 = 1;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest number of requests being served at once.
    pub open_requests: usize,
    /// Longest silence of a sender, and longest time to send a body.
    pub read_timeout: Duration,
}

/// Serves one request; runs on a thread of its own.
pub type Handler = Arc<dyn Fn(Request, Responder) + Send + Sync>;

/// A running server.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    limits: Limits,
    handler: Handler,
    open: AtomicUsize,
    stopped: AtomicBool,
}

impl Server {
    /// Listens on `address` (IP and port, port 0 for any) and serves.
    pub fn start(address: &str, limits: Limits, handler: Handler) -> Result<Server, Error> {
        let failed = |error: std::io::Error| Error::Bind {
            address: address.to_owned(),
            detail: error.to_string(),
        };
        let listener = TcpListener::bind(address).map_err(failed)?;
        // Accepted sockets inherit this limit on Linux.
        SockRef::from(&listener).set_read_timeout(Some(limits.read_timeout)).map_err(failed)?;
        SockRef::from(&listener).set_tcp_nodelay(true).map_err(failed)?;
        let local = listener.local_addr().map_err(failed)?;
        let shared = Arc::new(Shared {
            limits,
            handler,
            open: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let inner = Arc::clone(&shared);
        thread::spawn(move || supervise(&listener, &inner));
        Ok(Server { address: local, shared })
    }

    /// Requests being served now.
    pub fn open_requests(&self) -> usize {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Stops taking requests. Those being served go on.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
    }
}

fn supervise(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.stopped.load(Ordering::Acquire) {
        let clone = listener.try_clone();
        let built = clone.ok().and_then(|it| tiny_http::Server::from_listener(it, None).ok());
        let Some(instance) = built else {
            thread::sleep(REBUILD_PAUSE);
            continue;
        };
        receive_until_failure(&instance, shared);
        let shared = Arc::clone(shared);
        thread::spawn(move || linger(&instance, &shared));
        thread::sleep(REBUILD_PAUSE);
    }
}

fn receive_until_failure(instance: &tiny_http::Server, shared: &Arc<Shared>) {
    while !shared.stopped.load(Ordering::Acquire) {
        match instance.recv_timeout(POLL) {
            Ok(Some(raw)) => dispatch(raw, shared),
            Ok(None) => {}
            Err(_) => return,
        }
    }
}

/// Serves the connections that a failed instance still owns.
fn linger(instance: &tiny_http::Server, shared: &Arc<Shared>) {
    let idle_limit = shared.limits.read_timeout * 2;
    let mut last_request = Instant::now();
    while last_request.elapsed() < idle_limit || shared.open.load(Ordering::Acquire) > 0 {
        if let Ok(Some(raw)) = instance.recv_timeout(POLL) {
            last_request = Instant::now();
            dispatch(raw, shared);
        }
    }
}

fn dispatch(raw: tiny_http::Request, shared: &Arc<Shared>) {
    let open = shared.open.fetch_add(1, Ordering::AcqRel) + 1;
    let guard = Open { shared: Arc::clone(shared) };
    if open > shared.limits.open_requests {
        let detail = "too many requests are open; come back after Retry-After";
        let problem = Problem::not_run(503, "busy", detail).retry_after(BUSY_RETRY_S);
        let _ = Responder::new(raw.into_writer()).send_problem(&problem);
        return;
    }
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    let _ = builder.spawn(move || serve(raw, &guard));
}

fn serve(mut raw: tiny_http::Request, guard: &Open) {
    let limits = guard.shared.limits;
    let read = request::read(&mut raw, limits.body_bytes, limits.read_timeout);
    let responder = Responder::new(raw.into_writer());
    match read {
        Ok(request) => (guard.shared.handler)(request, responder),
        Err(problem) => {
            let _ = responder.send_problem(&problem);
        }
    }
}

/// Counts a request as open until dropped.
struct Open {
    shared: Arc<Shared>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}
