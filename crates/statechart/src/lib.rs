//! Parses, validates and interprets state charts of lifecycles.
//!
//! Charts are JSON files. The crate performs no I/O: callers pass in their text.

pub mod chart;
pub mod error;
pub mod lifecycle;

mod check;
mod file;

pub use chart::Chart;
pub use error::Error;
pub use lifecycle::Label;
pub use lifecycle::Lifecycle;
