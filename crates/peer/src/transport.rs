//! The transport's thread and the messages to and from it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use crate::connection;
use crate::connection::Connections;
use crate::stream;
use crate::wire::Frame;

/// Names a stream on this daemon. Even numbers are opened here, odd ones by
/// peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Whether a peer opened the stream.
    pub fn is_peers(self) -> bool {
        !self.0.is_multiple_of(2)
    }
}

/// What the transport is told to do.
#[derive(Debug)]
pub enum Command {
    /// Opens a stream to a peer with a first frame.
    Open {
        /// Even number that was not used before.
        stream: StreamId,
        /// Address of the peer.
        peer: SocketAddr,
        /// First frame.
        frame: Frame,
    },
    /// Sends a frame on a stream.
    Send {
        /// Stream.
        stream: StreamId,
        /// Frame.
        frame: Frame,
    },
    /// Ends this side of a stream.
    Finish {
        /// Stream.
        stream: StreamId,
    },
}

/// What the transport tells.
#[derive(Debug)]
pub enum Event {
    /// A frame came; the first one of an odd stream opens it.
    Frame {
        /// Stream.
        stream: StreamId,
        /// Frame.
        frame: Frame,
    },
    /// The peer ended its side.
    Finished {
        /// Stream.
        stream: StreamId,
    },
    /// The stream broke; nothing more comes.
    Failed {
        /// Stream.
        stream: StreamId,
        /// Whether a frame of this side may have reached the peer.
        sent: bool,
        /// Cause.
        detail: String,
    },
}

/// Takes the transport's events; called on its thread.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// Why the transport could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("cannot listen for peers on {address}: {detail}; free the port"))]
    Bind {
        /// Address from the settings.
        address: String,
        /// Cause given by the system.
        detail: String,
    },
}

/// A running transport.
#[derive(Clone, Debug)]
pub struct Transport {
    /// Address on which peers are accepted.
    pub address: SocketAddr,
    commands: UnboundedSender<Command>,
}

impl Transport {
    /// Accepts peers that know `secret` on `address` and starts the thread.
    pub fn start(address: &str, secret: &str, sink: Sink) -> Result<Transport, Error> {
        let failed = |error: std::io::Error| Error::Bind {
            address: address.to_owned(),
            detail: error.to_string(),
        };
        let listener = std::net::TcpListener::bind(address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let local = listener.local_addr().map_err(failed)?;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let (commands, receiver) = unbounded_channel();
        let secret: Arc<str> = secret.into();
        thread::spawn(move || runtime.block_on(run(listener, secret, sink, receiver)));
        Ok(Transport { address: local, commands })
    }

    /// Gives a command. Failures come back as events.
    pub fn command(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

async fn run(
    listener: std::net::TcpListener,
    secret: Arc<str>,
    sink: Sink,
    mut commands: UnboundedReceiver<Command>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let (opened_sender, mut opened) = unbounded_channel();
    let accept = connection::accept(listener, secret.clone(), sink.clone(), opened_sender);
    tokio::spawn(accept);
    let connections = Connections::new(secret);
    let mut streams: HashMap<StreamId, UnboundedSender<Frame>> = HashMap::new();
    loop {
        tokio::select! {
            // A stream is entered before commands that answer its first frame.
            biased;
            Some(incoming) = opened.recv() => {
                let incoming: stream::Incoming = incoming;
                streams.insert(incoming.stream, incoming.frames);
            }
            command = commands.recv() => match command {
                None => return,
                Some(Command::Open { stream, peer, frame }) => {
                    let (sender, receiver) = unbounded_channel();
                    let _ = sender.send(frame);
                    streams.insert(stream, sender);
                    let task = stream::outgoing(connections.clone(), peer, stream, receiver, sink.clone());
                    tokio::spawn(task);
                }
                Some(Command::Send { stream, frame }) => {
                    if let Some(frames) = streams.get(&stream) {
                        let _ = frames.send(frame);
                    }
                }
                Some(Command::Finish { stream }) => {
                    streams.remove(&stream);
                }
            }
        }
    }
}
