//! Ledger for at-most-once execution of non-idempotent calls.
//!
//! The keys of calls are hashed to shards. A daemon holds a shard under a
//! lease with a fencing token and writes its records by group commit.
//!
//! The crate does no I/O: `Shard` is a state machine that takes inputs along
//! with the time and returns actions. The caller executes these actions
//! against the platform.

pub mod lifecycle;
pub mod message;
pub mod record;
pub mod shard;
pub mod snapshot;

mod error;
mod index;
mod queue;

pub use error::Error;
