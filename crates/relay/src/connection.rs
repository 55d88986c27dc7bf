//! Pool of connections to endpoints.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use platform::exchange::configure_socket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::identity;
use crate::identity::Failure;
use crate::identity::Identity;

/// Connect timeout. Endpoints accept within a few milliseconds, and a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence after which a connection to an endpoint is treated as dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time after which a connection is not reused if the endpoint states no
/// keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(1_000);
/// Share of a stated keep-alive timeout after which a connection expires. The
/// remainder is a margin for clock differences and network latency.
const KEEP_ALIVE_SHARE: f64 = 0.5;
/// Maximum size of a response's head, and of the bytes of a connection that are read ahead.
const MAX_BUFFER_BYTES: usize = 64 * 1_024;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE: usize = 8;

/// Number of connections on which an endpoint is asked for its start, one after the other, until
/// it has answered on one that can be used.
const MAX_QUESTIONS: usize = 2;
/// Time for which an endpoint that has stated no start isn't asked for it again.
const UNSTATED_TIME: Duration = Duration::from_secs(3);

/// A connection to an endpoint. Closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Request half of the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    _driver: Driver,
    continuity: Rc<Continuity>,
    /// When the process at the other end started, if it has stated that on this connection, in
    /// milliseconds since 1970.
    started_at_ms: Option<u64>,
}

impl Connection {
    /// Returns what is known of the process at the other end.
    pub fn identity(&self) -> Identity {
        Identity { started_at_ms: self.started_at_ms, since: self.continuity.since }
    }
}

/// A time in which some connection to an endpoint was open. Connections that are opened in it
/// lead to the same process as the earlier ones.
#[derive(Debug)]
struct Continuity {
    address: SocketAddr,
    since: Instant,
    /// Whether the endpoint has closed or reset a connection, as at the end of its process.
    has_ended: Cell<bool>,
}

impl Continuity {
    fn begin(address: SocketAddr) -> Rc<Continuity> {
        Rc::new(Continuity { address, since: Instant::now(), has_ended: Cell::new(false) })
    }
}

/// Handle of the task that drives a connection. Aborts the task when dropped.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// Identity and address of an endpoint.
type Place = (String, SocketAddr);

/// Idle connections to all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    continuities: Rc<RefCell<HashMap<Place, Weak<Continuity>>>>,
    /// Endpoints that have stated no start, until they are asked again.
    unstated: Rc<RefCell<HashMap<String, Instant>>>,
}

impl Pool {
    /// Returns the most recently used idle connection to the endpoint, or opens
    /// a new one.
    pub async fn acquire(&self, id: &str, address: SocketAddr) -> Result<Connection, String> {
        if let Some(connection) = self.take_idle(id, address) {
            return Ok(connection);
        }
        self.connect(id, address).await
    }

    /// Opens a new connection to the endpoint.
    pub async fn connect(&self, id: &str, address: SocketAddr) -> Result<Connection, String> {
        let stream = open(address).await?;
        // Connections whose end the kernel has received by now are noticed to have ended.
        yield_now().await;
        let place = (id.to_owned(), address);
        let known = self.continuities.borrow().get(&place).and_then(Weak::upgrade);
        let known = known.filter(|it| !it.has_ended.get());
        let continuity = known.unwrap_or_else(|| Continuity::begin(address));
        self.continuities.borrow_mut().insert(place, Rc::downgrade(&continuity));
        handshake(stream, continuity).await
    }

    /// Returns a connection on which the process at the other end has stated when it started,
    /// unless the endpoint doesn't state that, or hasn't on several connections.
    pub async fn identify(
        &self,
        mut connection: Connection,
        id: &str,
        address: SocketAddr,
    ) -> Result<Connection, String> {
        for _ in 0..MAX_QUESTIONS {
            let now = Instant::now();
            let is_unstated = self.unstated.borrow().get(id).is_some_and(|it| now < *it);
            if connection.started_at_ms.is_some() || is_unstated {
                return Ok(connection);
            }
            match identity::ask(&mut connection, address).await {
                Ok(started_at_ms) => connection.started_at_ms = Some(started_at_ms),
                Err(failure) => {
                    spdlog::info!("endpoint did not state its start", kv: {
                        endpoint = id,
                        cause:? = failure,
                        waited_ms = now.elapsed().as_millis() as u64,
                    });
                    if failure == Failure::NotStated {
                        let until = Instant::now() + UNSTATED_TIME;
                        self.unstated.borrow_mut().insert(id.to_owned(), until);
                    }
                }
            }
            if connection.sender.is_ready() {
                return Ok(connection);
            }
            connection = self.connect(id, address).await?;
        }
        Ok(connection)
    }

    /// Returns a connection whose response was read completely to the pool.
    /// `keep_alive` is the timeout stated by the endpoint.
    pub fn release(&self, id: &str, connection: Connection, keep_alive: Option<Duration>) {
        let lifetime = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |it| {
            it.mul_f64(KEEP_ALIVE_SHARE).min(DEFAULT_KEEP_ALIVE * 4)
        });
        if lifetime.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.to_owned()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, expires_at: Instant::now() + lifetime });
        }
    }

    /// Closes expired idle connections.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| now < it.expires_at && !it.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
        self.continuities.borrow_mut().retain(|_, it| it.strong_count() > 0);
        self.unstated.borrow_mut().retain(|_, it| now < *it);
    }

    fn take_idle(&self, id: &str, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        while let Some(Idle { mut connection, expires_at }) = connections.pop() {
            let is_current = connection.continuity.address == address;
            if is_current && now < expires_at && connection.sender.is_ready() {
                connection.is_reused = true;
                return Some(connection);
            }
        }
        None
    }
}

/// Opens a connection that has nothing to do with others.
pub async fn connect(address: SocketAddr) -> Result<Connection, String> {
    handshake(open(address).await?, Continuity::begin(address)).await
}

async fn open(address: SocketAddr) -> Result<TcpStream, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("no connection within the timeout".to_owned()),
    };
    configure_socket(&stream, SILENCE_TIMEOUT);
    Ok(stream)
}

async fn handshake(stream: TcpStream, continuity: Rc<Continuity>) -> Result<Connection, String> {
    let handshake =
        http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (sender, driver) = handshake.await.map_err(|it| it.to_string())?;
    let driven = Rc::clone(&continuity);
    let task = spawn_local(async move {
        // An error also reaches the request that waits for the response.
        let _ = driver.await;
        driven.has_ended.set(true);
    });
    let driver = Driver(task.abort_handle());
    Ok(Connection { sender, is_reused: false, _driver: driver, continuity, started_at_ms: None })
}
