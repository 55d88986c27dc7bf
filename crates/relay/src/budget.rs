//! Bound on the bytes of bodies that the process keeps.
//!
//! Answers crowds of callers that send bodies of legal size, many at once, and stop short of
//! their end, and endpoints whose answers have no end. Bytes are reserved as they are kept.
//! While there are too few, bodies whose callers are late are given up first, and further ones
//! are refused. An answer waits; if that takes long, the largest incomplete answer is given up.

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
/// Share of the capacity that is left to small bodies and answers, as a divisor, so that a few
/// large ones don't keep out ordinary callers.
const SMALL_DIVISOR: usize = 4;
/// Share of the capacity that is left to endpoints' answers, as a divisor, so that callers'
/// bodies can't fill it: what an answer holds has run already.
const ANSWERS_DIVISOR: usize = 8;
/// Maximum size of a body that counts as small.
const SMALL_BYTES: usize = 64 * 1_024;
/// Maximum size of an answer that counts as small.
pub const SMALL_ANSWER_BYTES: usize = 16 * 1_024;
/// How long a caller may send nothing before it is late.
const PATIENCE: Duration = Duration::from_millis(500);
/// How long an answer waits for others to end before the largest one is given up.
const ANSWER_PATIENCE: Duration = Duration::from_millis(200);
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
    /// Incomplete answers that were given up since the start because they were the largest.
    pub evicted_answers: u64,
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
    /// Incomplete answers of endpoints, by number of the reservation.
    answers: HashMap<u64, Answer>,
    next_number: u64,
}

#[derive(Debug)]
struct Answer {
    bytes: usize,
    eviction: Arc<Notify>,
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
    kind: Kind,
    is_complete: bool,
    /// Since when there are too few bytes for it.
    short_since: Option<Instant>,
    eviction: Arc<Notify>,
}

/// Who sends a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Caller,
    Endpoint,
}

impl Budget {
    /// Creates the budget of a process with this much memory, in bytes.
    pub fn new(memory_bytes: usize) -> Budget {
        let capacity = memory_bytes / MEMORY_DIVISOR;
        let state = State {
            capacity,
            usage: Usage::default(),
            receiving: HashMap::new(),
            answers: HashMap::new(),
            next_number: 0,
        };
        Budget { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the current use.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Begins a body that a caller sends. It may be evicted until it is complete.
    pub fn receive(&self, now: Instant) -> Reservation {
        let reservation = self.reserve(Kind::Caller);
        let receiving =
            Receiving { bytes: 0, due: now + PATIENCE, eviction: reservation.eviction.clone() };
        self.lock().receiving.insert(reservation.number, receiving);
        reservation
    }

    /// Begins a body that an endpoint sends. Until it is complete, it may be evicted for others
    /// if it is the largest.
    pub fn buffer(&self) -> Reservation {
        let reservation = self.reserve(Kind::Endpoint);
        let answer = Answer { bytes: 0, eviction: reservation.eviction.clone() };
        self.lock().answers.insert(reservation.number, answer);
        reservation
    }

    fn reserve(&self, kind: Kind) -> Reservation {
        let mut state = self.lock();
        state.next_number += 1;
        Reservation {
            budget: self.clone(),
            number: state.next_number,
            bytes: 0,
            kind,
            is_complete: false,
            short_since: None,
            eviction: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether a body may grow to `bytes` once `freed` bytes of others are given back.
    fn fits(&self, body: &Reservation, freed: usize, bytes: usize) -> bool {
        let others = self.usage.bytes - body.bytes - freed;
        let left = match body.kind {
            Kind::Endpoint if bytes > SMALL_ANSWER_BYTES && !self.leaves_share(body, bytes) => {
                return false;
            }
            Kind::Endpoint => 0,
            Kind::Caller if bytes > SMALL_BYTES => self.capacity / SMALL_DIVISOR,
            Kind::Caller => self.capacity / ANSWERS_DIVISOR,
        };
        // A single body is served whatever its size.
        others == 0 || others + bytes + left <= self.capacity
    }

    /// Whether the large incomplete answers leave a share to small bodies if one of them grows
    /// to `bytes`.
    fn leaves_share(&self, answer: &Reservation, bytes: usize) -> bool {
        let others = self.answers.iter().filter(|(number, _)| **number != answer.number);
        let large: usize =
            others.map(|(_, it)| it.bytes).filter(|it| *it > SMALL_ANSWER_BYTES).sum();
        large == 0 || large + bytes <= self.capacity - self.capacity / SMALL_DIVISOR
    }

    /// Makes room for a body to grow to `bytes`, and returns whether there is
    /// enough. Nothing is given up if it would not be enough.
    fn make_room(&mut self, body: &Reservation, bytes: usize, now: Instant) -> bool {
        let late: usize = self.late(body.number, now).map(|(_, it)| it.bytes).sum();
        if !self.fits(body, late, bytes) {
            return false;
        }
        while !self.fits(body, 0, bytes) {
            if !self.evict(body.number, now) {
                return false;
            }
        }
        true
    }

    /// Gives up the largest incomplete answers until one can grow to `bytes`. Returns whether
    /// there is enough room; the answer itself may be the largest.
    fn make_room_among_answers(&mut self, body: &Reservation, bytes: usize) -> bool {
        while !self.fits(body, 0, bytes) {
            let large = self.answers.iter().filter(|(_, it)| it.bytes > SMALL_ANSWER_BYTES);
            let largest = large.max_by_key(|(_, it)| it.bytes).map(|(number, _)| *number);
            let Some(evicted) = largest.and_then(|it| self.answers.remove(&it)) else {
                return false;
            };
            self.usage.bytes -= evicted.bytes;
            self.usage.bodies -= 1;
            self.usage.evicted_answers += 1;
            evicted.eviction.notify_one();
            if largest == Some(body.number) {
                return false;
            }
        }
        true
    }

    /// Whether a body is incomplete and was not given up.
    fn is_kept(&self, body: &Reservation) -> bool {
        match body.kind {
            Kind::Caller => self.receiving.contains_key(&body.number),
            Kind::Endpoint => self.answers.contains_key(&body.number),
        }
    }

    /// Records how much an incomplete body uses.
    fn record(&mut self, body: &Reservation) {
        if let Some(receiving) = self.receiving.get_mut(&body.number) {
            receiving.bytes = body.bytes;
        }
        if let Some(answer) = self.answers.get_mut(&body.number) {
            answer.bytes = body.bytes;
        }
    }

    /// Forgets an incomplete body. Returns whether it was kept.
    fn remove(&mut self, body: &Reservation) -> bool {
        match body.kind {
            Kind::Caller => self.receiving.remove(&body.number).is_some(),
            Kind::Endpoint => self.answers.remove(&body.number).is_some(),
        }
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
        if !self.is_complete && !state.is_kept(self) {
            return Err(Shortage);
        }
        if !state.make_room(self, bytes, now) {
            let since = *self.short_since.get_or_insert(now);
            let is_patient = self.kind == Kind::Caller || now < since + ANSWER_PATIENCE;
            if is_patient || !state.make_room_among_answers(self, bytes) {
                state.usage.refused += 1;
                return Err(Shortage);
            }
        }
        self.short_since = None;
        state.usage.bodies += usize::from(self.bytes == 0);
        state.usage.bytes += bytes - self.bytes;
        self.bytes = bytes;
        state.record(self);
        Ok(())
    }

    /// Gives back what is reserved beyond `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let mut state = self.budget.lock();
        if bytes >= self.bytes || !state.is_kept(self) {
            return;
        }
        state.usage.bytes -= self.bytes - bytes;
        state.usage.bodies -= usize::from(bytes == 0);
        self.bytes = bytes;
        state.record(self);
    }

    /// Whether the body was given up.
    pub fn is_evicted(&self) -> bool {
        !self.is_complete && !self.budget.lock().is_kept(self)
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
        if !self.is_complete && !self.budget.lock().remove(self) {
            return Err(Shortage);
        }
        self.is_complete = true;
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
        let is_evicted = !self.is_complete && !state.remove(self);
        if !is_evicted && self.bytes > 0 {
            state.usage.bytes -= self.bytes;
            state.usage.bodies -= 1;
        }
    }
}
