//! Data types for calls, replies and problems.
//!
//! The components of a daemon exchange them with each other and with other
//! daemons. They are plain data, independent of HTTP, endpoints and time.

pub mod call;
pub mod problem;
pub mod progress;
pub mod recompute;
pub mod reply;
