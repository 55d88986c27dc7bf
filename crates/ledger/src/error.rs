//! Errors of what the platform holds.

use snafu::Snafu;

/// Why a shard can't be used. It is never taken for empty instead.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The chart of the lease does not expect what happened.
    #[snafu(display("lease chart: {detail}; report it, the shard starts over"))]
    Lifecycle {
        /// Event and state.
        detail: String,
    },
    /// A row can't be decoded.
    #[snafu(display("row {key} is malformed ({detail}); run the version that wrote it"))]
    Row {
        /// Key of the row.
        key: String,
        /// Decoder failure.
        detail: String,
    },
    /// A batch row is missing or one too many.
    #[snafu(display("batch rows {expected} were expected and {found} found; restore the table"))]
    Batches {
        /// Number of rows that the head row names.
        expected: u64,
        /// Number of rows, or of those before the first wrong one.
        found: u64,
    },
    /// The snapshot is missing.
    #[snafu(display("object {name} is missing; restore it from the object store"))]
    Missing {
        /// Name of the object.
        name: String,
    },
    /// The snapshot is not the one that the head row names.
    #[snafu(display("object {name} is damaged ({detail}); restore it from the object store"))]
    Damaged {
        /// Name of the object.
        name: String,
        /// What is wrong.
        detail: String,
    },
}
