//! Calls to endpoints: completions by model engines and calls to plain services.
//!
//! Each attempt runs on a thread that owns its connection. This crate handles single attempts.
//! Callers of this crate decide on retries and recovery.

pub mod attempt;
pub mod chat;
pub mod kv;
pub mod load;
pub mod plain;
pub mod sse;

mod agent;
