//! System clocks that the runtime does not provide.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns the time since boot, including suspended time.
pub fn since_boot() -> Duration {
    // The call fails only for clocks that the system does not support.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Returns the time of day in milliseconds since 1970.
pub fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}
