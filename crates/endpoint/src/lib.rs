//! Calls to endpoints: completions of model engines and calls of plain
//! services, each attempt on a thread that owns its connection.
//!
//! Knows one attempt at a time; retries and recovery are decided elsewhere.

pub mod attempt;
pub mod chat;
pub mod kv;
pub mod load;
pub mod plain;
pub mod sse;

mod agent;
