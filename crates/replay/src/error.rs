//! Errors of a replay.

use std::path::PathBuf;

use snafu::Snafu;

/// An error that prevented a replay.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{}: {source}; give the path of a readable file", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A line of a trace is invalid.
    #[snafu(display("{}:{line}: {detail}; see docs/design/replay.md", path.display()))]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Description of the problem.
        detail: String,
    },
    /// The targets file is invalid.
    #[snafu(display("{}: {detail}; see docs/design/replay.md", path.display()))]
    Targets {
        /// Path of the file.
        path: PathBuf,
        /// Description of the problem.
        detail: String,
    },
    /// A process did not respond to a control request, or the response was unusable.
    #[snafu(display("request for {path} to {address} failed: {detail}; check that it is running"))]
    Request {
        /// Address of the process.
        address: String,
        /// Path of the request.
        path: String,
        /// Description of the failure.
        detail: String,
    },
}
