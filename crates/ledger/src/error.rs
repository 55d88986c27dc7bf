//! Errors in the stored state of a shard.

use snafu::Snafu;

/// Why a shard can't be used. A shard in this state is never treated as empty,
/// since that could run a call a second time.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The state chart of the lease has no transition for an event.
    #[snafu(display(
        "unexpected event in the lease chart: {detail}; report this bug (the shard was reset)"
    ))]
    Lifecycle {
        /// The event and the state.
        detail: String,
    },
    /// A row could not be decoded.
    #[snafu(display("row {key} is malformed ({detail}); run the version that wrote it"))]
    Row {
        /// Key of the row.
        key: String,
        /// Error message of the decoder.
        detail: String,
    },
    /// A batch row is missing, or there is an extra one.
    #[snafu(display("expected {expected} batch rows, found {found}; restore the table"))]
    Batches {
        /// Number of rows according to the head row.
        expected: u64,
        /// Number of rows found, or of rows before the first unexpected one.
        found: u64,
    },
    /// The snapshot object does not exist.
    #[snafu(display("object {name} is missing; restore it from the object store"))]
    Missing {
        /// Name of the object.
        name: String,
    },
    /// The snapshot object differs from the one that the head row refers to.
    #[snafu(display("object {name} is corrupt ({detail}); restore it from the object store"))]
    Corrupt {
        /// Name of the object.
        name: String,
        /// What differs.
        detail: String,
    },
}
