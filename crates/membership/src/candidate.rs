//! How long a daemon waits before it does work that few daemons do on behalf of all.
//!
//! Designed for fleets of hundreds of daemons that start together or lose the lease holder:
//! if all of them read the lease row, these calls outnumber all other calls to the store.

use std::time::Duration;

use crate::digest::FANOUT;

/// Number of daemons of a large fleet that compete for the lease at once.
const CANDIDATES: usize = 3;
/// Additional time in a large fleet, in which signs of the holder take several gossip rounds.
const LARGE_FLEET_PATIENCE: Duration = Duration::from_millis(600);
/// Additional time per daemon that comes before.
const PATIENCE_PER_RANK: Duration = Duration::from_millis(200);
/// Bounds the time in which duties are left if all candidates have ended.
const MAX_PATIENCE: Duration = Duration::from_secs(5);

/// Returns how much longer a daemon waits for a sign of the lease holder. `preceding` daemons
/// of the `others` come before it.
pub fn lease_patience(preceding: usize, others: usize) -> Duration {
    if others <= FANOUT {
        return Duration::ZERO;
    }
    let excess = (preceding + 1).saturating_sub(CANDIDATES).min(others) as u32;
    (LARGE_FLEET_PATIENCE + PATIENCE_PER_RANK * excess).min(MAX_PATIENCE)
}
