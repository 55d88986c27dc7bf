//! Sockets of callers and endpoints: takes requests, asks for decisions,
//! relays answers whole or visibly broken.
//!
//! Knows neither which endpoint a request goes to nor why.

pub mod ask;
pub mod body;
pub mod event;
pub mod links;
pub mod server;

mod attempt;
mod plain;
mod serve;
mod stream;
