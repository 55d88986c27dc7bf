//! Which service a request goes to and on whose behalf: hosts, path prefixes,
//! weighted back ends, keys of workspaces.
//!
//! Pure; knows neither sockets nor the names that a deployment's protocol
//! gives to headers and fields.

pub mod config;
pub mod request;
pub mod table;
