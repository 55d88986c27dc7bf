//! Why a replay could not be made.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a replay could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file can't be read.
    #[snafu(display("{}: {source}; give the path of a readable file", path.display()))]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A line of a trace is wrong.
    #[snafu(display("{}:{line}: {detail}; see docs/design/replay.md", path.display()))]
    Line {
        /// File.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// The file with the targets is wrong.
    #[snafu(display("{}: {detail}; see docs/design/replay.md", path.display()))]
    Targets {
        /// File.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A process that is needed did not answer.
    #[snafu(display("{address} did not answer {path}: {detail}; check that it runs"))]
    Silent {
        /// Address.
        address: String,
        /// Path.
        path: String,
        /// Cause.
        detail: String,
    },
}
