//! Why and how a daemon leaves.

use std::time::Duration;

/// A daemon's departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// A planned stop: everything in flight is finished first.
    Stop,
    /// The VM will be reclaimed after this time.
    Reclaim(Duration),
}
