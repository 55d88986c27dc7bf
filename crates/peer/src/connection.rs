//! Connections to and from peers, watched by PING frames.

use std::collections::HashMap;
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

use crate::proof;
use crate::stream;
use crate::stream::Incoming;
use crate::transport::Sink;
use crate::watch::Activity;
use crate::watch::Leave;
use crate::watch::OpenStream;
use crate::watch::watch;

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a stream that got an idle connection to show before it is closed.
const CLOSE_GRACE: Duration = Duration::from_secs(1);
/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
/// Most streams that a peer may have open on a connection.
const STREAMS_PER_CONNECTION: u32 = 4096;

/// Connections opened by this daemon, one a peer. Idle ones are closed.
#[derive(Clone)]
pub struct Connections {
    secret: Arc<str>,
    open: Arc<Mutex<HashMap<SocketAddr, Open>>>,
}

/// An open connection.
#[derive(Clone)]
struct Open {
    sender: SendRequest<Bytes>,
    activity: Activity,
}

/// A connection that takes a stream.
pub struct Ready {
    /// Where the stream is opened.
    pub sender: SendRequest<Bytes>,
    /// Counts the stream; to be kept as long as it is open.
    pub stream: OpenStream,
}

impl Connections {
    /// No connection yet. Peers must prove `secret`.
    pub fn new(secret: Arc<str>) -> Connections {
        Connections { secret, open: Arc::default() }
    }

    /// The connection to a peer, made when there is none.
    pub async fn get(&self, peer: SocketAddr) -> Result<Ready, String> {
        let known = self.lock().get(&peer).cloned();
        if let Some(known) = known {
            // Counted before it is ready, so that it is not closed meanwhile.
            let stream = known.activity.open();
            if let Ok(sender) = known.sender.ready().await {
                return Ok(Ready { sender, stream });
            }
        }
        let made = timeout(CONNECT_TIMEOUT, self.connect(peer)).await;
        made.map_err(|_| format!("no connection to {peer} in time"))?
    }

    /// Forgets the connection to a peer.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Ready, String> {
        let mut socket = TcpStream::connect(peer).await.map_err(|it| it.to_string())?;
        let _ = socket.set_nodelay(true);
        proof::open(&mut socket, &self.secret).await?;
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(socket)
            .await;
        let (sender, mut connection) = handshake.map_err(|it| it.to_string())?;
        let pings = connection.ping_pong();
        let activity = Activity::default();
        let stream = activity.open();
        let open = Open { sender: sender.clone(), activity: activity.clone() };
        self.lock().insert(peer, open);
        let connections = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = connections.watch(peer, pings, &activity) => {}
            }
            connections.forget(peer);
        });
        let sender = sender.ready().await.map_err(|it| it.to_string())?;
        Ok(Ready { sender, stream })
    }

    /// Returns when a connection is to be closed.
    async fn watch(&self, peer: SocketAddr, pings: Option<PingPong>, activity: &Activity) {
        let Some(mut pings) = pings else { return };
        while watch(&mut pings, activity).await == Leave::Idle {
            // From here on it takes no new stream; one that got it just before counts.
            self.forget(peer);
            sleep(CLOSE_GRACE).await;
            if activity.is_idle() {
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Open>> {
        self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Accepts peers for ever.
pub async fn accept(
    listener: TcpListener,
    secret: Arc<str>,
    sink: Sink,
    opened: UnboundedSender<Incoming>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(CONNECT_TIMEOUT).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        tokio::spawn(serve(socket, secret.clone(), sink.clone(), opened.clone()));
    }
}

async fn serve(
    mut socket: TcpStream,
    secret: Arc<str>,
    sink: Sink,
    opened: UnboundedSender<Incoming>,
) {
    let proved = timeout(CONNECT_TIMEOUT, proof::accept(&mut socket, &secret)).await;
    if !matches!(proved, Ok(Ok(()))) {
        return;
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_PER_CONNECTION)
        .handshake(socket);
    let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, handshake).await else { return };
    let Some(mut pings) = connection.ping_pong() else { return };
    let activity = Activity::default();
    let streams = async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            let open = activity.open();
            let task = stream::incoming(request, respond, sink.clone(), opened.clone());
            tokio::spawn(async move {
                task.await;
                drop(open);
            });
        }
    };
    tokio::select! {
        () = streams => {}
        () = watch_accepted(&mut pings, &activity) => {}
    }
}

/// Returns when the peer is silent; an idle connection is the peer's to close.
async fn watch_accepted(pings: &mut PingPong, activity: &Activity) {
    while watch(pings, activity).await == Leave::Idle {}
}
