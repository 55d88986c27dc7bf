//! The lease under which one daemon places the VMs of all services.
//!
//! Safety rests on the row's version, by which only one writer wins, and on
//! the fencing number; time only decides when a silent holder is replaced.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Key of the lease's row.
pub const KEY: &str = "placement/lease";
/// Time for which an unchanged row keeps its holder.
pub const LAPSE: Duration = Duration::from_secs(15);

/// Content of the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Fencing number, which grows with every new holder.
    pub fence: u64,
    /// Name and incarnation of the holder, empty for nobody.
    pub holder: String,
    /// Grows with every renewal.
    pub renewals: u64,
}

/// A row as it was last seen changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Version of the row.
    pub version: u64,
    /// When this version was first seen.
    pub since: Duration,
}

/// What to write, or whom to leave it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this row on the condition of the version read.
    Write(Row),
    /// Another daemon holds the lease.
    Leave,
}

/// Decides on a row that was read. `candidate` says whether this daemon is
/// the one that should take a free lease.
pub fn step(now: Duration, row: &Row, seen: &Seen, me: &str, candidate: bool) -> Step {
    if row.holder == me {
        return Step::Write(Row { renewals: row.renewals + 1, ..row.clone() });
    }
    let free = row.holder.is_empty() || now.saturating_sub(seen.since) >= LAPSE;
    if free && candidate {
        return Step::Write(Row { fence: row.fence + 1, holder: me.to_owned(), renewals: 0 });
    }
    Step::Leave
}

/// The observation after reading a version.
pub fn observe(now: Duration, before: Option<Seen>, version: u64) -> Seen {
    match before {
        Some(seen) if seen.version == version => seen,
        _ => Seen { version, since: now },
    }
}
