//! The transport thread, the commands it accepts and the events it emits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use membership::protocol::Protocol;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use crate::connection;
use crate::connection::Connections;
use crate::stream;
use crate::watch::Activity;
use crate::watch::Schedule;
use crate::wire::Frame;

/// Identifies a stream on this daemon. Streams with even numbers are opened by this
/// daemon, those with odd numbers by peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Whether the stream was opened by a peer.
    pub fn is_remote(self) -> bool {
        !self.0.is_multiple_of(2)
    }
}

/// A command to the transport.
#[derive(Debug)]
pub enum Command {
    /// Opens a stream to a peer and sends the first frame.
    Open {
        /// Identifier of the stream; an even number that has not been used before.
        stream: StreamId,
        /// Address of the peer.
        peer: SocketAddr,
        /// Frame to send first.
        frame: Frame,
    },
    /// Sends a frame on a stream.
    Send {
        /// Identifier of the stream.
        stream: StreamId,
        /// Frame to send.
        frame: Frame,
    },
    /// Opens later streams to a peer that has restarted on a new connection.
    Disconnect {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// Ends this side of a stream.
    Finish {
        /// Identifier of the stream.
        stream: StreamId,
    },
}

/// An event emitted by the transport.
#[derive(Debug)]
pub enum Event {
    /// A frame was received. The first frame of an odd stream opens it.
    Frame {
        /// Identifier of the stream.
        stream: StreamId,
        /// Received frame.
        frame: Frame,
    },
    /// The peer accepted a stream that this daemon opened.
    Accepted {
        /// Identifier of the stream.
        stream: StreamId,
        /// Version of the messages that the peer understands.
        protocol: Protocol,
    },
    /// The peer sent a message that this build doesn't know. The stream goes on.
    Skipped {
        /// Identifier of the stream.
        stream: StreamId,
        /// Description of the message.
        detail: String,
    },
    /// The peer ended its side of the stream.
    Finished {
        /// Identifier of the stream.
        stream: StreamId,
    },
    /// The stream failed; no further events follow for it.
    Failed {
        /// Identifier of the stream.
        stream: StreamId,
        /// Whether frames sent by this daemon may have reached the peer.
        sent: bool,
        /// Description of the cause.
        detail: String,
    },
}

/// Callback for the transport's events; called on the transport thread.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// Errors when starting the transport.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("cannot listen for peers on {address}: {detail}; free the port"))]
    Bind {
        /// Address from the settings.
        address: String,
        /// Error reported by the operating system.
        detail: String,
    },
}

/// Handle to a running transport.
#[derive(Clone, Debug)]
pub struct Transport {
    /// Address on which peer connections are accepted.
    pub address: SocketAddr,
    commands: UnboundedSender<Command>,
    incoming: Activity,
}

impl Transport {
    /// Listens on `address`, starts the transport thread and accepts peers that know
    /// `secret`. Fails if the address cannot be bound.
    pub fn start(address: &str, secret: &str, sink: Sink) -> Result<Transport, Error> {
        let bind_error = |error: std::io::Error| Error::Bind {
            address: address.to_owned(),
            detail: error.to_string(),
        };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let local_address = listener.local_addr().map_err(bind_error)?;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(bind_error)?;
        let (commands, receiver) = unbounded_channel();
        let secret: Arc<str> = secret.into();
        let incoming = Activity::default();
        let running = run(listener, secret, sink, receiver, incoming.clone());
        thread::spawn(move || runtime.block_on(running));
        Ok(Transport { address: local_address, commands, incoming })
    }

    /// Returns the number of streams opened by peers on which one side has not ended. A peer ends
    /// its side once it has received the reply.
    pub fn incoming_streams(&self) -> usize {
        self.incoming.count()
    }

    /// Submits a command. Failures are reported as events.
    pub fn command(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

async fn run(
    listener: std::net::TcpListener,
    secret: Arc<str>,
    sink: Sink,
    mut commands: UnboundedReceiver<Command>,
    incoming: Activity,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let (incoming_sender, mut incoming_streams) = unbounded_channel();
    let schedule = Schedule::new();
    let accepting = connection::accept(
        listener,
        secret.clone(),
        sink.clone(),
        incoming_sender,
        incoming,
        schedule,
    );
    tokio::spawn(accepting);
    let connections = Connections::new(secret, schedule);
    let mut streams: HashMap<StreamId, UnboundedSender<Frame>> = HashMap::new();
    loop {
        tokio::select! {
            // Register a new stream before processing commands that reply to its first frame.
            biased;
            Some(incoming) = incoming_streams.recv() => {
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
                Some(Command::Disconnect { peer }) => connections.remove(peer),
                Some(Command::Finish { stream }) => {
                    streams.remove(&stream);
                }
            }
        }
    }
}
