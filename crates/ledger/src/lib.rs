//! At-most-once execution: keys of non-idempotent calls hashed to shards,
//! each held under a lease with a fencing number and written by group commit.
//!
//! Pure: `Shard` takes inputs with the time and returns actions. The platform
//! is reached by whoever carries the actions out.

pub mod lifecycle;
pub mod message;
pub mod record;
pub mod shard;
pub mod snapshot;

mod book;
mod error;
mod queue;

pub use error::Error;
