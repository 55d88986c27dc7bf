//! A wall clock that ignores steps of the VM's time of day.

use std::time::Duration;

/// Largest change of the offset that counts as clock slew. A larger change is
/// a step.
const MAX_SLEW: Duration = Duration::from_millis(100);
/// Deviation from the peers' clocks above which this clock is set to theirs.
const MAX_PEER_DEVIATION: Duration = Duration::from_millis(300);

/// A wall clock derived from the time since boot and an offset.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Wall-clock time at boot, in milliseconds since the Unix epoch.
    offset_ms: i64,
}

impl Clock {
    /// Creates a clock from the time of day and the time since boot.
    pub fn new(wall_ms: i64, boot: Duration) -> Clock {
        Clock { offset_ms: wall_ms - boot.as_millis() as i64 }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self, boot: Duration) -> i64 {
        self.offset_ms + boot.as_millis() as i64
    }

    /// Adjusts the offset to slow corrections of the time of day.
    ///
    /// Returns the size in milliseconds of a step, which is not applied.
    pub fn observe(&mut self, wall_ms: i64, boot: Duration) -> Option<i64> {
        let change_ms = wall_ms - boot.as_millis() as i64 - self.offset_ms;
        if change_ms.unsigned_abs() <= MAX_SLEW.as_millis() as u64 {
            self.offset_ms += change_ms;
            return None;
        }
        Some(change_ms)
    }

    /// Adjusts the clock to the median of the peers' clocks if it deviates too
    /// far from them.
    ///
    /// `peer_offsets_ms` holds how far each peer's clock is ahead of this one; the
    /// slice is sorted in place. Fewer than two peers have no effect. Returns the
    /// applied adjustment in milliseconds.
    pub fn sync_with_peers(&mut self, peer_offsets_ms: &mut [i64]) -> Option<i64> {
        if peer_offsets_ms.len() < 2 {
            return None;
        }
        peer_offsets_ms.sort_unstable();
        let median = peer_offsets_ms[peer_offsets_ms.len() / 2];
        if median.unsigned_abs() <= MAX_PEER_DEVIATION.as_millis() as u64 {
            return None;
        }
        self.offset_ms += median;
        Some(median)
    }
}
