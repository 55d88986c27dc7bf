//! Whether a daemon knows the endpoints well enough to conclude something from what it doesn't
//! know of.
//!
//! A daemon that was cut off or paused goes on with its former list, in which endpoints that
//! others use are missing. All times are counted from the VM's boot and include suspended time.

use std::time::Duration;

/// Age of the latest read of the endpoints by any daemon from which on the list is outdated. By
/// then a daemon that doesn't hear of reads has read itself, if it reaches the store.
const MAX_READ_AGE: Duration = Duration::from_secs(2);
/// Time between two ticks from which on the daemon was paused.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Time after a pause in which messages from before it are handled, and newer ones arrive.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);
/// Time within which a daemon that hears of a newer list has it.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Signs that the list of endpoints is outdated.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    ticked_at: Duration,
    caught_up_at: Duration,
    /// A newer list that others have, by its version, and when it became known.
    newer: Option<(u64, Duration)>,
}

impl Freshness {
    /// Creates the record of a daemon that starts.
    pub fn new(now: Duration) -> Freshness {
        Freshness { ticked_at: now, caught_up_at: now, newer: None }
    }

    /// Records that the daemon runs and has the list of this version.
    pub fn tick(&mut self, version: u64, now: Duration) {
        if self.is_paused(now) {
            self.caught_up_at = now + CATCH_UP_TIME;
        }
        self.ticked_at = now;
        self.newer = self.newer.filter(|(newer, _)| *newer > version);
    }

    /// Records that another daemon has a list of this version.
    pub fn observe_list(&mut self, version: u64, own: u64, now: Duration) {
        if version > own && self.newer.is_none() {
            self.newer = Some((version, now));
        }
    }

    /// Whether the list of this version contains the endpoints that others use. `read_age` is
    /// the age of the latest read by any daemon, as far as known.
    pub fn is_fresh(&self, version: u64, read_age: Option<Duration>, now: Duration) -> bool {
        let is_read = read_age.is_some_and(|it| it < MAX_READ_AGE);
        let newer = self.newer.filter(|(newer, _)| *newer > version);
        let is_behind = newer.is_some_and(|(_, since)| now >= since + MAX_LAG);
        is_read && !is_behind && !self.is_paused(now) && now >= self.caught_up_at
    }

    /// Whether another daemon is known to have a newer list than this version.
    pub fn knows_newer(&self, version: u64) -> bool {
        self.newer.is_some_and(|(newer, _)| newer > version)
    }

    fn is_paused(&self, now: Duration) -> bool {
        now >= self.ticked_at + MAX_TICK_GAP
    }
}
