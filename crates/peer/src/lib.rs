//! Transport between daemons: h2 streams of bincode frames.
//!
//! Knows frames and addresses, not what the frames are for.

pub mod traffic;
pub mod transport;
pub mod wire;

mod connection;
mod proof;
mod stream;
mod watch;
