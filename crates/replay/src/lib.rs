//! Replay of traces against running processes: arrivals and faults at their
//! times, then a verdict for each stated outcome and a report.
//!
//! Starts no process and ends none: what the trace says about that is given
//! to the one who runs the replay.

pub mod answer;
pub mod drive;
pub mod error;
pub mod report;
pub mod targets;
pub mod trace;
pub mod verdict;

mod caller;
