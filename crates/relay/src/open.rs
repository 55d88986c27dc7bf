//! Bound on the number of callers' connections.
//!
//! Answers crowds that open connections and send nothing or a part of a head. Descriptors are
//! left for endpoints, other daemons and the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;

use tokio::task::AbortHandle;
use tokio::time::Instant;

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
    /// Connections without a complete head, closed for a newer one.
    pub unused: u64,
    /// New connections, while all others were in use.
    pub new: u64,
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

    /// Returns whether a further connection fits. Closes the one that has been without a complete
    /// head for the longest time if there are too many.
    pub fn make_room(&self) -> bool {
        let mut open = self.open.borrow_mut();
        if open.len() < self.capacity {
            return true;
        }
        open.retain(|it| it.progress.strong_count() > 0);
        if open.len() < self.capacity {
            return true;
        }
        let mut counts = self.counts.get();
        let unused = open.iter().enumerate().filter_map(|(at, it)| Some((it.unused_since()?, at)));
        let oldest = unused.min();
        match oldest {
            Some((_, at)) => {
                open.swap_remove(at).task.abort();
                counts.unused += 1;
            }
            None => counts.new += 1,
        }
        self.counts.set(counts);
        oldest.is_some()
    }

    /// Adds a connection that `task` serves.
    pub fn add(&self, progress: Weak<Progress>, task: AbortHandle, now: Instant) {
        self.open.borrow_mut().push(Open { progress, opened_at: now, task });
    }
}

impl Open {
    /// Returns since when the connection has had no request in progress, if it has none.
    fn unused_since(&self) -> Option<Instant> {
        let progress = self.progress.upgrade()?;
        let is_unused = matches!(progress.stage(), Stage::Idle | Stage::Head);
        is_unused.then(|| progress.sent_at().unwrap_or(self.opened_at))
    }
}
