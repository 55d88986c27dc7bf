//! Callers that take up a stream before it is known which entry describes the process that began
//! it.

use std::time::Duration;
use std::time::Instant;

use balance::origin::Entry;
use relay::admission::Arrival;

use super::Broker;
use super::origins::stream_key;
use super::queries::Waiting;
use crate::metrics;

/// How long an arrival waits for an entry. A list is complete only by its latest read, and those of
/// a single daemon are up to 1.7 s apart.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Share of its time limit that a request waits at most, as a divisor.
const LIMIT_DIVISOR: u32 = 2;
/// Maximum number of arrivals that wait.
const MAX_ARRIVALS: usize = 1_024;

/// Arrivals that wait for entries.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    waiting: Vec<Waiting>,
}

impl Broker {
    /// Whether the version of a stream may still turn out, or to be another one, when an entry is
    /// read.
    pub(super) fn awaits_entry(&self, entry: &Entry) -> bool {
        entry.origin.is_unread() || !entry.is_settled
    }

    /// Whether it may turn out at which version the stream began that an arrival takes up, once
    /// the entries of all processes have been read that were running at `since`.
    pub(super) fn awaits_entries(&self, arrival: &Arrival, since: Instant, now: Instant) -> bool {
        let Some(found) = self.take_up(arrival) else { return false };
        let key = stream_key(&found, &arrival.attributes);
        match key.and_then(|it| self.origins.get(it, now)) {
            Some(entry) => self.awaits_entry(entry),
            None => !self.is_registered(since) && self.sole_version(&found, now).is_some(),
        }
    }

    /// Lets an arrival wait for entries. Returns it if it can't.
    pub(super) fn await_entries(&mut self, waiting: Waiting) -> Option<Waiting> {
        if self.unread_arrivals.waiting.len() >= MAX_ARRIVALS {
            return Some(waiting);
        }
        metrics::count("origin", "awaits_entry");
        self.unread_arrivals.waiting.push(waiting);
        None
    }

    /// Ends the waits for entries that were read, and those that have taken too long.
    pub(super) fn end_waits_for_entries(&mut self, now: Instant) {
        if self.unread_arrivals.waiting.is_empty() {
            return;
        }
        let arrivals = std::mem::take(&mut self.unread_arrivals.waiting);
        for waiting in arrivals {
            if waiting.reply.is_closed() {
                metrics::count("origin", "caller_left");
                continue;
            }
            let is_awaited = self.awaits_entries(&waiting.arrival, waiting.since, now);
            if is_awaited && now < waiting.since + max_wait(&waiting) {
                self.unread_arrivals.waiting.push(waiting);
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
