//! What operators set: workspaces, services and rules, as a sequence of
//! changes with growing revisions.
//!
//! Pure: validation, applying and looking up. Knows neither the table nor the
//! administration API.

pub mod catalog;
pub mod change;
pub mod log;
pub mod object;

mod error;

pub use error::Error;
