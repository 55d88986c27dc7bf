//! Pool of connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use platform::exchange::configure_socket;
use platform::head;
use platform::report;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::admission::Target;
use crate::continuity::Continuities;
use crate::continuity::Link;
use crate::continuity::Place;
use crate::identity;
use crate::identity::Failure;
use crate::identity::Identity;
use crate::identity::UNHEARD;
use crate::transport::RequestBody;
use crate::transport::Transport;
use crate::transport::Upload;
use crate::watch;
use crate::watch::Watched;

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
/// Maximum number of bytes that the kernel holds for an endpoint beyond those in flight, so that
/// what it has taken of a request is soon received.
const MAX_UNSENT_BYTES: u32 = 64 * 1_024;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE: usize = 8;

/// How long a stream that begins waits until the process has said when it started.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// How long a stream waits that can't begin or go on otherwise. A process may be silent for a
/// second.
const BOUND_ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Time since a part of a response within which a process counts as answering.
const VERIFIABLE_TIME: Duration = Duration::from_secs(1);
/// Number of connections on which an endpoint is asked for its start, one after the other, until
/// it has answered on one that can be used.
const MAX_QUESTIONS: usize = 2;
/// Time since an endpoint has stated its start within which an answer without one doesn't come from
/// its process.
const STATING_TIME: Duration = Duration::from_secs(60);
/// Time within which the process that runs a request has also answered the question before it.
const CONTINUITY_TIME: Duration = Duration::from_millis(300);
/// Time for which an endpoint whose answer has ended the connection isn't asked again; longer than a
/// request waits.
const UNASKABLE_TIME: Duration = Duration::from_secs(5);

/// A connection to an endpoint. Closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    upload: Upload,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    _driver: Driver,
    place: Place,
    link: Link,
    /// When the process at the other end started, if it has stated that on this connection, in
    /// milliseconds since 1970.
    started_at_ms: Option<u64>,
    /// A time at which that process was still running, since its current response has begun.
    running_at: Option<Instant>,
    /// When a question was last answered without a start.
    unstated_at: Option<Instant>,
}

impl Connection {
    /// Sends a request and returns the response, whose body has not been read yet.
    ///
    /// The body ends in order only if the response is complete. One that breaks off ends with an
    /// error, also while the request is still being written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let request = request.map(|it| self.upload.begin(it));
        match self.sender.send_request(request).await {
            Ok(response) if head::has_class(response.status()) => Ok(response),
            Ok(response) => {
                spdlog::warn!("response has a status without a class", kv: {
                    endpoint = self.place.0.as_str(),
                    status = response.status().as_u16(),
                });
                Err(SendError::Broken)
            }
            Err(error) if error.is_canceled() => Err(SendError::Unsent),
            Err(_) => Err(SendError::Broken),
        }
    }

    /// Waits until the response was read and another request can be sent. Returns false if none
    /// can.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether a request can be sent at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the process at the other end has stated its start on this connection.
    pub fn has_stated(&self) -> bool {
        self.started_at_ms.is_some()
    }

    /// Records that a part of a response was received.
    pub fn touch(&self) {
        self.link.touch();
    }

    /// Records a time at which the process at the other end was still running, since its current
    /// response has begun.
    pub fn record_running(&mut self, at: Instant) {
        self.running_at = Some(at);
    }
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The connection had ended before a byte of the request went out.
    Unsent,
    /// The connection broke, or what came is no response. The request may have run.
    Broken,
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

/// Idle connections to all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    continuities: Continuities,
    /// Endpoints whose answers state no start and end the connection, until they are asked again.
    unaskable: Rc<RefCell<HashMap<String, Instant>>>,
    /// When the processes of endpoints last stated their start.
    stated: Rc<RefCell<HashMap<Place, Instant>>>,
    watched: Watched,
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
        let connection = handshake(open(address).await?, (id.to_owned(), address)).await?;
        // Connections whose end the kernel has received by now are noticed to have ended.
        yield_now().await;
        Ok(connection)
    }

    /// Records that the process at the other end has answered on a connection.
    pub fn record_answer(&self, connection: &Connection) {
        let now = Instant::now();
        if connection.unstated_at.is_some_and(|it| now <= it + CONTINUITY_TIME) {
            self.stated.borrow_mut().remove(&connection.place);
        }
        self.continuities.record_answer(&connection.place, &connection.link, None);
    }

    /// Returns what is known of the process at the other end of a connection.
    pub fn identity(&self, connection: &Connection) -> Identity {
        let known = self.continuities.find(&connection.place, &connection.link);
        Identity {
            started_at_ms: known.and_then(|(_, started_at_ms)| started_at_ms),
            heard_since: known.map(|(since, _)| since),
            running_at: connection.running_at,
        }
    }

    /// Returns what is known of the process that is answering on other connections to the same
    /// endpoint, if nothing was heard on this one. Its response will tell whether it is the same.
    pub fn identity_to_verify(&self, connection: &Connection) -> Option<Identity> {
        let Connection { place, link, .. } = connection;
        let heard_since = self.continuities.heard_since(place, VERIFIABLE_TIME);
        let is_verifiable = !link.has_answered() && heard_since.is_some();
        is_verifiable.then_some(Identity { heard_since, ..UNHEARD })
    }

    /// Reads the events with which an endpoint answers instead of a report, while it is watched.
    /// They show that its process goes on.
    pub(crate) async fn listen(&self, connection: &mut Connection) {
        let request = report::request(&connection.place.1.to_string());
        let response = timeout(SILENCE_TIMEOUT, connection.send(request)).await;
        let Ok(Ok(response)) = response else { return };
        if !response.status().is_success() || !report::is_stream(response.headers()) {
            return;
        }
        self.record_answer(connection);
        let mut body = response.into_body();
        while self.watched.is_due(&connection.place)
            && let Ok(Some(Ok(_))) = timeout(SILENCE_TIMEOUT, body.frame()).await
        {
            connection.touch();
        }
    }

    /// Returns the endpoints that are watched.
    pub(crate) fn watched(&self) -> &Watched {
        &self.watched
    }

    /// Returns a connection on which the process at the other end was asked when it started, or
    /// one on which nobody was if it hasn't answered on several connections. A request that may
    /// run only at one version doesn't go by an earlier answer.
    pub async fn identify(
        &self,
        mut connection: Connection,
        target: &Target,
    ) -> Result<Connection, String> {
        let is_bound = target.is_bound;
        self.watched.extend(&connection.place);
        let deadline = Instant::now() + if is_bound { BOUND_ANSWER_TIME } else { ANSWER_TIME };
        for _ in 0..MAX_QUESTIONS {
            let limit = deadline.saturating_duration_since(Instant::now());
            if limit.is_zero() || !self.must_ask(&connection, is_bound) {
                return Ok(connection);
            }
            self.ask(&mut connection, target.is_watchable, limit).await;
            if connection.is_ready() {
                return Ok(connection);
            }
            let (id, address) = connection.place.clone();
            // The end of a question that was given up says nothing about the process.
            drop(connection);
            connection = self.connect(&id, address).await?;
        }
        // Nothing was heard on this one.
        Ok(connection)
    }

    /// Asks again on a connection on which a request has waited, as another process may have taken
    /// over meanwhile. Returns whether the connection can be used.
    pub async fn ask_again(&self, connection: &mut Connection, target: &Target) -> bool {
        if self.must_ask(connection, target.is_bound) {
            self.ask(connection, target.is_watchable, BOUND_ANSWER_TIME).await;
        }
        connection.is_ready()
    }

    /// Whether a process has to be asked for its start on a connection. An answer without one may
    /// come from something before the endpoint, so that it counts only for what is sent next.
    fn must_ask(&self, connection: &Connection, is_bound: bool) -> bool {
        let Connection { place, link, started_at_ms, .. } = connection;
        let now = Instant::now();
        let is_unaskable = self.unaskable.borrow().get(&place.0).is_some_and(|it| now < *it);
        match is_bound {
            true => !(is_unaskable && link.has_answered()),
            false => !is_unaskable && (started_at_ms.is_none() || !link.has_answered()),
        }
    }

    async fn ask(&self, connection: &mut Connection, may_watch: bool, limit: Duration) {
        let asked_at = Instant::now();
        let Err(failure) = self.ask_within(connection, limit).await else { return };
        spdlog::info!("endpoint did not state its start", kv: {
            endpoint = connection.place.0.as_str(),
            cause = failure.name(),
            waited_ms = asked_at.elapsed().as_millis() as u64,
        });
        if may_watch {
            watch::watch(self, &connection.place);
        }
    }

    /// Asks the process at the other end of a connection when it started, and records its answer.
    pub(crate) async fn ask_within(
        &self,
        connection: &mut Connection,
        limit: Duration,
    ) -> Result<u64, Failure> {
        let (id, address) = connection.place.clone();
        let answer = identity::ask(connection, address, limit).await;
        let now = Instant::now();
        connection.unstated_at = (answer == Err(Failure::NotStated)).then_some(now);
        let Connection { place, link, .. } = &*connection;
        let mut stated = self.stated.borrow_mut();
        match answer {
            Ok(started_at_ms) => {
                self.continuities.record_answer(place, link, Some(started_at_ms));
                stated.insert(place.clone(), now);
            }
            Err(Failure::NotStated) => {
                // Something before the endpoint may have answered in place of its process.
                let is_of_process = stated.get(place).is_none_or(|it| now > *it + STATING_TIME);
                if !is_of_process || link.has_stated() {
                    link.end();
                }
                if is_of_process {
                    self.continuities.record_answer(place, link, None);
                }
                if !connection.is_ready() {
                    self.unaskable.borrow_mut().insert(id, Instant::now() + UNASKABLE_TIME);
                }
            }
            Err(Failure::Unanswered) => link.end(),
        }
        connection.started_at_ms = answer.ok();
        answer
    }

    /// Returns a connection whose response was read completely to the pool.
    /// `keep_alive` is the timeout stated by the endpoint.
    pub fn release(&self, id: &str, connection: Connection, keep_alive: Option<Duration>) {
        let lifetime = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |it| {
            it.mul_f64(KEEP_ALIVE_SHARE).min(DEFAULT_KEEP_ALIVE * 4)
        });
        // A request would wait until the rest of this one was written.
        let is_written = connection.upload.is_written();
        if lifetime.is_zero() || connection.is_closed() || !is_written {
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
            connections.retain(|it| now < it.expires_at && !it.connection.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
        self.continuities.remove_ended();
        self.unaskable.borrow_mut().retain(|_, it| now < *it);
        self.stated.borrow_mut().retain(|_, it| now <= *it + STATING_TIME);
    }

    fn take_idle(&self, id: &str, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        while let Some(Idle { mut connection, expires_at }) = connections.pop() {
            let is_current = connection.place.1 == address;
            if is_current && now < expires_at && connection.is_ready() {
                connection.is_reused = true;
                connection.running_at = None;
                return Some(connection);
            }
        }
        None
    }
}

/// Opens a connection that has nothing to do with others.
pub async fn connect(address: SocketAddr) -> Result<Connection, String> {
    handshake(open(address).await?, (String::new(), address)).await
}

async fn open(address: SocketAddr) -> Result<TcpStream, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("no connection within the timeout".to_owned()),
    };
    configure_socket(&stream, SILENCE_TIMEOUT);
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    Ok(stream)
}

async fn handshake(stream: TcpStream, place: Place) -> Result<Connection, String> {
    let upload = Upload::default();
    let transport = TokioIo::new(Transport::new(stream, upload.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(transport);
    let (sender, driver) = handshake.await.map_err(|it| it.to_string())?;
    let link = Link::default();
    let driven = link.clone();
    let task = spawn_local(async move {
        // An error also reaches the request that waits for the response.
        let _ = driver.await;
        driven.end();
    });
    let driver = Driver(task.abort_handle());
    Ok(Connection {
        sender,
        upload,
        is_reused: false,
        _driver: driver,
        place,
        link,
        started_at_ms: None,
        running_at: None,
        unstated_at: None,
    })
}
