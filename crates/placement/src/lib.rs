//! Placement of a service's VMs: how many to run, in which availability zones and
//! classes, reclaimable or on demand, and when to start and stop them.
//!
//! Pure: maps a view and the time to orders with their reasons. Independent of
//! the cloud API and of how the lease row is stored.

pub mod lease;
pub mod mix;
pub mod plan;
pub mod size;
