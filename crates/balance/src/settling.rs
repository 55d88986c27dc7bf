//! The time after an outage or a return of the store in which entries may be missing although
//! their endpoints are live.
//!
//! It ends for all daemons at once, no matter when each of them notices that an entry is
//! missing: daemons tell each other how long ago the store became available again.

use std::time::Duration;
use std::time::Instant;

/// How long missing entries may still be written again. Live endpoints do so within two
/// seconds; the remainder is the time until a daemon has read from the store again.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(1_500);

/// The latest return of the store from an older copy, as far as a daemon knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settling {
    /// Latest era of the store; 0 if it has stated none.
    era: u64,
    /// When the era began. `None` if that was before any known daemon's first read.
    era_since: Option<Instant>,
}

impl Settling {
    /// Records the era of a response of the store.
    pub fn observe(&mut self, era: u64, now: Instant) {
        if era <= self.era {
            return;
        }
        let is_return = self.era > 0;
        *self = Settling { era, era_since: is_return.then_some(now) };
    }

    /// Records when an era began according to another daemon.
    pub fn merge_remote(&mut self, era: u64, since: Instant) {
        if era < self.era {
            return;
        }
        let known = self.era_since.filter(|_| era == self.era);
        let since = known.map_or(since, |it| it.min(since));
        *self = Settling { era, era_since: Some(since) };
    }

    /// Returns how long ago an era began; `None` if that is unknown or it isn't the latest.
    pub fn era_age(&self, era: u64, now: Instant) -> Option<Duration> {
        let since = self.era_since.filter(|_| era == self.era)?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns the time until which missing entries may still be written again.
    ///
    /// `reads_since` is the start of the current period in which the store was read without
    /// interruption, `None` if there is none before `now`.
    pub fn ends_at(&self, reads_since: Option<Instant>, now: Instant) -> Instant {
        let reads_since = reads_since.unwrap_or(now);
        let available_since = self.era_since.map_or(reads_since, |it| it.max(reads_since));
        available_since + EXPIRY_GRACE
    }
}
