//! Administration API: schema types, conversion from and to the configuration,
//! and a client.
//!
//! This crate checks the format of requests only. The daemon decides whether a
//! change is accepted.

pub mod client;
pub mod convert;
pub mod error;
pub mod generated;

/// Path prefix of the methods of the API.
pub const PATH_PREFIX: &str = "/lentilhook.admin.v1.Admin/";
