//! State charts of lifecycles: read from JSON files, checked, interpreted.
//! Pure: the text of a file is given in.

pub mod chart;
pub mod error;
pub mod lifecycle;

mod check;
mod file;

pub use chart::Chart;
pub use error::Error;
pub use lifecycle::Lifecycle;
pub use lifecycle::Names;
