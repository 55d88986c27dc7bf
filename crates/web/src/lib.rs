//! HTTP/1.1 serving on `hyper`: bounded connections and requests, problem
//! answers and event streams that are flushed event by event.
//!
//! Knows nothing of workspaces, services or outcomes of jobs.

pub mod answer;
pub mod request;
pub mod server;

mod body;
mod error;

pub use error::Error;
pub use job::problem;
