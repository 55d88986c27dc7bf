//! A server that bounds connections, requests and the time that callers take.

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
use crate::answer::Responder;
use crate::body::AnswerBody;
use crate::body::Content;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::request;
use crate::request::Request;

/// Pause after an accept error, so that a full descriptor table makes no busy
/// loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest head of a request, in bytes.
const HEAD_BYTES: usize = 32 * 1024;
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
    /// Largest number of connections, idle ones included.
    pub connections: usize,
    /// Longest time to send a head, to send a body, and between requests.
    pub read_timeout: Duration,
    /// Longest time for which a caller may take nothing of its answer.
    pub write_timeout: Duration,
}

/// Work on a request.
pub type Task = Pin<Box<dyn Future<Output = ()> + Send>>;
/// Serves one request as a task; must not block.
pub type Handler = Arc<dyn Fn(Request, Responder) -> Task + Send + Sync>;
/// Serves one request on a thread of its own.
pub type BlockingHandler = Arc<dyn Fn(Request, Responder) + Send + Sync>;

/// A running server.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
}

struct Shared {
    limits: Limits,
    handler: Handler,
    open: Arc<AtomicUsize>,
    connections: Arc<Semaphore>,
}

impl Server {
    /// Listens on `address` (IP and port, port 0 for any) and serves each
    /// request on a thread of its own.
    pub fn start(address: &str, limits: Limits, handler: BlockingHandler) -> Result<Server, Error> {
        let on_thread = move |request, responder| -> Task {
            let handler = Arc::clone(&handler);
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            // Without a thread the responder is dropped, which answers the caller.
            let _ = builder.spawn(move || handler(request, responder));
            Box::pin(async {})
        };
        Server::start_tasks(address, limits, Arc::new(on_thread))
    }

    /// Listens on `address` and serves requests as tasks of one thread.
    pub fn start_tasks(address: &str, limits: Limits, handler: Handler) -> Result<Server, Error> {
        let failed = |error: std::io::Error| Error::Bind {
            address: address.to_owned(),
            detail: error.to_string(),
        };
        let listener = TcpListener::bind(address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let local = listener.local_addr().map_err(failed)?;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let open = Arc::new(AtomicUsize::new(0));
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(Shared {
            limits,
            handler,
            open: Arc::clone(&open),
            connections: Arc::new(Semaphore::new(limits.connections)),
        });
        thread::spawn(move || runtime.block_on(accept(listener, shared, stopped)));
        Ok(Server { address: local, open, stop })
    }

    /// Requests being served now.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Counter of the requests being served.
    pub fn open_counter(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Takes no more connections and no more requests on those that are
    /// open. Requests being served go on.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let told = stopped.clone();
    let accepting = async {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(place) = Arc::clone(&shared.connections).try_acquire_owned() else {
                refuse(&socket);
                continue;
            };
            let socket_ref = SockRef::from(&socket);
            let _ = socket_ref.set_tcp_nodelay(true);
            let _ = socket_ref.set_tcp_user_timeout(Some(shared.limits.write_timeout));
            tokio::spawn(connect(socket, Arc::clone(&shared), told.clone(), place));
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = stopped.wait_for(|it| *it) => {}
    }
    // Connections take no more requests by now; those being served go on.
    drop(listener);
    std::future::pending::<()>().await;
}

async fn connect(
    socket: TcpStream,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
    _place: OwnedSemaphorePermit,
) {
    let limits = shared.limits;
    let service = service_fn(move |raw| answer(raw, Arc::clone(&shared)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|it| *it) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Tells a caller that there is no place for its connection, if the socket
/// takes the words at once.
fn refuse(socket: &TcpStream) {
    let problem = busy("too many connections are open; come back after Retry-After");
    let body = serde_json::to_string(&problem).unwrap_or_default();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n\
         Retry-After: {BUSY_RETRY_S}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    let _ = socket.try_write(format!("{head}{body}").as_bytes());
}

async fn answer(
    raw: hyper::Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<AnswerBody>, Infallible> {
    let limits = shared.limits;
    let open = Open::new(&shared.open);
    let (sender, answered) = oneshot::channel();
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
    let response = match answered.await {
        Ok(response) => response,
        Err(_) => dropped(limits.write_timeout).await,
    };
    Ok(response.map(|content| AnswerBody::new(content, open)))
}

/// Answer to a request whose handler ended without a word.
async fn dropped(write_timeout: Duration) -> Response<Content> {
    let (sender, answered) = oneshot::channel();
    let detail = "the request was given up; ask again with the same Idempotency-Key";
    let problem = Problem::new(500, "interrupted", detail, Outcome::Unknown);
    let _ = Responder::new(sender, write_timeout).send_problem(&problem);
    answered.await.unwrap_or_else(|_| Response::new(Content::Whole(bytes::Bytes::new())))
}

fn busy(detail: &str) -> Problem {
    Problem::not_run(503, "busy", detail).retry_after(BUSY_RETRY_S)
}

/// Counts a request as open until dropped.
pub(crate) struct Open {
    count: usize,
    open: Arc<AtomicUsize>,
}

impl Open {
    fn new(open: &Arc<AtomicUsize>) -> Open {
        let count = open.fetch_add(1, Ordering::AcqRel) + 1;
        Open { count, open: Arc::clone(open) }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
