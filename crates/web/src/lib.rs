//! An HTTP/1.1 server on `hyper` with limits on connections and requests, problem details and
//! event streams that are flushed after each event.
//!
//! It is independent of workspaces, services and job outcomes.

pub mod request;
pub mod response;
pub mod server;

mod body;
mod closing;
mod connection;
mod ending;
mod error;

pub use error::Error;
pub use job::problem;
