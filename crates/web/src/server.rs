//! An HTTP server with limits on connections, open requests and slow callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::Error;
use crate::body::Content;
use crate::body::ResponseBody;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::request;
use crate::request::Request;
use crate::response::Responder;

/// Delay after a failed accept. Without it, running out of file descriptors causes a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Stack size of a thread that serves one request, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Value of `Retry-After` in seconds when the server is at a limit.
const BUSY_RETRY_S: u32 = 1;

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
    open_requests: Arc<AtomicUsize>,
    shutdown: watch::Sender<bool>,
}

struct Shared {
    limits: Limits,
    handler: Handler,
    open_requests: Arc<AtomicUsize>,
    connections: Arc<Semaphore>,
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
        let open_requests = Arc::new(AtomicUsize::new(0));
        let (shutdown, shutdown_receiver) = watch::channel(false);
        let shared = Arc::new(Shared {
            limits,
            handler,
            open_requests: Arc::clone(&open_requests),
            connections: Arc::new(Semaphore::new(limits.connections)),
        });
        thread::spawn(move || runtime.block_on(accept(listener, shared, shutdown_receiver)));
        Ok(Server { address: local_address, open_requests, shutdown })
    }

    /// Returns the number of requests currently being served.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Returns the shared counter of requests currently being served.
    pub fn open_counter(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open_requests)
    }

    /// Stops accepting connections, and requests on existing connections.
    ///
    /// Requests already being served run to completion.
    pub fn stop(&self) {
        let _ = self.shutdown.send(true);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut shutdown: watch::Receiver<bool>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let connection_shutdown = shutdown.clone();
    let accepting = async {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&shared.connections).try_acquire_owned() else {
                reject(&socket);
                continue;
            };
            let socket_ref = SockRef::from(&socket);
            let _ = socket_ref.set_tcp_nodelay(true);
            let _ = socket_ref.set_tcp_user_timeout(Some(shared.limits.write_timeout));
            tokio::spawn(serve_connection(
                socket,
                Arc::clone(&shared),
                connection_shutdown.clone(),
                permit,
            ));
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = shutdown.wait_for(|it| *it) => {}
    }
    // Connections accept no new requests from here on. The future never completes, because
    // returning would end the runtime and the requests still being served.
    drop(listener);
    std::future::pending::<()>().await;
}

async fn serve_connection(
    socket: TcpStream,
    shared: Arc<Shared>,
    mut shutdown: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    let limits = shared.limits;
    let service = service_fn(move |raw| respond(raw, Arc::clone(&shared)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = shutdown.wait_for(|it| *it) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Rejects a connection over the limit with a 503, if the socket accepts the bytes without
/// blocking.
fn reject(socket: &TcpStream) {
    let problem = busy("too many connections are open; come back after Retry-After");
    let body = serde_json::to_string(&problem).unwrap_or_default();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n\
         Retry-After: {BUSY_RETRY_S}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    let _ = socket.try_write(format!("{head}{body}").as_bytes());
}

async fn respond(
    raw: hyper::Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<ResponseBody>, Infallible> {
    let limits = shared.limits;
    let open = OpenRequest::new(&shared.open_requests);
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
    Ok(response.map(|content| ResponseBody::new(content, open)))
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
    counter: Arc<AtomicUsize>,
}

impl OpenRequest {
    fn new(counter: &Arc<AtomicUsize>) -> OpenRequest {
        let count = counter.fetch_add(1, Ordering::AcqRel) + 1;
        OpenRequest { count, counter: Arc::clone(counter) }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::AcqRel);
    }
}
