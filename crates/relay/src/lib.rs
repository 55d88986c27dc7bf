//! HTTP relay between callers and endpoints. Receives requests, queries the broker
//! for decisions, and relays responses. A stream that breaks and can't be resumed
//! aborts the caller's connection, so that it doesn't look complete.
//!
//! This crate owns the sockets; the broker chooses the endpoints.

pub mod admission;
pub mod body;
pub mod budget;
pub mod buffer;
pub mod connection;
pub mod continuity;
pub mod event;
pub mod exchange;
pub mod hop;
pub mod identity;
pub mod open;
pub mod server;
pub mod transport;

pub mod attempt;
mod buffered;
mod serve;
mod socket;
mod stream;
mod watch;
