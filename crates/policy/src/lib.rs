//! Decision logic for routing, admission, retries and recovery, free of I/O.
//!
//! Each decision depends only on the state passed in and is returned together
//! with its reason, so a logged input reproduces the same decision offline.

pub mod admission;
pub mod blocks;
pub mod budget;
pub mod handover;
pub mod hints;
pub mod pool;
pub mod promise;
pub mod recover;
pub mod retry;
pub mod ring;
pub mod route;
