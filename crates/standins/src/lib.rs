//! Small stand-ins of the systems that lentilhook meets: the platform, a
//! model engine and a plain service. For development and tests only.
//!
//! Each has fault switches under `/fake/` and keeps a record of what it
//! executed, so that claims are checked here and not by the daemon's word.

pub mod engine;
pub mod platform;
pub mod service;
pub mod switches;
pub mod text;

use std::time::Duration;

use web::server::Limits;

/// Limits of a stand-in's server; generous, since the daemon is under test.
pub fn limits() -> Limits {
    Limits {
        body_bytes: 64 << 20,
        open_requests: 4000,
        connections: 8000,
        read_timeout: Duration::from_secs(60),
        write_timeout: Duration::from_secs(60),
    }
}
