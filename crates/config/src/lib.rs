//! What operators set: workspaces, services and rules, as a sequence of
//! changes with growing revisions.
//!
//! Pure: validation, applying, looking up, and the replica that each daemon
//! keeps. Does no I/O and knows no administration API.

pub mod catalog;
pub mod change;
pub mod log;
pub mod object;
pub mod replica;

mod error;

pub use error::Error;
