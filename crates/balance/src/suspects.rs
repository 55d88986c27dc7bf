//! Requests under which endpoints crashed, recognised when they come again.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Crashes after which a request is refused. One crash may be another's.
pub const LIMIT: u32 = 2;
/// Time for which a crash is remembered.
const KEEP: Duration = Duration::from_secs(120);
/// Most requests remembered.
const CAPACITY: usize = 4_096;

/// Crashes by the fingerprint of a request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_print: HashMap<u128, Crashes>,
}

#[derive(Clone, Debug)]
struct Crashes {
    /// Crashes that each daemon saw.
    seen: HashMap<String, u32>,
    last: Instant,
}

impl Suspects {
    /// Sets how many crashes a daemon saw.
    pub fn hear(&mut self, daemon: &str, print: u128, count: u32, now: Instant) {
        if self.by_print.len() >= CAPACITY {
            self.by_print.retain(|_, it| now - it.last < KEEP);
        }
        if self.by_print.len() >= CAPACITY {
            return;
        }
        let crashes = self
            .by_print
            .entry(print)
            .or_insert_with(|| Crashes { seen: HashMap::new(), last: now });
        let known = crashes.seen.entry(daemon.to_owned()).or_default();
        if count > *known {
            *known = count;
            crashes.last = now;
        }
    }

    /// Counts a crash that this daemon saw.
    pub fn count(&mut self, daemon: &str, print: u128, now: Instant) {
        let before = self.by_print.get(&print).and_then(|it| it.seen.get(daemon)).copied();
        self.hear(daemon, print, before.unwrap_or(0) + 1, now);
    }

    /// Whether the request is to be refused.
    pub fn is_refused(&self, print: u128, now: Instant) -> bool {
        self.by_print
            .get(&print)
            .is_some_and(|it| now - it.last < KEEP && it.seen.values().sum::<u32>() >= LIMIT)
    }

    /// What this daemon saw, to tell others.
    pub fn seen_by(&self, daemon: &str, now: Instant) -> Vec<(u128, u32)> {
        let recent = self.by_print.iter().filter(|(_, it)| now - it.last < KEEP);
        recent.filter_map(|(print, it)| it.seen.get(daemon).map(|count| (*print, *count))).collect()
    }
}
