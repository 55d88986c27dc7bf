//! Which VMs a service runs on: how many, in which availability zones and
//! classes, reclaimable or on-demand, and when to start and stop them.
//!
//! Pure: views and the time in, orders with their reasons out. Knows neither
//! the cloud API nor the lease's row.

pub mod lease;
pub mod mix;
pub mod plan;
pub mod size;
