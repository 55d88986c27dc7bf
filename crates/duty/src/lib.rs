//! Leader tasks: the lease that elects the leader, usage reports and orders for
//! endpoints.
//!
//! The crate performs no I/O: inputs and times are passed in, actions are
//! returned. Lease times count from the VM's boot and include suspended time.

pub mod book;
pub mod clock;
pub mod demand;
pub mod fleet;
pub mod horizon;
pub mod lease;
pub mod order;
pub mod reporting;
pub mod usage;
