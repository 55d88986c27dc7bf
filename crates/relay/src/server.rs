//! Accepts callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use route::config::Limits;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::admission::Message;
use crate::admission::Refusal;
use crate::admission::Ticket;
use crate::budget::Budget;
use crate::connection::Pool;
use crate::exchange::Cause;
use crate::exchange::Exchanges;
use crate::exchange::Progress;
use crate::exchange::Stage;
use crate::open::Connections;
use crate::serve::serve;
use crate::socket::Socket;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, for example when the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long after a response its connection may wait for the caller to close it.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// How long a connection that is about to be reset stays open, so that its caller receives what
/// was written.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of bytes that the kernel holds for a caller beyond those in flight,
/// so that what it has taken is soon received.
const MAX_UNSENT_BYTES: u32 = 64 * 1_024;
/// Minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Refusal of a request while the daemon stops. Another daemon can serve it at once.
pub const STOPPING: Refusal =
    Refusal { status: 503, retry_after: Some(Duration::from_millis(100)) };

/// Refusal of a request whose body does not fit into the memory that is left. Others may end
/// soon, and other daemons have memory of their own.
pub const SHORT_OF_MEMORY: Refusal =
    Refusal { status: 503, retry_after: Some(Duration::from_millis(500)) };

/// Phase of the daemon's shutdown, which determines how callers' connections are
/// handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Connections are kept alive.
    #[default]
    Serving,
    /// Each response closes its connection.
    Closing,
    /// Idle connections are closed as well.
    Closed,
    /// The daemon is about to exit: no further connection is accepted, and requests that
    /// were not received completely are refused.
    Ending,
}

/// State shared by the tasks of callers' connections.
#[derive(Clone, Debug)]
pub struct Server {
    messages: UnboundedSender<Message>,
    pool: Pool,
    limits: Rc<Cell<Limits>>,
    phase: watch::Receiver<Phase>,
    exchanges: Exchanges,
    budget: Budget,
    connections: Connections,
}

impl Server {
    /// Creates a server whose requests send their messages to `messages`.
    pub fn new(
        messages: UnboundedSender<Message>,
        limits: Rc<Cell<Limits>>,
        phase: watch::Receiver<Phase>,
        exchanges: Exchanges,
        budget: Budget,
        connections: Connections,
    ) -> Server {
        let pool = Pool::default();
        Server { messages, pool, limits, phase, exchanges, budget, connections }
    }

    /// Returns the connections to endpoints.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.limits.get()
    }

    /// Returns the bytes that bodies may use.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Whether responses close their connections.
    pub fn is_closing(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Waits until the daemon is about to exit.
    pub async fn ending(&self) {
        // The sender lives as long as the daemon.
        let _ = self.phase.clone().wait_for(|it| *it >= Phase::Ending).await;
    }

    /// Sends a message to the broker.
    pub fn send(&self, message: Message) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(message);
    }

    /// Creates the guard of an admitted request.
    pub fn ticket(&self, number: u64) -> Ticket {
        Ticket::new(number, self.messages.clone())
    }

    /// Accepts connections until the daemon is about to exit, including those that the
    /// kernel has established by then. Later ones are refused by the kernel.
    pub async fn run(self, listener: TcpListener) {
        let ending = self.ending();
        tokio::pin!(ending);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut ending => break,
            };
            self.spawn(accepted).await;
        }
        // The runtime polls the socket once more.
        yield_now().await;
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = std::future::ready(()) => return,
            };
            self.spawn(accepted).await;
        }
    }

    async fn spawn(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) if self.connections.make_room(Instant::now()) => {
                let progress = Progress::new(&self.exchanges, &self.messages);
                let weak = Rc::downgrade(&progress);
                let serving = serve_connection(self.clone(), stream, progress);
                self.connections.add(weak, spawn_local(serving).abort_handle(), Instant::now());
            }
            // The caller may come back when others have left.
            Ok(_) => {}
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { cause = error.to_string() });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Listens on an address. The address can be bound again immediately after a
/// restart.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve_connection(server: Server, stream: TcpStream, progress: Rc<Progress>) {
    // Latency of small events matters more than the number of packets.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let limits = server.limits();
    let mut phase = server.phase.clone();
    let service_progress = progress.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (server, progress) = (server.clone(), service_progress.clone());
        async move { Ok::<_, Infallible>(serve(server, request, progress).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library measures this timeout from the end of the previous response.
        .header_read_timeout(limits.idle())
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let socket = Socket::new(stream, progress.clone());
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    let closed = phase.wait_for(|it| *it >= Phase::Closed);
    let ended = tokio::select! {
        // Bytes that have arrived begin an exchange, which is completed.
        biased;
        ended = &mut connection => Some(ended),
        _ = closed => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            poll_fn(|cx| {
                let ended = Pin::new(&mut connection).poll(cx);
                if ended.is_pending() && is_unused(&progress) {
                    Pin::new(&mut connection).graceful_shutdown();
                    return Pin::new(&mut connection).poll(cx);
                }
                ended
            })
            .await
        }
    };
    progress.set_cause(cause(&ended));
    linger(connection.into_parts().io.into_inner(), &progress).await;
}

/// Closes a connection for writing and keeps it until the caller has closed it as well.
/// Closing it while bytes from the caller are unread would reset the connection, which
/// discards the end of a response that the caller has not received.
async fn linger(mut socket: Socket, progress: &Progress) {
    if progress.must_reset() {
        let _ = timeout(RESET_DELAY, socket.discard()).await;
        return;
    }
    let Some(sent_at) = progress.sent_at() else { return };
    if matches!(progress.stage(), Stage::Running | Stage::Sending) {
        // The caller has disconnected, or the response must not look complete.
        return;
    }
    progress.close();
    // The library has closed it already, unless the connection ended with an error.
    let _ = socket.shutdown().await;
    // The caller may keep the connection open for as long as it likes.
    let _ = timeout_at(sent_at + LINGER_TIME, socket.discard()).await;
}

/// Whether no request is in progress on a connection that has carried one. On a connection
/// without one, the caller is about to send its first request, whose response closes it.
fn is_unused(progress: &Progress) -> bool {
    progress.stage() == Stage::Idle && progress.sent_at().is_some()
}

/// Returns the cause of the end of a connection, in case an exchange was in progress.
fn cause(ended: &hyper::Result<()>) -> Cause {
    match ended {
        Err(error) if error.is_user() => Cause::Aborted,
        Ok(()) | Err(_) => Cause::Caller,
    }
}
