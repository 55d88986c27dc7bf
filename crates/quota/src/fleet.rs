//! The daemons that share a limit.

use std::time::Duration;

/// The daemons that share a limit, as far as one of them knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// Number of daemons, including this one. `None` if this one has just started and
    /// doesn't know the others yet.
    pub daemons: Option<usize>,
    /// Daemons, including this one, of which it is not known that they have been running
    /// for the whole window of the limit.
    pub recent: usize,
    /// How long this daemon has been running. The maximum if it started together with the
    /// whole fleet, so that nothing was used before.
    pub age: Duration,
}

impl Fleet {
    /// Returns a fleet that has been running for a long time.
    pub fn settled(daemons: usize) -> Fleet {
        Fleet { daemons: Some(daemons), recent: 0, age: Duration::MAX }
    }
}
