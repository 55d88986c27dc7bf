//! Routing of requests to services by host and path prefix, with weighted
//! backends, and authentication of workspaces by key.
//!
//! Pure: no sockets, and independent of the header and field names of a
//! deployment's protocol.

pub mod check;
pub mod config;
pub mod delta;
pub mod difference;
pub mod request;
pub mod table;
