//! Requests that wait for what the accounting daemons of endpoints know, for at most a few
//! milliseconds each.
//!
//! Answers loads at which asking pays, and failures in which it can't: a daemon that didn't
//! answer in time isn't waited for again for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use relay::admission::Arrival;
use relay::admission::Decision;
use tokio::sync::oneshot;

/// How long a request waits for accounting daemons.
pub const MAX_WAIT: Duration = Duration::from_millis(8);
/// How long a daemon that didn't answer in time isn't asked again, unless it answers late.
const SILENCE: Duration = Duration::from_millis(500);
/// Time of a wait from which on this daemon itself was held up, so that answers may have arrived.
const HELD_UP: Duration = MAX_WAIT.saturating_mul(2);
/// Maximum number of requests that wait at the same time.
const MAX_WAITING: usize = 256;

/// A request that waits. Nothing has been decided on it.
#[derive(Debug)]
pub struct Waiting {
    /// The request.
    pub arrival: Arrival,
    /// Channel for the decision.
    pub reply: oneshot::Sender<Decision>,
    /// Ids of the prompt parts that were asked about.
    pub parts: Vec<u64>,
    /// When the question was asked.
    pub since: Instant,
    /// Daemons that have not answered.
    pub unanswered: Vec<SocketAddr>,
}

/// Waiting requests, by the number of their question.
#[derive(Debug, Default)]
pub struct Asking {
    waiting: HashMap<u64, Waiting>,
    last_number: u64,
    silent_until: HashMap<SocketAddr, Instant>,
}

impl Asking {
    /// Whether a further request may wait.
    pub fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Returns how long until the next request has waited long enough, if any waits.
    pub fn due_in(&self, now: Instant) -> Option<Duration> {
        let earliest = self.waiting.values().map(|it| it.since).min()?;
        Some((earliest + MAX_WAIT).saturating_duration_since(now))
    }

    /// Whether the daemon may be asked: it has not been silent lately.
    pub fn may_ask(&self, daemon: SocketAddr, now: Instant) -> bool {
        self.silent_until.get(&daemon).is_none_or(|until| now >= *until)
    }

    /// Lets a request wait. Returns the number of its question.
    pub fn add(&mut self, waiting: Waiting) -> u64 {
        self.last_number += 1;
        self.waiting.insert(self.last_number, waiting);
        self.last_number
    }

    /// Returns the parts that a question is about, if its request still waits.
    pub fn parts(&self, number: u64) -> Option<&[u64]> {
        self.waiting.get(&number).map(|it| it.parts.as_slice())
    }

    /// Records that a daemon has answered, in time or late, so that it is asked again.
    pub fn record_response(&mut self, from: SocketAddr) {
        self.silent_until.remove(&from);
    }

    /// Records an answer. Returns the request if all daemons have answered.
    pub fn record_answer(&mut self, number: u64, from: SocketAddr) -> Option<Waiting> {
        let waiting = self.waiting.get_mut(&number)?;
        waiting.unanswered.retain(|it| *it != from);
        if !waiting.unanswered.is_empty() {
            return None;
        }
        self.waiting.remove(&number)
    }

    /// Returns the requests that have waited long enough, in the order of their arrival, and
    /// records the daemons that have not answered as silent.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Waiting> {
        let is_overdue = |it: &Waiting| now >= it.since + MAX_WAIT;
        let overdue = self.waiting.iter().filter(|(_, it)| is_overdue(it));
        let mut numbers: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        let taken: Vec<Waiting> = numbers.iter().filter_map(|it| self.waiting.remove(it)).collect();
        self.silent_until.retain(|_, until| now < *until);
        let in_time = taken.iter().filter(|it| now < it.since + HELD_UP);
        for daemon in in_time.flat_map(|it| &it.unanswered) {
            self.silent_until.insert(*daemon, now + SILENCE);
        }
        taken
    }
}
