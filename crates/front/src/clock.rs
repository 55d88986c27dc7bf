//! Clocks of the VM that the runtime does not have.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Time since boot, suspended time included.
pub fn since_boot() -> Duration {
    // The call fails only for clocks that the system does not have.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Time of day in milliseconds since 1970.
pub fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}
