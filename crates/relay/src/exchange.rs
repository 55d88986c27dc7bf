//! Progress of the exchanges on callers' connections. An exchange lasts from the first
//! byte of a request until the socket has taken the last byte of its response.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::admission::Message;

/// Time for which a complete response may wait for its caller before a line about it is
/// logged.
const SLOW_CALLER_TIME: Duration = Duration::from_secs(1);

/// Stage of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No exchange is in progress.
    Idle,
    /// A part of a request's head was received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The request was received completely; its response has not ended.
    Running,
    /// The response has ended, but the socket has not taken all of it.
    Sending,
    /// The response was sent and the connection closed for writing; the caller has not
    /// closed it yet.
    Closing,
}

/// Number of connections in each stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    by_stage: [usize; 6],
}

impl Counts {
    /// Returns the number of connections in a stage.
    pub fn at(&self, stage: Stage) -> usize {
        self.by_stage[stage as usize]
    }

    /// Returns the number of all connections.
    pub fn connections(&self) -> usize {
        self.by_stage.iter().sum()
    }

    /// Returns the number of connections with an exchange in progress.
    pub fn in_progress(&self) -> usize {
        self.connections() - self.at(Stage::Idle)
    }
}

impl Display for Counts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "idle {}, head {}, body {}, running {}, sending {}, closing {}",
            self.at(Stage::Idle),
            self.at(Stage::Head),
            self.at(Stage::Body),
            self.at(Stage::Running),
            self.at(Stage::Sending),
            self.at(Stage::Closing),
        )
    }
}

/// Counts of all callers' connections.
#[derive(Clone, Debug, Default)]
pub struct Exchanges {
    counts: Rc<Cell<Counts>>,
}

impl Exchanges {
    /// Returns the current counts.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    fn enter(&self, stage: Stage) {
        let mut counts = self.counts.get();
        counts.by_stage[stage as usize] += 1;
        self.counts.set(counts);
    }

    fn leave(&self, stage: Stage) {
        let mut counts = self.counts.get();
        counts.by_stage[stage as usize] -= 1;
        self.counts.set(counts);
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The socket took the complete response.
    Sent,
    /// The connection closed before the socket had taken the complete response.
    Cut,
    /// The connection closed before the request was received completely.
    Incomplete,
}

impl End {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            End::Sent => "sent",
            End::Cut => "cut",
            End::Incomplete => "incomplete",
        }
    }
}

/// Cause of the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The caller closed the connection, or it broke.
    Caller,
    /// This daemon ended a response that it could not complete.
    Aborted,
    /// This daemon closed the connection for a newer one.
    Replaced,
    /// This daemon exited.
    Stopped,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::Caller => "caller",
            Cause::Aborted => "aborted",
            Cause::Replaced => "replaced",
            Cause::Stopped => "stopped",
        }
    }
}

/// Progress of the exchanges on one connection. Reports an unfinished exchange when
/// dropped.
#[derive(Debug)]
pub struct Progress {
    exchanges: Exchanges,
    messages: UnboundedSender<Message>,
    stage: Cell<Stage>,
    /// Id of the current request.
    request: RefCell<String>,
    /// When the current request began or its latest bytes were received.
    received_at: Cell<Option<Instant>>,
    /// When bytes were last received.
    read_at: Cell<Option<Instant>>,
    /// Whether bytes were received after the current request.
    has_early_bytes: Cell<bool>,
    /// Bytes of the response's body that the HTTP library has taken.
    taken: Cell<u64>,
    /// Bytes of the response that were discarded without being taken.
    untaken: Cell<u64>,
    /// Bytes that the socket has taken since the request began, including heads and
    /// framing.
    written: Cell<u64>,
    /// Whether only the end of the connection marks the end of the current response.
    is_undelimited: Cell<bool>,
    ended_at: Cell<Option<Instant>>,
    sent_at: Cell<Option<Instant>>,
    cause: Cell<Cause>,
}

impl Progress {
    /// Creates the progress of a new connection.
    pub fn new(exchanges: &Exchanges, messages: &UnboundedSender<Message>) -> Rc<Progress> {
        exchanges.enter(Stage::Idle);
        Rc::new(Progress {
            exchanges: exchanges.clone(),
            messages: messages.clone(),
            stage: Cell::new(Stage::Idle),
            request: RefCell::default(),
            received_at: Cell::default(),
            read_at: Cell::default(),
            has_early_bytes: Cell::default(),
            taken: Cell::default(),
            untaken: Cell::default(),
            written: Cell::default(),
            is_undelimited: Cell::default(),
            ended_at: Cell::default(),
            sent_at: Cell::default(),
            cause: Cell::new(Cause::Stopped),
        })
    }

    /// Returns the stage of the connection.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns when the socket took the last byte of the latest response.
    pub fn sent_at(&self) -> Option<Instant> {
        self.sent_at.get()
    }

    /// Returns since when the body of a request has been awaited without receiving bytes.
    pub fn body_silent_since(&self) -> Option<Instant> {
        self.received_at.get().filter(|_| self.stage.get() == Stage::Body)
    }

    /// Returns when bytes were last received.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at.get()
    }

    /// Records that bytes were received.
    pub fn record_read(&self) {
        let now = Instant::now();
        self.received_at.set(Some(now));
        self.read_at.set(Some(now));
        match self.stage.get() {
            Stage::Idle => self.set_stage(Stage::Head),
            Stage::Running | Stage::Sending => self.has_early_bytes.set(true),
            Stage::Head | Stage::Body | Stage::Closing => {}
        }
    }

    /// Records that the head of a request was received.
    pub fn begin(&self, request: &str) {
        request.clone_into(&mut self.request.borrow_mut());
        // The head may have been received while the request before it was running.
        self.received_at.set(Some(Instant::now()));
        self.has_early_bytes.set(false);
        self.taken.set(0);
        self.untaken.set(0);
        self.written.set(0);
        self.is_undelimited.set(false);
        self.set_stage(Stage::Body);
    }

    /// Records that the current request was received completely.
    pub fn record_received(&self) {
        self.set_stage(Stage::Running);
    }

    /// Records that only the end of the connection marks the end of the current response.
    pub fn record_undelimited(&self) {
        self.is_undelimited.set(true);
    }

    /// Whether the caller would take an orderly end of the connection for the end of a response
    /// that is unfinished.
    pub fn must_reset(&self) -> bool {
        self.is_undelimited.get() && matches!(self.stage.get(), Stage::Running | Stage::Sending)
    }

    /// Records that the HTTP library has taken bytes of the response's body.
    pub fn record_taken(&self, bytes: usize) {
        self.taken.set(self.taken.get() + bytes as u64);
    }

    /// Records the end of the response's body, of which `untaken` bytes are discarded.
    pub fn end_body(&self, untaken: u64) {
        self.untaken.set(untaken);
        self.ended_at.set(Some(Instant::now()));
        self.set_stage(Stage::Sending);
    }

    /// Records that the socket has taken bytes.
    pub fn record_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    /// Records that the socket has taken all bytes written so far.
    pub fn record_flush(&self) {
        if self.stage.get() != Stage::Sending {
            return;
        }
        let now = Instant::now();
        self.sent_at.set(Some(now));
        let has_next = self.has_early_bytes.replace(false);
        self.set_stage(if has_next { Stage::Head } else { Stage::Idle });
        self.send(End::Sent);
        let waited = self.ended_at.get().map_or(Duration::ZERO, |it| now - it);
        if waited >= SLOW_CALLER_TIME {
            spdlog::info!("response sent late", kv: {
                request = self.request.borrow().as_str(),
                written = self.written.get(),
                waited_ms = waited.as_millis() as u64,
            });
        }
    }

    /// Records that the connection was closed for writing.
    pub fn close(&self) {
        self.set_stage(Stage::Closing);
    }

    /// Records the cause of the end of the connection.
    pub fn set_cause(&self, cause: Cause) {
        self.cause.set(cause);
    }

    fn set_stage(&self, stage: Stage) {
        self.exchanges.leave(self.stage.replace(stage));
        self.exchanges.enter(stage);
    }

    fn send(&self, end: End) {
        // Sending fails only while the daemon shuts down.
        let _ = self.messages.send(Message::Exchanged { end });
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let stage = self.stage.get();
        self.exchanges.leave(stage);
        match stage {
            Stage::Idle | Stage::Head | Stage::Closing => {}
            Stage::Body => {
                self.send(End::Incomplete);
                spdlog::info!("request incomplete", kv: {
                    request = self.request.borrow().as_str(),
                    by = self.cause.get().name(),
                });
            }
            Stage::Running | Stage::Sending => {
                self.send(End::Cut);
                let unwritten = self.taken.get().saturating_sub(self.written.get());
                spdlog::info!("response cut", kv: {
                    request = self.request.borrow().as_str(),
                    by = self.cause.get().name(),
                    written = self.written.get(),
                    left = unwritten + self.untaken.get(),
                });
            }
        }
    }
}
