//! The lease that lets a single daemon place the VMs of all services.
//!
//! Safety rests on compare-and-swap by the row's version, which lets only one
//! writer win, and on the fencing token. Time only decides when a silent lease
//! holder is replaced.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Key of the lease row.
pub const KEY: &str = "placement/lease";
/// Time after which a lease expires if its row doesn't change.
pub const EXPIRY: Duration = Duration::from_secs(15);

/// Content of the lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Fencing token, incremented with every new holder.
    pub fence: u64,
    /// Name and incarnation of the holder; empty if there is none.
    pub holder: String,
    /// Number of renewals by the holder.
    pub renewals: u64,
}

/// The latest observed version of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Version of the row.
    pub version: u64,
    /// When this version was first observed.
    pub since: Duration,
}

/// The action to take after reading the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this row if the version read is still current.
    Write(Row),
    /// Leave the row as it is.
    Skip,
}

/// Decides what to do with the row that was read: renew the lease if `daemon`
/// holds it, or acquire it if it is free and `is_candidate`. `is_candidate` says
/// whether `daemon` is the one that should acquire a free lease.
pub fn step(
    now: Duration,
    row: &Row,
    observation: &Observation,
    daemon: &str,
    is_candidate: bool,
) -> Step {
    if row.holder == daemon {
        return Step::Write(Row { renewals: row.renewals + 1, ..row.clone() });
    }
    let is_free = row.holder.is_empty() || now.saturating_sub(observation.since) >= EXPIRY;
    if is_free && is_candidate {
        return Step::Write(Row { fence: row.fence + 1, holder: daemon.to_owned(), renewals: 0 });
    }
    Step::Skip
}

/// Returns the observation after reading `version`. The time of the previous
/// observation is kept if the version is unchanged.
pub fn observe(now: Duration, previous: Option<Observation>, version: u64) -> Observation {
    match previous {
        Some(observation) if observation.version == version => observation,
        _ => Observation { version, since: now },
    }
}
