//! Callers that take up a stream before it is known which entry describes the process that began
//! it.

use std::time::Duration;
use std::time::Instant;

use balance::origin::Entry;
use balance::origin::Key;

use super::Broker;
use super::identity::REGISTRATION_TIME;
use super::origins::Waiting;
use crate::metrics;

/// How long an arrival waits for an entry.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
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
        // Only instances that have not stated their start have the identity of an entry.
        let registered_at = entry.began_at() + REGISTRATION_TIME;
        let is_registered = self.list_complete_until.is_some_and(|it| registered_at <= it);
        !is_registered && self.pool.members().any(|it| it.instance == entry.origin.instance)
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
            let entry = self.origins.get(key, now);
            let is_awaited = entry.is_some_and(|it| self.awaits_entry(it));
            if is_awaited && now < waiting.since + MAX_WAIT && !waiting.reply.is_closed() {
                self.unread_arrivals.waiting.push((key, waiting));
            } else {
                self.resume_arrival(waiting, now);
            }
        }
    }
}
