//! What is asked of lentilhook and what is answered: calls, replies and
//! problems, as they pass between the daemon's parts and between daemons.
//!
//! Plain data. Knows nothing of HTTP, endpoints or time.

pub mod call;
pub mod problem;
pub mod progress;
pub mod recompute;
pub mod reply;
