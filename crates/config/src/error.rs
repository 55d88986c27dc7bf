//! Errors returned for operators' changes.

use snafu::Snafu;

/// Why a change failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The object is not at the revision that the operator expected.
    #[snafu(display(
        "{name} is at revision {current}, not {expected}; read it again and repeat the change"
    ))]
    Conflict {
        /// Name of the object, with its kind.
        name: String,
        /// Revision that the operator expected.
        expected: u64,
        /// Revision in force.
        current: u64,
    },
    /// A field has an invalid value.
    #[snafu(display("{object}: {field} is {value:?}; {remedy}"))]
    Invalid {
        /// Name of the object, with its kind.
        object: String,
        /// Name of the field.
        field: String,
        /// Rejected value.
        value: String,
        /// Instruction to the operator.
        remedy: String,
    },
    /// The change refers to an object that does not exist.
    #[snafu(display("there is no {name}; create it first"))]
    NotFound {
        /// Name of the object, with its kind.
        name: String,
    },
    /// The object is still referenced by another one.
    #[snafu(display("{name} is used by {referrer}; remove that first"))]
    InUse {
        /// Name of the object, with its kind.
        name: String,
        /// Name of the referencing object, with its kind.
        referrer: String,
    },
    /// The table can't be read or written. Nothing was changed.
    #[snafu(display("{detail}; nothing was changed, repeat the change later"))]
    Unavailable {
        /// Cause of the failure.
        detail: String,
    },
    /// The write had no response, so it may have taken effect.
    #[snafu(display("no answer to the write of {name}; read it before repeating the change"))]
    Unknown {
        /// Name of the object, with its kind.
        name: String,
    },
}
