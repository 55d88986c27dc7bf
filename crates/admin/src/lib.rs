//! The administration API: schema types, conversion from and to the
//! configuration, and a client.
//!
//! Knows the form of requests; whether a change is accepted is decided by the
//! daemon.

pub mod client;
pub mod convert;
pub mod error;
pub mod generated;

/// Path below which the methods of the API are served.
pub const PATH_PREFIX: &str = "/lentilhook.admin.v1.Admin/";
