//! Connections to and from peers, watched by PING frames.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use h2::Ping;
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

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two PING frames.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest silence after a PING frame before a connection is left.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
/// Most streams that a peer may have open on a connection.
const STREAMS_PER_CONNECTION: u32 = 4096;

/// Connections opened by this daemon, one a peer.
#[derive(Clone)]
pub struct Connections {
    secret: Arc<str>,
    open: Arc<Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>>,
}

impl Connections {
    /// No connection yet. Peers must prove `secret`.
    pub fn new(secret: Arc<str>) -> Connections {
        Connections { secret, open: Arc::default() }
    }

    /// The connection to a peer, made when there is none.
    pub async fn get(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, String> {
        let known = self.lock().get(&peer).cloned();
        if let Some(known) = known
            && let Ok(ready) = known.ready().await
        {
            return Ok(ready);
        }
        let made = timeout(CONNECT_TIMEOUT, self.connect(peer)).await;
        made.map_err(|_| format!("no connection to {peer} in time"))?
    }

    /// Forgets the connection to a peer.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    async fn connect(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, String> {
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
        let connections = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = watch(pings) => {}
            }
            connections.forget(peer);
        });
        self.lock().insert(peer, sender.clone());
        sender.ready().await.map_err(|it| it.to_string())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, SendRequest<Bytes>>> {
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
    let Some(pings) = connection.ping_pong() else { return };
    let streams = async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            tokio::spawn(stream::incoming(request, respond, sink.clone(), opened.clone()));
        }
    };
    tokio::select! {
        () = streams => {}
        () = watch(Some(pings)) => {}
    }
}

/// Returns when the other end has not answered a PING frame in time.
async fn watch(pings: Option<PingPong>) {
    let Some(mut pings) = pings else { return };
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
