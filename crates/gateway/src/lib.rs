//! The callers' side: HTTP requests in, answers and event streams out.
//!
//! Knows the shape of requests and answers. Who may call what, and where it
//! runs, is decided behind the arrivals that it hands on.

pub mod arrival;
pub mod parse;
pub mod server;

mod answer;
