//! One workspace's token bucket, shared by all daemons.
//!
//! Each daemon counts what it admitted and hears the others' totals late. In
//! between it takes them to go on at their pace. One that is not heard any more
//! is taken to use its even share of rate and burst, so that daemons which are
//! cut off from each other stay within the limit together.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Silence after which another daemon is taken to use its even share, unless
/// set: several gossip periods.
const SILENT: Duration = Duration::from_millis(1_500);
/// Time over which another daemon's pace is averaged; some of its requests.
const PACE_OVER: Duration = Duration::from_secs(2);
/// Silence after which a daemon is taken to have ended; above the longest
/// freeze or cut after which it may still admit requests of the same window.
pub const ENDED: Duration = Duration::from_secs(12);

/// A limit: units a second and a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    pub burst: f64,
}

/// A bucket as one daemon sees it.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    silent: Duration,
    /// Units left; below zero when daemons admitted too much before they
    /// heard of each other.
    level: f64,
    filled_at: Instant,
    /// Units that this daemon has admitted since its start.
    admitted: f64,
    others: HashMap<String, Other>,
}

#[derive(Clone, Debug)]
struct Other {
    /// Units that it has admitted since its start, as last heard.
    admitted: f64,
    heard_at: Instant,
    /// Units that it admits in a second; its even share until it is known.
    pace: Option<f64>,
    /// Units taken from the level for it since it was heard.
    estimated: f64,
    estimated_at: Instant,
    /// Whether its share of the burst was taken since it was heard.
    has_burst: bool,
}

impl Bucket {
    /// A full bucket.
    pub fn new(limit: Limit, now: Instant) -> Bucket {
        Bucket {
            limit,
            level: limit.burst,
            filled_at: now,
            silent: SILENT,
            admitted: 0.0,
            others: HashMap::new(),
        }
    }

    /// Changes the limit; what has been used stays used.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit == limit {
            return;
        }
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Sets the silence after which another daemon's use is estimated.
    pub fn set_silence(&mut self, silent: Duration) {
        self.silent = silent;
    }

    /// Takes units for a request, or tells when they will be there.
    pub fn take(&mut self, units: f64, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        // A request larger than the burst is admitted from a full bucket.
        let wanted = units.min(self.limit.burst);
        if self.level >= wanted {
            self.level -= units;
            self.admitted += units;
            return Ok(());
        }
        let missing = wanted - self.level;
        let wait = if self.limit.rate > 0.0 { missing / self.limit.rate } else { f64::MAX };
        Err(Duration::from_secs_f64(wait.clamp(0.0, 3_600.0)))
    }

    /// Gives units back that a request took and did not use.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limit.burst);
        self.admitted -= units;
    }

    /// Units left at the last look; below zero when too many were admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units that this daemon has admitted since its start.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Hears the total of another daemon's incarnation.
    pub fn hear(&mut self, daemon: &str, admitted: f64, now: Instant) {
        self.fill(now);
        let mut pace = None;
        if let Some(other) = self.others.get(daemon) {
            let seen = admitted - other.admitted;
            self.level += other.estimated - seen;
            let passed = now.saturating_duration_since(other.heard_at).as_secs_f64();
            let weight = (passed / PACE_OVER.as_secs_f64()).min(1.0);
            let before = other.pace.unwrap_or(0.0);
            pace = if passed > 0.0 {
                Some(before + (seen / passed - before) * weight)
            } else {
                other.pace
            };
        }
        self.level = self.level.min(self.limit.burst);
        let other = Other {
            admitted,
            heard_at: now,
            pace,
            estimated: 0.0,
            estimated_at: now,
            has_burst: false,
        };
        self.others.insert(daemon.to_owned(), other);
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.level += passed * self.limit.rate;
        let count = (self.others.len() + 1) as f64;
        let share = self.limit.rate / count;
        for other in self.others.values_mut() {
            let until = now.min(other.heard_at + ENDED);
            let is_silent = now >= other.heard_at + self.silent;
            let pace = other.pace.unwrap_or(share).min(self.limit.rate);
            let pace = if is_silent { pace.max(share) } else { pace };
            let passed = until.saturating_duration_since(other.estimated_at).as_secs_f64();
            let mut units = passed * pace;
            if is_silent && !other.has_burst {
                other.has_burst = true;
                units += self.limit.burst / count;
            }
            other.estimated += units;
            other.estimated_at = other.estimated_at.max(until);
            self.level -= units;
        }
        self.others.retain(|_, it| now < it.heard_at + ENDED);
        self.level = self.level.min(self.limit.burst);
    }
}
