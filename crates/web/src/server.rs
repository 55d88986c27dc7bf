//! An HTTP server with limits on connections, open requests and slow callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::Error;
use crate::body::Content;
use crate::body::ResponseBody;
use crate::closing;
use crate::connection;
use crate::ending::Ending;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::request;
use crate::request::Request;
use crate::response::Responder;

/// Delay after a failed accept. Without it, running out of file descriptors causes a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Stack size of a thread that serves one request, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Value of `Retry-After` in seconds when the server is at a limit.
pub(crate) const BUSY_RETRY_S: u32 = 1;
/// Maximum number of rejected connections that wait for their callers to read the rejection.
const MAX_REJECTED: usize = 64;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of requests served concurrently.
    pub open_requests: usize,
    /// Maximum number of connections, including idle ones.
    pub connections: usize,
    /// Timeout for receiving a request head, for receiving a body, and between requests.
    pub read_timeout: Duration,
    /// Timeout for a caller that reads nothing of its response.
    pub write_timeout: Duration,
}

/// The future that serves one request.
pub type Task = Pin<Box<dyn Future<Output = ()> + Send>>;
/// Serves one request as a task. It must not block.
pub type Handler = Arc<dyn Fn(Request, Responder) -> Task + Send + Sync>;
/// Serves one request on a dedicated thread.
pub type BlockingHandler = Arc<dyn Fn(Request, Responder) + Send + Sync>;

/// A running server.
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
}

/// Work in progress on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Number of open connections, including those whose callers have not received the end of the
    /// last response.
    pub connections: usize,
    /// Number of requests that are being received or served.
    pub requests: usize,
    /// Bytes of responses that are buffered because their callers don't read them.
    pub unsent_bytes: usize,
}

/// Phase of a server's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Connections are kept alive.
    Serving,
    /// Each response closes its connection.
    Closing,
    /// Idle connections are closed as well, and no new ones are accepted.
    Stopped,
}

/// State shared by the tasks of all connections.
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    handler: Handler,
    open_requests: Arc<AtomicUsize>,
    unsent_bytes: Arc<AtomicUsize>,
    connections: Arc<Semaphore>,
    rejected: Arc<Semaphore>,
    accepting: AtomicBool,
    phase: watch::Receiver<Phase>,
}

impl Server {
    /// Listens on `address` and serves each request on a dedicated thread.
    ///
    /// The address is an IP address and a port, where port 0 selects a free one. Fails if the
    /// address can't be bound.
    pub fn start(address: &str, limits: Limits, handler: BlockingHandler) -> Result<Server, Error> {
        let on_thread = move |request, responder| -> Task {
            let handler = Arc::clone(&handler);
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            // If the thread can't be spawned, the responder is dropped and the caller gets the
            // response for interrupted requests.
            let _ = builder.spawn(move || handler(request, responder));
            Box::pin(async {})
        };
        Server::start_async(address, limits, Arc::new(on_thread))
    }

    /// Listens on `address` and serves all requests as tasks on one thread.
    ///
    /// Fails if the address can't be bound.
    pub fn start_async(address: &str, limits: Limits, handler: Handler) -> Result<Server, Error> {
        let bind_error = |error: std::io::Error| Error::Bind {
            address: address.to_owned(),
            detail: error.to_string(),
        };
        let listener = TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let local_address = listener.local_addr().map_err(bind_error)?;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(bind_error)?;
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let shared = Arc::new(Shared {
            limits,
            handler,
            open_requests: Arc::default(),
            unsent_bytes: Arc::default(),
            connections: Arc::new(Semaphore::new(limits.connections)),
            rejected: Arc::new(Semaphore::new(MAX_REJECTED)),
            accepting: AtomicBool::new(true),
            phase: phase_receiver,
        });
        let accepting = accept(listener, Arc::clone(&shared));
        thread::spawn(move || runtime.block_on(accepting));
        Ok(Server { address: local_address, shared, phase })
    }

    /// Returns the number of requests currently being served.
    pub fn open_requests(&self) -> usize {
        self.shared.open_requests.load(Ordering::Acquire)
    }

    /// Returns the shared counter of requests currently being served.
    pub fn open_counter(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.shared.open_requests)
    }

    /// Returns the work in progress.
    pub fn progress(&self) -> Progress {
        let shared = &self.shared;
        Progress {
            connections: shared.limits.connections - shared.connections.available_permits(),
            requests: shared.open_requests.load(Ordering::Acquire),
            unsent_bytes: shared.unsent_bytes.load(Ordering::Acquire),
        }
    }

    /// Whether the server has stopped and all its connections are closed.
    pub fn is_closed(&self) -> bool {
        !self.shared.accepting.load(Ordering::Acquire) && self.progress().connections == 0
    }

    /// Closes each connection after its next response, which announces it.
    pub fn close_connections(&self) {
        self.phase.send_if_modified(|phase| {
            let is_serving = *phase == Phase::Serving;
            if is_serving {
                *phase = Phase::Closing;
            }
            is_serving
        });
    }

    /// Stops accepting connections, and requests on existing connections.
    ///
    /// Requests already being received or served run to completion. A request that arrives on an
    /// idle connection at this moment is rejected.
    pub fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let mut phase = shared.phase.clone();
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => admit(socket, &shared),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = phase.wait_for(|it| *it == Phase::Stopped) => {}
    }
    // Callers that are connected already get an answer instead of a reset.
    if let Ok(listener) = listener.into_std() {
        while let Ok((socket, _)) = listener.accept() {
            let _ = socket.set_nonblocking(true);
            if let Ok(socket) = TcpStream::from_std(socket) {
                admit(socket, &shared);
            }
        }
    }
    shared.accepting.store(false, Ordering::Release);
    // The future never completes, because returning would end the runtime and the requests still
    // being served.
    std::future::pending::<()>().await;
}

/// Serves a connection, or rejects it if there are too many.
fn admit(socket: TcpStream, shared: &Arc<Shared>) {
    let limit = shared.limits.write_timeout;
    if let Ok(permit) = Arc::clone(&shared.connections).try_acquire_owned() {
        let serving = connection::serve(socket, Arc::clone(shared), shared.phase.clone());
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
        return;
    }
    let problem = busy("too many connections are open; come back after Retry-After");
    connection::send_rejection(&socket, &problem);
    if let Ok(permit) = Arc::clone(&shared.rejected).try_acquire_owned() {
        tokio::spawn(async move {
            closing::close(socket, limit).await;
            drop(permit);
        });
    }
}

/// Serves one request.
pub(crate) async fn respond(
    raw: hyper::Request<Incoming>,
    ending: Arc<Ending>,
    shared: Arc<Shared>,
) -> Result<Response<ResponseBody>, Infallible> {
    let limits = shared.limits;
    let version = raw.version();
    let open = OpenRequest::new(&shared);
    let (sender, receiver) = oneshot::channel();
    let responder = Responder::new(sender, limits.write_timeout);
    if open.count > limits.open_requests {
        let problem = busy("too many requests are open; come back after Retry-After");
        let _ = responder.send_problem(&problem);
    } else {
        match request::read(raw, limits.body_bytes, limits.read_timeout).await {
            Ok(request) => {
                tokio::spawn((shared.handler)(request, responder));
            }
            Err(problem) => {
                let _ = responder.send_problem(&problem);
            }
        }
    }
    let response = match receiver.await {
        Ok(response) => response,
        Err(_) => interrupted(limits.write_timeout).await,
    };
    if version < Version::HTTP_11 && matches!(response.body(), Content::Stream(_)) {
        // Earlier versions have no chunks.
        ending.begin_undelimited();
    }
    let mut response = response.map(|content| ResponseBody::new(content, ending, open));
    if *shared.phase.borrow() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Returns the response to a request whose handler ended without sending one.
async fn interrupted(write_timeout: Duration) -> Response<Content> {
    let (sender, receiver) = oneshot::channel();
    let detail = "the request was given up; ask again with the same Idempotency-Key";
    let problem = Problem::new(500, "interrupted", detail, Outcome::Unknown);
    let _ = Responder::new(sender, write_timeout).send_problem(&problem);
    receiver.await.unwrap_or_else(|_| Response::new(Content::Full(bytes::Bytes::new())))
}

fn busy(detail: &str) -> Problem {
    Problem::not_run(503, "busy", detail).retry_after(BUSY_RETRY_S)
}

/// Counts a request as open until dropped.
pub(crate) struct OpenRequest {
    count: usize,
    shared: Arc<Shared>,
}

impl OpenRequest {
    fn new(shared: &Arc<Shared>) -> OpenRequest {
        let count = shared.open_requests.fetch_add(1, Ordering::AcqRel) + 1;
        OpenRequest { count, shared: Arc::clone(shared) }
    }

    /// Counts bytes of the response as unsent.
    pub(crate) fn add_unsent(&self, bytes: usize) {
        self.shared.unsent_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Counts bytes of the response as sent or given up.
    pub(crate) fn remove_unsent(&self, bytes: usize) {
        self.shared.unsent_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
