//! Streams of events, relayed event by event and resumed where they may be.

use std::io;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::head;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use crate::ask::Ended;
use crate::ask::Plan;
use crate::ask::Target;
use crate::ask::Ticket;
use crate::attempt;
use crate::attempt::Head;
use crate::attempt::Read;
use crate::body::Answer;
use crate::event::Event;
use crate::event::Events;
use crate::links::Links;

/// Events that wait for a slow caller before the endpoint has to.
const WAITING_EVENTS: usize = 64;

/// A stream at one endpoint.
struct Source {
    endpoint: Target,
    head: Head,
    events: Events,
}

/// What a read of a stream gave.
enum Piece {
    Event(Event),
    End,
}

/// A stream whose first event has come.
pub struct Begun {
    source: Source,
    first: Vec<Event>,
}

/// Reads up to the first event.
pub async fn begin(read: &Read, endpoint: Target, head: Head) -> Result<Begun, Ended> {
    let mut source = Source { endpoint, head, events: Events::default() };
    match next(&mut source, read).await? {
        Piece::Event(event) => Ok(Begun { source, first: vec![event] }),
        // A stream without any event is relayed as it is.
        Piece::End => Ok(Begun { source, first: Vec::new() }),
    }
}

/// Answers the caller with the stream and relays it to its end.
pub fn relay(
    links: &Links,
    read: Read,
    plan: Plan,
    ticket: Ticket,
    begun: Begun,
) -> Response<Answer> {
    let (pieces, receiver) = channel(WAITING_EVENTS);
    let mut response = Response::new(Answer::Pieces(receiver));
    *response.status_mut() = begun.source.head.status;
    *response.headers_mut() = head::forward_response(&begun.source.head.headers);
    let pump = Pump { links: links.clone(), read, plan, ticket, pieces, last: None };
    spawn_local(pump.run(begun));
    response
}

struct Pump {
    links: Links,
    read: Read,
    plan: Plan,
    ticket: Ticket,
    pieces: Sender<io::Result<Bytes>>,
    /// Identity of the last event that was relayed.
    last: Option<String>,
}

impl Pump {
    async fn run(mut self, begun: Begun) {
        let status = begun.source.head.status.as_u16();
        let is_empty = begun.first.is_empty();
        for event in begun.first {
            if !self.give(event).await {
                return;
            }
        }
        let mut source = begun.source;
        if is_empty {
            return self.complete(source, status);
        }
        loop {
            let piece = tokio::select! {
                biased;
                () = self.pieces.closed() => return,
                piece = next(&mut source, &self.read) => piece,
            };
            match piece {
                Ok(Piece::Event(event)) => {
                    if !self.give(event).await {
                        return;
                    }
                }
                Ok(Piece::End) => return self.complete(source, status),
                Err(ended) => match self.resume(ended).await {
                    Some(resumed) => source = resumed,
                    None => return self.break_off(ended, status).await,
                },
            }
        }
    }

    /// Gives an event to the caller; false when the caller has left.
    async fn give(&mut self, event: Event) -> bool {
        if event.id.is_some() {
            self.last = event.id;
        }
        self.pieces.send(Ok(event.bytes)).await.is_ok()
    }

    fn complete(mut self, source: Source, status: u16) {
        let Source { endpoint, head, .. } = source;
        self.links.keep(&endpoint.id, head.link, head.answered.keep_alive);
        self.ticket.end(Ended::Served, status);
    }

    async fn break_off(mut self, ended: Ended, status: u16) {
        self.ticket.end(ended, status);
        // The error makes the caller's connection break.
        let _ = self.pieces.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
    }

    /// Goes on at another endpoint behind the last event.
    async fn resume(&mut self, ended: Ended) -> Option<Source> {
        if !self.plan.is_idempotent || ended == Ended::TimedOut {
            return None;
        }
        let last = self.last.clone()?;
        let mut ended = ended;
        loop {
            let target = self.ticket.next(ended).await.ok()?;
            let sent = attempt::send(&self.links, &self.read, &self.plan, &target, Some(&last));
            match sent.await {
                Ok(head) if head.status.is_success() => {
                    return Some(Source { endpoint: target, head, events: Events::default() });
                }
                Ok(_) => ended = Ended::Failed,
                Err(Ended::TimedOut) => return None,
                Err(other) => ended = other,
            }
        }
    }
}

/// Reads the next whole event.
async fn next(source: &mut Source, read: &Read) -> Result<Piece, Ended> {
    loop {
        if let Some(event) = source.events.take() {
            return Ok(Piece::Event(event));
        }
        let body: &mut Incoming = &mut source.head.body;
        let frame = match timeout_at(read.due, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Ended::Broken),
            Ok(None) if source.events.has_part() => return Err(Ended::Broken),
            Ok(None) => return Ok(Piece::End),
            Err(_) => return Err(Ended::TimedOut),
        };
        let Ok(data) = frame.into_data() else { continue };
        if !source.events.push(&data) {
            return Err(Ended::Broken);
        }
    }
}
