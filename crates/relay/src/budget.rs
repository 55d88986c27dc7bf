//! Bound on the bytes of bodies that the process keeps.
//!
//! Answers crowds of callers that send bodies of legal size, many at once, and stop short of
//! their end. Bytes are reserved as they are kept. While there are too few, bodies whose
//! callers are late are given up first, and further ones are refused.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of the process's memory for bodies, as a divisor. The remainder is for state,
/// buffers of connections and what the allocator holds.
const MEMORY_DIVISOR: usize = 5;
/// Share of the capacity that is left to small bodies, as a divisor, so that a few large ones
/// don't keep out ordinary callers.
const SMALL_DIVISOR: usize = 4;
/// Share of the capacity that is left to endpoints' answers, as a divisor, so that callers'
/// bodies can't fill it: what an answer holds has run already.
const ANSWERS_DIVISOR: usize = 8;
/// Maximum size of a body that counts as small.
const SMALL_BYTES: usize = 64 * 1_024;
/// How long a caller may send nothing before it is late.
const PATIENCE: Duration = Duration::from_millis(500);
/// Rate below which a caller is late.
const MIN_BYTES_PER_S: f64 = 32.0 * 1_024.0;

/// Bytes of bodies that the process keeps.
#[derive(Clone, Debug)]
pub struct Budget {
    state: Arc<Mutex<State>>,
}

/// Use of the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that are reserved.
    pub bytes: usize,
    /// Bodies for which bytes are reserved.
    pub bodies: usize,
    /// Bodies that were refused since the start.
    pub refused: u64,
    /// Bodies that were given up since the start because their callers were late.
    pub evicted: u64,
}

/// The budget has too few bytes left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage;

#[derive(Debug)]
struct State {
    capacity: usize,
    usage: Usage,
    /// Bodies that callers are sending, by number of the reservation.
    receiving: HashMap<u64, Receiving>,
    next_number: u64,
}

#[derive(Debug)]
struct Receiving {
    bytes: usize,
    /// When the caller is late unless it sends more.
    due: Instant,
    eviction: Arc<Notify>,
}

/// Bytes that are reserved for one body, until dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    number: u64,
    bytes: usize,
    is_evictable: bool,
    eviction: Arc<Notify>,
}

impl Budget {
    /// Creates the budget of a process with this much memory, in bytes.
    pub fn new(memory_bytes: usize) -> Budget {
        let capacity = memory_bytes / MEMORY_DIVISOR;
        let state =
            State { capacity, usage: Usage::default(), receiving: HashMap::new(), next_number: 0 };
        Budget { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the current use.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Begins a body that a caller sends. It may be evicted until it is complete.
    pub fn receive(&self, now: Instant) -> Reservation {
        let reservation = self.reserve(true);
        let receiving =
            Receiving { bytes: 0, due: now + PATIENCE, eviction: reservation.eviction.clone() };
        self.lock().receiving.insert(reservation.number, receiving);
        reservation
    }

    /// Begins a body that an endpoint sends. It is not evicted.
    pub fn buffer(&self) -> Reservation {
        self.reserve(false)
    }

    fn reserve(&self, is_evictable: bool) -> Reservation {
        let mut state = self.lock();
        state.next_number += 1;
        Reservation {
            budget: self.clone(),
            number: state.next_number,
            bytes: 0,
            is_evictable,
            eviction: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether a body may grow to `bytes` beside the `others` that are reserved.
    fn fits(&self, others: usize, bytes: usize, is_answer: bool) -> bool {
        let left = match is_answer {
            true => 0,
            false if bytes > SMALL_BYTES => self.capacity / SMALL_DIVISOR,
            false => self.capacity / ANSWERS_DIVISOR,
        };
        // A single body is served whatever its size.
        others == 0 || others + bytes + left <= self.capacity
    }

    /// Makes room for a body to grow to `bytes`, and returns whether there is
    /// enough. Nothing is given up if it would not be enough.
    fn make_room(&mut self, body: &Reservation, bytes: usize, now: Instant) -> bool {
        let is_answer = !body.is_evictable;
        let late: usize = self.late(body.number, now).map(|(_, it)| it.bytes).sum();
        if !self.fits(self.usage.bytes - body.bytes - late, bytes, is_answer) {
            return false;
        }
        while !self.fits(self.usage.bytes - body.bytes, bytes, is_answer) {
            if !self.evict(body.number, now) {
                return false;
            }
        }
        true
    }

    /// Returns the bodies that are late, except `number`.
    fn late(&self, number: u64, now: Instant) -> impl Iterator<Item = (&u64, &Receiving)> {
        let others = self.receiving.iter().filter(move |(other, _)| **other != number);
        others.filter(move |(_, it)| it.bytes > 0 && it.due <= now)
    }

    /// Gives up the body that is late for the longest time, except `number`. Returns whether
    /// there was one.
    fn evict(&mut self, number: u64, now: Instant) -> bool {
        let latest = self.late(number, now).min_by_key(|(_, it)| it.due);
        let Some(latest) = latest.map(|(other, _)| *other) else {
            return false;
        };
        if let Some(evicted) = self.receiving.remove(&latest) {
            self.usage.bytes -= evicted.bytes;
            self.usage.bodies -= 1;
            self.usage.evicted += 1;
            evicted.eviction.notify_one();
        }
        true
    }
}

impl Reservation {
    /// Reserves `bytes` in all.
    pub fn grow(&mut self, bytes: usize, now: Instant) -> Result<(), Shortage> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let mut state = self.budget.lock();
        if self.is_evictable && !state.receiving.contains_key(&self.number) {
            return Err(Shortage);
        }
        if !state.make_room(self, bytes, now) {
            state.usage.refused += 1;
            return Err(Shortage);
        }
        state.usage.bodies += usize::from(self.bytes == 0);
        state.usage.bytes += bytes - self.bytes;
        self.bytes = bytes;
        if let Some(receiving) = state.receiving.get_mut(&self.number) {
            receiving.bytes = bytes;
        }
        Ok(())
    }

    /// Records that the caller has sent bytes.
    pub fn record_received(&self, bytes: usize, now: Instant) {
        if let Some(receiving) = self.budget.lock().receiving.get_mut(&self.number) {
            let credit = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S);
            // A pause counts for at most `PATIENCE`, so that a caller that sends again is in time.
            let since = now.checked_sub(PATIENCE).map_or(receiving.due, |it| it.max(receiving.due));
            receiving.due = (since + credit).min(now + PATIENCE);
        }
    }

    /// Records that the body is complete. Returns an error if it was evicted.
    pub fn complete(&mut self) -> Result<(), Shortage> {
        let was_receiving = self.budget.lock().receiving.remove(&self.number).is_some();
        if self.is_evictable && !was_receiving {
            return Err(Shortage);
        }
        self.is_evictable = false;
        Ok(())
    }

    /// Waits until the body is evicted.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let was_receiving = state.receiving.remove(&self.number).is_some();
        let is_evicted = self.is_evictable && !was_receiving;
        if !is_evicted && self.bytes > 0 {
            state.usage.bytes -= self.bytes;
            state.usage.bodies -= 1;
        }
    }
}
