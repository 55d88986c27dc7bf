//! Continuous batching with a fixed number of slots. Sequences without a slot
//! wait in order of priority.

use std::collections::BTreeSet;
use std::io;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

/// Interval between keep-alives of a waiting sequence.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Slots and the queue of sequences waiting for them.
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

/// Position in the queue, ordered by priority number and then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ticket {
    priority: u8,
    number: u64,
}

/// Acquired slot, released on drop.
pub struct Slot<'a> {
    slots: &'a Slots,
}

impl Slots {
    /// Creates `capacity` free slots.
    pub fn new(capacity: usize) -> Slots {
        Slots { capacity, queue: Mutex::default(), freed: Condvar::new() }
    }

    /// Waits for a slot. Calls `keep_alive` periodically, and stops waiting if it
    /// returns an error.
    pub fn acquire(
        &self,
        priority: u8,
        mut keep_alive: impl FnMut() -> io::Result<()>,
    ) -> io::Result<Slot<'_>> {
        let mut queue = self.queue();
        let ticket = Ticket { priority, number: queue.next_ticket };
        queue.next_ticket += 1;
        queue.waiting.insert(ticket);
        while queue.running >= self.capacity || queue.waiting.first() != Some(&ticket) {
            let result = self.freed.wait_timeout(queue, KEEP_ALIVE_INTERVAL);
            let (guard, timeout) = result.unwrap_or_else(|poisoned| poisoned.into_inner());
            queue = guard;
            if timeout.timed_out() {
                drop(queue);
                let result = keep_alive();
                queue = self.queue();
                if let Err(error) = result {
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

    /// Returns the number of running sequences.
    pub fn running(&self) -> usize {
        self.queue().running
    }

    /// Returns the number of waiting sequences.
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
