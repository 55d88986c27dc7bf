//! Access to the platform: the transactional table, the object store, the
//! cloud API and the list of VMs.
//!
//! The daemon accesses the platform only through the traits of this crate.
//! `client` implements them over HTTP, `memory` in this process.

pub mod client;
pub mod memory;
pub mod objects;
pub mod position;
pub mod table;
pub mod vm;

mod error;

pub use error::Error;
