//! Listens for callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use route::config::Limits;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::ask::Ask;
use crate::ask::Ticket;
use crate::links::Links;
use crate::serve::serve;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted, as when descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least buffer for a request head that the HTTP library takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8_192;

/// Which part of its end a daemon has come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept.
    #[default]
    Serving,
    /// Each answer closes its connection.
    Closing,
    /// Idle connections are closed too.
    Closed,
}

/// What the tasks of callers' connections share.
#[derive(Clone, Debug)]
pub struct Server {
    asks: UnboundedSender<Ask>,
    links: Links,
    limits: Rc<Cell<Limits>>,
    phase: watch::Receiver<Phase>,
}

impl Server {
    /// A server whose requests ask there.
    pub fn new(
        asks: UnboundedSender<Ask>,
        limits: Rc<Cell<Limits>>,
        phase: watch::Receiver<Phase>,
    ) -> Server {
        Server { asks, links: Links::default(), limits, phase }
    }

    /// Connections to endpoints.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> Limits {
        self.limits.get()
    }

    /// Whether answers close their connections.
    pub fn is_closing(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Asks for a decision, or tells something.
    pub fn ask(&self, ask: Ask) {
        // Without a receiver the daemon is about to end.
        let _ = self.asks.send(ask);
    }

    /// The claim of a request that was admitted.
    pub fn ticket(&self, number: u64) -> Ticket {
        Ticket::new(number, self.asks.clone())
    }

    /// Accepts connections for as long as the daemon runs.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(connection(self.clone(), stream))),
                Err(error) => {
                    spdlog::warn!("connection not accepted", kv: { cause = error.to_string() });
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Listens on an address; again at once after a restart.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn connection(server: Server, stream: TcpStream) {
    // Latency of small events matters more than the count of packets.
    let _ = stream.set_nodelay(true);
    let limits = server.limits();
    let mut phase = server.phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let server = server.clone();
        async move { Ok::<_, Infallible>(serve(server, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts the time of a head from the end of the last answer.
        .header_read_timeout(limits.idle())
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closed = phase.wait_for(|it| *it == Phase::Closed);
    tokio::select! {
        // How a caller's connection ends is told by its requests.
        _ = connection.as_mut() => return,
        _ = closed => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
