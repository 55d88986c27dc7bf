//! Work that one daemon does at a time for all: the lease that says which,
//! reports of usage, orders for endpoints.
//!
//! Pure: inputs and time in, actions out. Times of the lease are counted from
//! the VM's boot, suspended time included.

pub mod clock;
pub mod demand;
pub mod lease;
pub mod order;
pub mod usage;
