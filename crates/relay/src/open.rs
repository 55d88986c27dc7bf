//! Bound on the number of callers' connections.
//!
//! Answers crowds that open connections and send nothing, or a part of a head or of a body.
//! Descriptors are left for endpoints, other daemons and the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::exchange::Cause;
use crate::exchange::Progress;
use crate::exchange::Stage;

/// Descriptors for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors for callers, as a divisor.
const DESCRIPTOR_DIVISOR: usize = 2;
/// Share of the memory for callers' connections, as a divisor.
const MEMORY_DIVISOR: usize = 3;
/// Memory of a connection with a part of a request's head, in bytes.
const CONNECTION_BYTES: usize = 24 * 1_024;
/// Number of connections that are accepted whatever the limits.
const MIN_CONNECTIONS: usize = 64;
/// How long a body may receive nothing before its connection can be closed for a newer one.
const BODY_SILENCE: Duration = Duration::from_millis(500);

/// Returns the maximum number of callers' connections of a process with this many descriptors
/// and this much memory.
pub fn capacity(descriptors: usize, memory_bytes: usize) -> usize {
    let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
    let by_memory = memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}

/// Callers' open connections.
#[derive(Clone, Debug)]
pub struct Connections {
    capacity: usize,
    open: Rc<RefCell<Vec<Open>>>,
    counts: Rc<Cell<Closed>>,
}

/// Connections that were closed since the start as there were too many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Closed {
    /// Connections without a complete request, closed for a newer one.
    pub unused: u64,
    /// New connections, while all others were in use.
    pub new: u64,
}

/// Kind of connection that can be closed for a newer one, in the order of closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// No complete head was received.
    Headless,
    /// The body of a request has stopped short.
    Silent,
}

/// Rank of a connection that can be closed. The lowest is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    kind: Kind,
    since: Instant,
    /// Whether a response was sent. The caller may not have received its end yet.
    has_sent: bool,
}

#[derive(Debug)]
struct Open {
    progress: Weak<Progress>,
    opened_at: Instant,
    task: AbortHandle,
}

impl Connections {
    /// Creates the bound.
    pub fn new(capacity: usize) -> Connections {
        Connections { capacity, open: Rc::default(), counts: Rc::default() }
    }

    /// Returns how many connections were closed.
    pub fn closed(&self) -> Closed {
        self.counts.get()
    }

    /// Returns whether a further connection fits. If there are too many, closes the one that has
    /// been without a complete head for the longest time, or else the one whose body has
    /// received nothing for the longest time.
    pub fn make_room(&self, now: Instant) -> bool {
        let mut open = self.open.borrow_mut();
        if open.len() < self.capacity {
            return true;
        }
        open.retain(|it| it.progress.strong_count() > 0);
        if open.len() < self.capacity {
            return true;
        }
        let mut counts = self.counts.get();
        let ranks = open.iter().enumerate().filter_map(|(at, it)| Some((it.rank(now)?, at)));
        let first = ranks.min();
        match first {
            Some((_, at)) => {
                open.swap_remove(at).close();
                counts.unused += 1;
            }
            None => counts.new += 1,
        }
        self.counts.set(counts);
        first.is_some()
    }

    /// Adds a connection that `task` serves.
    pub fn add(&self, progress: Weak<Progress>, task: AbortHandle, now: Instant) {
        self.open.borrow_mut().push(Open { progress, opened_at: now, task });
    }
}

impl Open {
    /// Returns the rank of the connection if it can be closed, as none of its requests runs.
    fn rank(&self, now: Instant) -> Option<Rank> {
        let progress = self.progress.upgrade()?;
        let sent_at = progress.sent_at();
        let has_sent = sent_at.is_some();
        match progress.stage() {
            Stage::Idle | Stage::Head => {
                let since = sent_at.unwrap_or(self.opened_at);
                Some(Rank { kind: Kind::Headless, since, has_sent })
            }
            Stage::Body => {
                let since = progress.body_silent_since()?;
                let is_silent = now.saturating_duration_since(since) >= BODY_SILENCE;
                is_silent.then_some(Rank { kind: Kind::Silent, since, has_sent })
            }
            Stage::Running | Stage::Sending | Stage::Closing => None,
        }
    }

    fn close(self) {
        if let Some(progress) = self.progress.upgrade() {
            progress.set_cause(Cause::Replaced);
        }
        self.task.abort();
    }
}
