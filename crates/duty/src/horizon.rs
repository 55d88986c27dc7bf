//! Which usage windows a lease holder may record after the store has returned from an older
//! copy of itself.
//!
//! A window is reported with the counts that the store holds for it, so that all lease holders
//! report the same. A copy may lack the counts of a window that an earlier holder has reported.
//! They were written after the end of the window and before the store's era began, so only
//! windows that end later can't have been reported before.

use std::time::Duration;

use store::position;

use crate::clock::Clock;

/// Time after a moment by which a window has to end to be later on the clocks of all daemons:
/// twice their deviation from each other's median, less the time after which counts are final.
const CLOCK_MARGIN_MS: i64 = 400;

/// A moment at which an era had begun, as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Era of the store.
    pub era: u64,
    /// Unix time in milliseconds.
    pub begun_by_ms: i64,
}

/// What a daemon knows of the beginning of the store's era.
#[derive(Clone, Copy, Debug, Default)]
pub struct Horizon {
    /// Latest era; `None` until the store has stated one.
    era: Option<u64>,
    /// When a daemon had first seen the era, as time since boot.
    seen_at: Duration,
    /// The same by another daemon's clock, in Unix milliseconds.
    stored_ms: Option<i64>,
    is_stored: bool,
}

impl Horizon {
    /// Records that the store was in an era at a time since boot.
    pub fn observe(&mut self, era: u64, at: Duration) {
        if self.era.is_none_or(|it| it < era) {
            *self = Horizon { era: Some(era), seen_at: at, stored_ms: None, is_stored: false };
        } else if self.era == Some(era) {
            self.seen_at = self.seen_at.min(at);
        }
    }

    /// Merges what an earlier lease holder has stored. Returns what has to be stored in its
    /// place, if anything.
    pub fn merge_stored(&mut self, stored: Option<Start>, clock: &Clock) -> Option<Start> {
        let stored = stored.filter(|it| Some(it.era) == self.era);
        if let Some(stored) = stored {
            self.stored_ms = Some(stored.begun_by_ms);
        }
        self.is_stored = stored.is_some();
        if self.is_stored { None } else { self.start(clock) }
    }

    /// Records that this daemon has stored its knowledge at a position.
    pub fn record_stored(&mut self, position: u64) {
        self.is_stored = self.covers(position);
    }

    /// Returns the version that a row has while it is absent in the era that is known.
    pub fn absent(&self) -> u64 {
        position::absent(self.era.unwrap_or(0))
    }

    /// Whether it is known since when windows may be recorded.
    pub fn is_known(&self) -> bool {
        self.era.is_none() || self.is_stored
    }

    /// Whether a position of the store is in the era that is known.
    pub fn covers(&self, position: u64) -> bool {
        position::era(position) == self.era.unwrap_or(0)
    }

    /// Returns the time by which a window has to end that may have been recorded in an earlier
    /// era, in Unix milliseconds; `None` if the store states no eras.
    pub fn ends_ms(&self, clock: &Clock) -> Option<i64> {
        self.start(clock).map(|it| it.begun_by_ms + CLOCK_MARGIN_MS)
    }

    fn start(&self, clock: &Clock) -> Option<Start> {
        let own_ms = clock.now_ms(self.seen_at);
        let begun_by_ms = self.stored_ms.map_or(own_ms, |it| it.min(own_ms));
        self.era.map(|era| Start { era, begun_by_ms })
    }
}
