//! Operators' configuration: workspaces, services and rules, as a sequence of
//! changes with increasing revisions.
//!
//! Contains validation, application and lookup, and the replica that each daemon
//! maintains. The crate does no I/O and does not depend on the administration
//! API.

pub mod catalog;
pub mod change;
pub mod log;
pub mod object;
pub mod replica;

mod error;

pub use error::Error;
