//! Continuous batching by slots: a fixed number of sequences run at once and
//! the rest wait, best priority first.

use std::collections::BTreeSet;
use std::io;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

/// Longest wait without a sign of life.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Sequences running and waiting.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    queue: Mutex<Queue>,
    freed: Condvar,
}

#[derive(Debug, Default)]
struct Queue {
    next_ticket: u64,
    running: usize,
    waiting: BTreeSet<Ticket>,
}

/// Order of waiting: a smaller priority number first, then first come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ticket {
    priority: u8,
    number: u64,
}

/// A held slot, given back when dropped.
pub struct Slot<'a> {
    slots: &'a Slots,
}

impl Slots {
    /// `capacity` slots, all free.
    pub fn new(capacity: usize) -> Slots {
        Slots { capacity, queue: Mutex::default(), freed: Condvar::new() }
    }

    /// Waits for a slot; calls `waiting` now and then, whose error ends the wait.
    pub fn acquire(
        &self,
        priority: u8,
        mut waiting: impl FnMut() -> io::Result<()>,
    ) -> io::Result<Slot<'_>> {
        let mut queue = self.queue();
        let ticket = Ticket { priority, number: queue.next_ticket };
        queue.next_ticket += 1;
        queue.waiting.insert(ticket);
        while queue.running >= self.capacity || queue.waiting.first() != Some(&ticket) {
            let waited = self.freed.wait_timeout(queue, KEEP_ALIVE);
            let (woken, timeout) = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
            queue = woken;
            if timeout.timed_out() {
                drop(queue);
                let alive = waiting();
                queue = self.queue();
                if let Err(error) = alive {
                    queue.waiting.remove(&ticket);
                    self.freed.notify_all();
                    return Err(error);
                }
            }
        }
        queue.waiting.remove(&ticket);
        queue.running += 1;
        self.freed.notify_all();
        Ok(Slot { slots: self })
    }

    /// Sequences running now.
    pub fn running(&self) -> usize {
        self.queue().running
    }

    /// Sequences waiting now.
    pub fn waiting(&self) -> usize {
        self.queue().waiting.len()
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.queue().running -= 1;
        self.slots.freed.notify_all();
    }
}
