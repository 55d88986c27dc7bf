//! True time on a VM whose time of day may be stepped.

use std::time::Duration;

/// Largest change of the offset that is taken as a correction of the clock;
/// a larger one is a step.
const SLEW: Duration = Duration::from_millis(100);
/// Difference from the other daemons' clocks at which theirs are followed.
const DISAGREE: Duration = Duration::from_millis(300);

/// Offset of the time of day from the time since boot, without steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time of day at boot, in milliseconds since 1970.
    offset_ms: i64,
}

impl Clock {
    /// A clock set from the time of day and the time since boot.
    pub fn new(wall_ms: i64, boot: Duration) -> Clock {
        Clock { offset_ms: wall_ms - boot.as_millis() as i64 }
    }

    /// True time in milliseconds since 1970.
    pub fn now_ms(&self, boot: Duration) -> i64 {
        self.offset_ms + boot.as_millis() as i64
    }

    /// Follows slow corrections of the time of day; gives the size of a step
    /// that was not followed.
    pub fn observe(&mut self, wall_ms: i64, boot: Duration) -> Option<i64> {
        let moved = wall_ms - boot.as_millis() as i64 - self.offset_ms;
        if moved.unsigned_abs() <= SLEW.as_millis() as u64 {
            self.offset_ms += moved;
            return None;
        }
        Some(moved)
    }

    /// Follows the other daemons where most of them disagree with this clock.
    /// `ahead_ms` are the leads of their clocks.
    pub fn agree(&mut self, ahead_ms: &mut [i64]) -> Option<i64> {
        if ahead_ms.len() < 2 {
            return None;
        }
        ahead_ms.sort_unstable();
        let median = ahead_ms[ahead_ms.len() / 2];
        if median.unsigned_abs() <= DISAGREE.as_millis() as u64 {
            return None;
        }
        self.offset_ms += median;
        Some(median)
    }
}
