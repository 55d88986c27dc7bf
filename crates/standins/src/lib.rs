//! Fakes of the systems that lentilhook interacts with: the platform, a model
//! engine and a plain service. For development and tests only.
//!
//! Each fake has fault switches under `/fake/` and records what it executed, so
//! that tests verify the daemon's claims against an independent record.

pub mod engine;
pub mod platform;
pub mod service;
pub mod switches;
pub mod text;

use std::time::Duration;

use web::server::Limits;

/// Returns the limits of a fake's server, which are generous because the daemon is under test.
pub fn limits() -> Limits {
    Limits {
        body_bytes: 64 << 20,
        open_requests: 4000,
        connections: 8000,
        read_timeout: Duration::from_secs(60),
        write_timeout: Duration::from_secs(60),
    }
}
