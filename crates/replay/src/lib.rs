//! Replays traces against running processes.
//!
//! Sends each request and injects each fault at its scheduled time, then judges
//! the expected outcomes and builds a report.
//!
//! The crate neither starts nor kills processes. Faults that kill a VM are
//! passed to the [`drive::Host`] of whoever runs the replay.

pub mod answer;
pub mod drive;
pub mod error;
pub mod report;
pub mod targets;
pub mod trace;
pub mod verdict;

mod caller;
