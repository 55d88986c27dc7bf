//! The HTTP interface for callers: parses requests and sends responses and event streams.
//!
//! It handles only the format of requests and responses. Authorization and routing are up to the
//! receiver of the arrivals.

pub mod arrival;
pub mod parse;
pub mod server;

mod response;
