//! Reconstructs the timeline of a single request from the daemons' log lines.
//!
//! The crate performs no I/O: it takes log lines and returns text.

pub mod cause;
pub mod record;
pub mod timeline;
