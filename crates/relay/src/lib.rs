//! Sockets of callers and endpoints. Receives requests, queries the broker for
//! decisions, and relays answers either completely or visibly broken off.
//!
//! The choice of the endpoint is made elsewhere.

pub mod admission;
pub mod body;
pub mod connection;
pub mod event;
pub mod server;

mod attempt;
mod plain;
mod serve;
mod stream;
