//! Callers that take up a stream before it is known which entry describes the process that began
//! it.

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::origin::Entry;
use balance::origin::Key;

use super::Broker;
use super::queries::Waiting;
use crate::metrics;

/// How long an arrival waits for an entry.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Share of its time limit that a request waits at most, as a divisor.
const LIMIT_DIVISOR: u32 = 2;
/// Maximum number of arrivals that wait.
const MAX_ARRIVALS: usize = 1_024;

/// Arrivals that wait for entries.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    waiting: Vec<(Key, Waiting)>,
}

impl Broker {
    /// Whether the version of a stream may still turn out, or to be another one, when an entry is
    /// read.
    pub(super) fn awaits_entry(&self, entry: &Entry) -> bool {
        if entry.origin.is_unread() {
            return true;
        }
        self.awaits_registration(entry.origin.instance, entry.began_at())
    }

    /// Whether a process that has not stated its start, and that began a stream then, may turn out
    /// to be another one than the one that the entry described.
    pub(super) fn awaits_registration(&self, instance: Instance, began_at: Instant) -> bool {
        // Only instances that have not stated their start have the identity of an entry.
        let is_described = || self.pool.members().any(|it| it.instance == instance);
        !self.is_registered(began_at) && is_described()
    }

    /// Lets an arrival wait for the entry of the process that began its stream. Returns it if it
    /// can't.
    pub(super) fn await_entry(&mut self, key: Key, waiting: Waiting) -> Option<Waiting> {
        if self.unread_arrivals.waiting.len() >= MAX_ARRIVALS {
            return Some(waiting);
        }
        metrics::count("origin", "awaits_entry");
        self.unread_arrivals.waiting.push((key, waiting));
        None
    }

    /// Ends the waits for entries that were read, and those that have taken too long.
    pub(super) fn end_waits_for_entries(&mut self, now: Instant) {
        if self.unread_arrivals.waiting.is_empty() {
            return;
        }
        let arrivals = std::mem::take(&mut self.unread_arrivals.waiting);
        for (key, waiting) in arrivals {
            if waiting.reply.is_closed() {
                metrics::count("origin", "caller_left");
                continue;
            }
            let entry = self.origins.get(key, now);
            let is_awaited = entry.is_some_and(|it| self.awaits_entry(it));
            if is_awaited && now < waiting.since + max_wait(&waiting) {
                self.unread_arrivals.waiting.push((key, waiting));
            } else {
                self.resume_arrival(waiting, now);
            }
        }
    }
}

/// Returns how long an arrival waits, so that time is left in which it can be served.
fn max_wait(waiting: &Waiting) -> Duration {
    let limit = waiting.arrival.attributes.timeout;
    limit.map_or(MAX_WAIT, |it| MAX_WAIT.min(it / LIMIT_DIVISOR))
}
