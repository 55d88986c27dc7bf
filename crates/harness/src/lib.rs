//! Runs daemons and fakes as processes on loopback for the demo, end-to-end
//! tests and measurements. For development only.

pub mod balancer;
pub mod caller;
pub mod cluster;
pub mod demo;
pub mod deployment;
pub mod load;
pub mod measure;
pub mod measure_ledger;
pub mod placement;
pub mod process;
pub mod replays;
pub mod scale;
pub mod traces;
