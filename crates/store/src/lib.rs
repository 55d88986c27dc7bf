//! Access to the platform: the transactional table, the object store, the
//! cloud API and the list of VMs.
//!
//! The traits are the only edge through which the daemon reaches the
//! platform. `client` speaks HTTP, `memory` keeps everything in this process.

pub mod client;
pub mod memory;
pub mod objects;
pub mod table;
pub mod vm;

mod error;

pub use error::Error;
