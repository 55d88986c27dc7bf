//! Connections to and from peers, monitored by PING frames.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use h2::PingPong;
use h2::client::SendRequest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::authentication;
use crate::stream;
use crate::stream::Incoming;
use crate::transport::Sink;
use crate::watch::Activity;
use crate::watch::Cause;
use crate::watch::OpenStream;
use crate::watch::Schedule;
use crate::watch::monitor;

/// Time for which a stream waits for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connection setup. It continues for later streams after a stream has given up, so
/// that a peer that is slow to respond is reached at all.
const SETUP_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between removing an idle connection and closing it, in which a stream that
/// obtained the connection just before can still open.
const CLOSE_GRACE: Duration = Duration::from_secs(1);
/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
/// Maximum number of concurrent streams that a peer may open on a connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 4096;

/// Pool of connections opened by this daemon, one per peer. Idle connections are
/// closed.
#[derive(Clone)]
pub struct Connections {
    secret: Arc<str>,
    schedule: Schedule,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    /// Peers to which a connection is being set up that outlives its stream.
    setups: Arc<Mutex<HashSet<SocketAddr>>>,
}

/// An open connection.
#[derive(Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    activity: Activity,
}

/// A connection that is ready to open a stream.
pub struct Ready {
    /// Handle with which the stream is opened.
    pub sender: SendRequest<Bytes>,
    /// Marks the stream as open; must be kept until the stream ends.
    pub stream: OpenStream,
}

impl Connections {
    /// Creates an empty pool. Peers must prove that they know `secret`.
    pub fn new(secret: Arc<str>, schedule: Schedule) -> Connections {
        Connections { secret, schedule, connections: Arc::default(), setups: Arc::default() }
    }

    /// Returns the connection to a peer and opens one if there is none. Fails if the
    /// peer cannot be reached in time or does not prove the secret.
    pub async fn get(&self, peer: SocketAddr) -> Result<Ready, String> {
        let existing = self.lock().get(&peer).cloned();
        if let Some(existing) = existing {
            // Count the stream before waiting, so that the connection is not closed meanwhile.
            let stream = existing.activity.open();
            if let Ok(sender) = existing.sender.ready().await {
                return Ok(Ready { sender, stream });
            }
        }
        let timed_out = || format!("connecting to {peer} timed out");
        if !self.lock_setups().insert(peer) {
            let connected = timeout(CONNECT_TIMEOUT, self.connect(peer)).await;
            return connected.map_err(|_| timed_out())?;
        }
        let connections = self.clone();
        let setup = tokio::spawn(async move {
            let connected = timeout(SETUP_TIMEOUT, connections.connect(peer)).await;
            connections.lock_setups().remove(&peer);
            connected
        });
        match timeout(CONNECT_TIMEOUT, setup).await {
            Ok(Ok(Ok(connected))) => connected,
            _ => Err(timed_out()),
        }
    }

    /// Removes the connection to a peer from the pool.
    pub fn remove(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Removes a connection unless a newer one has replaced it.
    fn remove_if(&self, peer: SocketAddr, activity: &Activity) {
        let mut connections = self.lock();
        if connections.get(&peer).is_some_and(|it| it.activity.is_same(activity)) {
            connections.remove(&peer);
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Ready, String> {
        let mut socket = TcpStream::connect(peer).await.map_err(|it| it.to_string())?;
        let _ = socket.set_nodelay(true);
        authentication::open(&mut socket, &self.secret).await?;
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(socket)
            .await;
        let (sender, mut connection) = handshake.map_err(|it| it.to_string())?;
        let pings = connection.ping_pong();
        let activity = Activity::default();
        let stream = activity.open();
        let entry = Connection { sender: sender.clone(), activity: activity.clone() };
        self.lock().insert(peer, entry);
        let connections = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = connections.monitor(peer, pings, &activity) => {}
            }
            connections.remove_if(peer, &activity);
        });
        let sender = sender.ready().await.map_err(|it| it.to_string())?;
        Ok(Ready { sender, stream })
    }

    /// Monitors a connection and returns when it must be closed.
    async fn monitor(&self, peer: SocketAddr, pings: Option<PingPong>, activity: &Activity) {
        let Some(mut pings) = pings else { return };
        while monitor(&mut pings, activity, self.schedule).await == Cause::Idle {
            // No new stream can obtain the connection now; one that just did keeps it open.
            self.remove_if(peer, activity);
            sleep(CLOSE_GRACE).await;
            if activity.is_idle() {
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn lock_setups(&self) -> std::sync::MutexGuard<'_, HashSet<SocketAddr>> {
        self.setups.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Accepts connections from peers indefinitely. Counts their streams in `total`.
pub async fn accept(
    listener: TcpListener,
    secret: Arc<str>,
    sink: Sink,
    incoming: UnboundedSender<Incoming>,
    total: Activity,
    schedule: Schedule,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (secret, sink) = (secret.clone(), sink.clone());
        tokio::spawn(serve(socket, secret, sink, incoming.clone(), total.clone(), schedule));
    }
}

async fn serve(
    mut socket: TcpStream,
    secret: Arc<str>,
    sink: Sink,
    incoming: UnboundedSender<Incoming>,
    total: Activity,
    schedule: Schedule,
) {
    let authenticated = timeout(SETUP_TIMEOUT, authentication::accept(&mut socket, &secret)).await;
    if !matches!(authenticated, Ok(Ok(()))) {
        return;
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .handshake(socket);
    let Ok(Ok(mut connection)) = timeout(SETUP_TIMEOUT, handshake).await else { return };
    let Some(mut pings) = connection.ping_pong() else { return };
    let activity = Activity::default();
    let accept_streams = async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            let (open_stream, counted) = (activity.open(), total.open());
            let (sink, incoming) = (sink.clone(), incoming.clone());
            let task = stream::incoming(request, respond, sink, incoming, open_stream);
            tokio::spawn(async move {
                task.await;
                drop(counted);
            });
        }
    };
    tokio::select! {
        () = accept_streams => {}
        () = monitor_accepted(&mut pings, &activity, schedule) => {}
    }
}

/// Monitors an accepted connection and returns when the peer stops responding. An
/// idle connection is left for the peer to close.
async fn monitor_accepted(pings: &mut PingPong, activity: &Activity, schedule: Schedule) {
    while monitor(pings, activity, schedule).await == Cause::Idle {}
}
