//! Transport between daemons: bincode frames over HTTP/2 streams.
//!
//! This crate handles frames and addresses only; the meaning of a frame is up to
//! the callers.

pub mod traffic;
pub mod transport;
pub mod wire;

mod authentication;
mod connection;
mod stream;
mod watch;
