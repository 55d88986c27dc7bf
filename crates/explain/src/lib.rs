//! The story of one request, told from the daemons' log lines.
//!
//! Pure: lines in, text out. Where log files come from is not known here.

pub mod cause;
pub mod record;
pub mod story;
