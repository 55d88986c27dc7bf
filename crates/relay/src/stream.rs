//! Event streams, relayed event by event and resumed at another endpoint where
//! the route allows it.

use std::io;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::header::CONTENT_TYPE;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use platform::head;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::error::Elapsed;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::admission::Outcome;
use crate::admission::Plan;
use crate::admission::Target;
use crate::admission::Ticket;
use crate::attempt;
use crate::attempt::Call;
use crate::attempt::Head;
use crate::body;
use crate::body::ChunkSender;
use crate::body::Payload;
use crate::budget::Budget;
use crate::budget::Reservation;
use crate::budget::SMALL_ANSWER_BYTES;
use crate::buffered::SHORTAGE_PAUSE;
use crate::connection::Pool;
use crate::event::Event;
use crate::event::Parser;
use crate::identity::Identity;
use crate::server::Server;

/// Number of events buffered for a slow caller before reading from the endpoint
/// pauses.
const BUFFERED_EVENTS: usize = 64;
/// Minimum interval between reports that the process of a stream is still running.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which nothing is received, twice in a row, after which nothing that an endpoint has
/// sent before waits to be read.
const QUIET_TIME: Duration = Duration::from_millis(5);
/// Time without bytes after which those that follow may have been held up on their way.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// A stream from one endpoint.
struct Source {
    endpoint: Target,
    head: Head,
    parser: Parser,
    state: State,
    memory: Reservation,
    /// Whether later bytes don't show that the process was still running.
    has_paused: bool,
}

impl Source {
    /// Whether it matters how long the process goes on that began the stream.
    fn needs_progress(&self) -> bool {
        self.state == State::Begun && !self.has_paused && !self.head.connection.has_stated()
    }

    /// Reserves the memory for what is buffered, with `queued` bytes that wait for the caller.
    /// Small amounts, as those of nearly all streams, aren't counted.
    /// Waits while memory is short, and fails if the stream is given up as the largest.
    async fn reserve(&mut self, queued: usize) -> Result<(), Outcome> {
        let bytes = self.parser.allocated_bytes() + queued;
        let bytes = if bytes > SMALL_ANSWER_BYTES { bytes } else { 0 };
        self.memory.shrink(bytes);
        while self.memory.is_evicted() || self.memory.grow(bytes, Instant::now()).is_err() {
            if self.memory.is_evicted() {
                spdlog::warn!("stream given up while memory is short", kv: {
                    endpoint = self.endpoint.id.as_str(),
                    bytes = bytes,
                });
                return Err(Outcome::Broken);
            }
            sleep(SHORTAGE_PAUSE).await;
        }
        Ok(())
    }
}

/// What may come next from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Whatever the endpoint that began the stream sends.
    Begun,
    /// The event after the last one that was relayed.
    Resuming,
    /// Later events, or the end of the stream.
    Resumed,
}

/// Result of reading from a stream.
enum Item {
    Event(Event),
    End,
}

/// A stream whose first event was read.
pub struct Stream {
    source: Source,
    first_event: Option<Event>,
}

/// Reads the first event of a stream.
pub async fn open(
    server: &Server,
    call: &Call,
    endpoint: Target,
    head: Head,
) -> Result<Stream, Outcome> {
    let (parser, memory) = (Parser::default(), server.budget().buffer());
    let state = State::Begun;
    let mut source = Source { endpoint, head, parser, state, memory, has_paused: false };
    match read_event(&mut source, call, 0).await? {
        Item::Event(event) => Ok(Stream { source, first_event: Some(event) }),
        // An empty stream is relayed as it is.
        Item::End => Ok(Stream { source, first_event: None }),
    }
}

/// Returns the response to the caller and spawns the task that relays the stream.
pub fn relay(
    server: &Server,
    call: Call,
    plan: Plan,
    ticket: Ticket,
    stream: Stream,
) -> Response<Payload> {
    let (chunks, payload) = body::channel(BUFFERED_EVENTS);
    let mut response = Response::new(payload);
    *response.status_mut() = stream.source.head.status;
    *response.headers_mut() = head::forward_response(&stream.source.head.headers);
    let content_type = stream.source.head.headers.get(CONTENT_TYPE).cloned();
    let (pool, budget) = (server.pool().clone(), server.budget().clone());
    let relay = Relay {
        pool,
        budget,
        call,
        plan,
        ticket,
        chunks,
        content_type,
        last_event_id: None,
        reported: None,
    };
    spawn_local(relay.run(stream));
    response
}

struct Relay {
    pool: Pool,
    budget: Budget,
    call: Call,
    plan: Plan,
    ticket: Ticket,
    chunks: ChunkSender,
    /// Content type that the response to the caller states.
    content_type: Option<HeaderValue>,
    /// Id of the last event that was relayed.
    last_event_id: Option<String>,
    /// What was reported of the process that began the stream.
    reported: Option<Identity>,
}

impl Relay {
    async fn run(mut self, stream: Stream) {
        let status = stream.source.head.status.as_u16();
        let mut source = stream.source;
        let Some(first_event) = stream.first_event else {
            return self.complete(source, status);
        };
        if !self.forward(first_event).await {
            return;
        }
        loop {
            let queued = self.chunks.queued_bytes();
            let item = tokio::select! {
                biased;
                () = self.chunks.closed() => return,
                item = read_event(&mut source, &self.call, queued) => item,
            };
            let interval = if item.is_ok() { REPORT_INTERVAL } else { Duration::ZERO };
            self.report_identity(&source, interval);
            match item.and_then(|it| self.accept(&mut source, it)) {
                Ok(Item::Event(event)) => {
                    if !self.forward(event).await {
                        return;
                    }
                }
                Ok(Item::End) => return self.complete(source, status),
                Err(outcome) => match self.resume(outcome).await {
                    Some(resumed) => source = resumed,
                    None => return self.abort(outcome, status).await,
                },
            }
        }
    }

    /// Reports what has become known of the process that began the stream, unless it has stated its
    /// start before. Reports of mere progress are at least `interval` apart.
    fn report_identity(&mut self, source: &Source, interval: Duration) {
        let connection = &source.head.connection;
        let has_begun = source.state == State::Begun && self.plan.needs_identity();
        if !has_begun || connection.has_stated() {
            return;
        }
        let identity = self.pool.identity(connection);
        let is_news = self.reported.is_none_or(|it| identity.is_news(&it, interval));
        if identity.heard_since.is_some() && is_news {
            self.reported = Some(identity);
            self.ticket.report_identity(identity);
        }
    }

    /// Returns an item of a stream, or the failure of an endpoint that doesn't continue what
    /// another one has begun: it sends an error, begins anew, or ends at once.
    fn accept(&self, source: &mut Source, item: Item) -> Result<Item, Outcome> {
        let last = self.last_event_id.as_deref().unwrap_or_default();
        let is_sound = match (&item, source.state) {
            (_, State::Begun) | (Item::End, State::Resumed) => true,
            (Item::End, State::Resuming) => false,
            (Item::Event(event), State::Resuming | State::Resumed) => event.follows(last),
        };
        if !is_sound {
            spdlog::warn!("stream not continued", kv: {
                request = self.call.id.as_str(),
                endpoint = source.endpoint.id.as_str(),
                last_event = last,
            });
            return Err(Outcome::Failed);
        }
        if source.state == State::Resuming {
            source.state = State::Resumed;
        }
        Ok(item)
    }

    /// Whether the body of a response may follow the events that were relayed.
    fn is_continuation(&self, head: &Head) -> bool {
        let content_type = head.headers.get(CONTENT_TYPE).map(media_type);
        head.status.is_success() && content_type == self.content_type.as_ref().map(media_type)
    }

    /// Sends an event to the caller. Returns false if the caller has disconnected.
    async fn forward(&mut self, event: Event) -> bool {
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        self.chunks.send(Ok(event.bytes)).await.is_ok()
    }

    fn complete(mut self, source: Source, status: u16) {
        let Source { endpoint, head, .. } = source;
        self.pool.release(&endpoint.id, head.connection, head.attributes.keep_alive);
        self.ticket.set_result(Outcome::served(head.attributes.is_framed), status);
        self.chunks.finish();
    }

    async fn abort(mut self, outcome: Outcome, status: u16) {
        self.ticket.set_result(outcome, status);
        // The error aborts the caller's connection.
        let _ = self.chunks.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
    }

    /// Resumes the stream at another endpoint, after the last relayed event.
    async fn resume(&mut self, outcome: Outcome) -> Option<Source> {
        if !self.plan.is_idempotent || outcome == Outcome::TimedOut {
            return None;
        }
        let last_event_id = self.last_event_id.clone()?;
        let mut outcome = outcome;
        loop {
            let target = self.ticket.retry(outcome).await.ok()?;
            let (call, plan) = (&self.call, &self.plan);
            let last_event = Some(last_event_id.as_str());
            let sent = attempt::send(&self.pool, call, plan, &target, &self.ticket, last_event);
            let sent = sent.await;
            self.call.tried.push(target.id.clone());
            match sent {
                Ok(head) if self.is_continuation(&head) => {
                    let (parser, memory) = (Parser::default(), self.budget.buffer());
                    let state = State::Resuming;
                    let source =
                        Source { endpoint: target, head, parser, state, memory, has_paused: false };
                    return Some(source);
                }
                Ok(_) => outcome = Outcome::Failed,
                Err(Outcome::TimedOut) => return None,
                Err(other) => outcome = other,
            }
        }
    }
}

/// Returns the media type without its parameters.
fn media_type(content_type: &HeaderValue) -> Vec<u8> {
    let media_type = content_type.as_bytes().split(|it| *it == b';').next().unwrap_or_default();
    media_type.trim_ascii().to_ascii_lowercase()
}

/// Reads the next complete event. `queued` bytes of earlier ones wait for the caller.
async fn read_event(source: &mut Source, call: &Call, queued: usize) -> Result<Item, Outcome> {
    loop {
        if let Some(event) = source.parser.next_event() {
            return Ok(Item::Event(event));
        }
        let (received, quiet_since) = match source.needs_progress() {
            true => receive(&mut source.head.body, call.deadline).await,
            false => (timeout_at(call.deadline, source.head.body.frame()).await, None),
        };
        let frame = match received {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Outcome::Broken),
            Ok(None) if source.parser.has_partial_event() => return Err(Outcome::Broken),
            Ok(None) => return Ok(Item::End),
            Err(_) => return Err(Outcome::TimedOut),
        };
        source.head.connection.touch();
        if let Some(since) = quiet_since {
            source.has_paused |= since.elapsed() > MAX_PAUSE;
            if !source.has_paused {
                source.head.connection.record_running(since);
            }
        }
        let Ok(data) = frame.into_data() else { continue };
        if !source.parser.push(&data) {
            return Err(Outcome::Broken);
        }
        match timeout_at(call.deadline, source.reserve(queued)).await {
            Ok(reserved) => reserved?,
            Err(_) => return Err(Outcome::TimedOut),
        }
    }
}

/// Receives the next frame of a body. Also returns since when nothing had been received, if that
/// was for so long that the endpoint sent the frame after that.
async fn receive(
    body: &mut Incoming,
    deadline: Instant,
) -> (Result<Option<hyper::Result<Frame<Bytes>>>, Elapsed>, Option<Instant>) {
    let quiet_since = Instant::now();
    let mut frame = pin!(timeout_at(deadline, body.frame()));
    // Bytes that had arrived while the daemon was paused are received within the first turn.
    for _ in 0..2 {
        if let Ok(frame) = timeout(QUIET_TIME, frame.as_mut()).await {
            return (frame, None);
        }
    }
    (frame.await, Some(quiet_since))
}
