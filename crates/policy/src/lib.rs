//! Decisions: routing, retries and recovery, as pure functions of views.
//!
//! Each takes the state it needs and returns a value with its reason, so that
//! the same input gives the same decision offline.

pub mod recover;
pub mod ring;
pub mod route;
pub mod suspects;
