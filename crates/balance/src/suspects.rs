//! Fingerprints of requests that may crash endpoints, to recognize repeats.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Number of crashes after which a request is rejected. A single crash may be
/// due to another request.
pub const CRASH_LIMIT: u32 = 2;
/// How long a request is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of requests remembered. At the limit, no crashes are recorded until
/// requests expire.
const MAX_REQUESTS: usize = 4_096;

/// Crash counts by request fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<u128, Crashes>,
}

#[derive(Clone, Debug)]
struct Crashes {
    /// Number of crashes that each daemon observed.
    by_daemon: HashMap<String, u32>,
    last: Instant,
}

impl Suspects {
    /// Merges the number of crashes that a daemon has observed for a request.
    /// Lower counts than the known one are ignored.
    pub fn merge_remote(&mut self, daemon: &str, fingerprint: u128, count: u32, now: Instant) {
        if self.by_fingerprint.len() >= MAX_REQUESTS {
            self.by_fingerprint.retain(|_, it| now - it.last < RETENTION);
        }
        if self.by_fingerprint.len() >= MAX_REQUESTS {
            return;
        }
        let crashes = self
            .by_fingerprint
            .entry(fingerprint)
            .or_insert_with(|| Crashes { by_daemon: HashMap::new(), last: now });
        let known = crashes.by_daemon.entry(daemon.to_owned()).or_default();
        if count > *known {
            *known = count;
            crashes.last = now;
        }
    }

    /// Records a crash that this daemon, named `daemon`, observed.
    pub fn record_crash(&mut self, daemon: &str, fingerprint: u128, now: Instant) {
        let previous =
            self.by_fingerprint.get(&fingerprint).and_then(|it| it.by_daemon.get(daemon)).copied();
        self.merge_remote(daemon, fingerprint, previous.unwrap_or(0) + 1, now);
    }

    /// Whether the request must be rejected.
    pub fn is_rejected(&self, fingerprint: u128, now: Instant) -> bool {
        self.count(fingerprint, now) >= CRASH_LIMIT
    }

    /// Returns the number of recent crashes that all daemons observed.
    pub fn count(&self, fingerprint: u128, now: Instant) -> u32 {
        let crashes = self.by_fingerprint.get(&fingerprint);
        let recent = crashes.filter(|it| now - it.last < RETENTION);
        recent.map_or(0, |it| it.by_daemon.values().sum())
    }

    /// Returns the recent crash counts that `daemon` observed, by fingerprint.
    pub fn observed_by(&self, daemon: &str, now: Instant) -> Vec<(u128, u32)> {
        let recent = self.by_fingerprint.iter().filter(|(_, it)| now - it.last < RETENTION);
        recent
            .filter_map(|(fingerprint, it)| {
                it.by_daemon.get(daemon).map(|count| (*fingerprint, *count))
            })
            .collect()
    }
}
