//! Starts the daemon and the stand-ins as processes on loopback, for the
//! demonstration and for tests of whole processes. For development only.

pub mod balancer;
pub mod caller;
pub mod cluster;
pub mod demo;
pub mod deployment;
pub mod load;
pub mod measure;
pub mod measure_ledger;
pub mod placed;
pub mod process;
pub mod replays;
pub mod scale;
pub mod traces;
