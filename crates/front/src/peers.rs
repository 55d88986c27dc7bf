//! Streams to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use membership::digest::Message;
use membership::protocol::Protocol;
use peer::transport;
use peer::transport::Command;
use peer::transport::Sink;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Frame;
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;
use crate::metrics;

/// Open streams, one for each daemon that messages were sent to.
#[derive(Debug)]
pub struct Streams {
    transport: Option<Transport>,
    by_address: HashMap<SocketAddr, Open>,
    last_id: u64,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    id: StreamId,
    at: Instant,
    /// Messages that the daemon understands, as far as it has stated them.
    protocol: Protocol,
}

impl Streams {
    /// Creates an empty set of streams. Messages are discarded until the transport
    /// has started.
    pub fn new() -> Streams {
        Streams { transport: None, by_address: HashMap::new(), last_id: 0 }
    }

    /// Starts the transport, which accepts and opens streams.
    pub fn start(
        &mut self,
        address: SocketAddr,
        secret: &str,
        events: UnboundedSender<Event>,
    ) -> Result<(), transport::Error> {
        let sink: Sink = Arc::new(move |event| {
            let event = match event {
                transport::Event::Frame { frame: Frame::Front(message), .. } => {
                    Event::Peer(message)
                }
                transport::Event::Accepted { stream, protocol } => {
                    Event::PeerAccepted { stream, protocol }
                }
                transport::Event::Skipped { detail, .. } => Event::PeerSkipped { detail },
                transport::Event::Failed { stream, detail, .. } => {
                    Event::PeerLost { stream, detail }
                }
                transport::Event::Frame { .. } | transport::Event::Finished { .. } => return,
            };
            let _ = events.send(event);
        });
        self.transport = Some(Transport::start(&address.to_string(), secret, sink)?);
        Ok(())
    }

    /// Whether a daemon is known to understand the messages of this version.
    pub fn speaks(&self, to: SocketAddr, protocol: Protocol) -> bool {
        let stated = self.by_address.get(&to).map_or(Protocol::Unstated, |it| it.protocol);
        stated >= protocol
    }

    /// Records which messages the daemon at the other end of a stream understands. Returns
    /// its address.
    pub fn set_protocol(&mut self, stream: StreamId, protocol: Protocol) -> Option<SocketAddr> {
        let (address, open) = self.by_address.iter_mut().find(|(_, it)| it.id == stream)?;
        open.protocol = protocol;
        Some(*address)
    }

    /// Sends a message to a daemon, opening a stream if there is none. Sends nothing that
    /// the daemon isn't known to understand.
    pub fn send(&mut self, to: SocketAddr, message: &Message, now: Instant) {
        let Some(transport) = &self.transport else { return };
        if !self.speaks(to, message.protocol()) {
            metrics::count("message", "not_understood");
            return;
        }
        let frame = Frame::Front(Box::new(message.clone()));
        if let Some(open) = self.by_address.get(&to) {
            transport.command(Command::Send { stream: open.id, frame });
            return;
        }
        self.last_id += 2;
        let stream = StreamId(self.last_id);
        self.by_address.insert(to, Open { id: stream, at: now, protocol: Protocol::Unstated });
        transport.command(Command::Open { stream, peer: to, frame });
    }

    /// Removes a broken stream and returns the address of its daemon.
    pub fn remove(&mut self, stream: StreamId) -> Option<SocketAddr> {
        let (address, _) = self.by_address.iter().find(|(_, it)| it.id == stream)?;
        let address = *address;
        self.by_address.remove(&address);
        Some(address)
    }

    /// Removes a stream that was opened before the daemon at the address started. Without
    /// this, a daemon that was cut off from power would lose the first message sent to it.
    pub fn remove_outdated(&mut self, address: SocketAddr, started_at: Instant) {
        let (Some(transport), Some(open)) = (&self.transport, self.by_address.get(&address)) else {
            return;
        };
        if open.at < started_at {
            transport.command(Command::Finish { stream: open.id });
            transport.command(Command::Disconnect { peer: address });
            self.by_address.remove(&address);
        }
    }
}

impl Default for Streams {
    fn default() -> Streams {
        Streams::new()
    }
}
