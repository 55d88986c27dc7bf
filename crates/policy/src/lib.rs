//! Decisions: routing, retries and recovery, as pure functions of views.
//!
//! Each takes the state it needs and returns a value with its reason, so that
//! the same input gives the same decision offline.

pub mod admission;
pub mod blocks;
pub mod budget;
pub mod handover;
pub mod hints;
pub mod pool;
pub mod recover;
pub mod retry;
pub mod ring;
pub mod route;
pub mod suspects;
