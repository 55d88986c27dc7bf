//! Errors of operators' changes.

use snafu::Snafu;

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The object has another revision than the operator expected.
    #[snafu(display(
        "{name} is at revision {current}, not {expected}; read it again and repeat the change"
    ))]
    Raced {
        /// Object.
        name: String,
        /// Revision that the operator expected.
        expected: u64,
        /// Revision in force.
        current: u64,
    },
    /// A field has a value that can't be used.
    #[snafu(display("{object}: {field} is {value:?}; {remedy}"))]
    Invalid {
        /// Object.
        object: String,
        /// Field.
        field: String,
        /// Value given.
        value: String,
        /// What to do.
        remedy: String,
    },
    /// The change names an object that does not exist.
    #[snafu(display("there is no {name}; create it first"))]
    Missing {
        /// Object.
        name: String,
    },
    /// The object is still used by another one.
    #[snafu(display("{name} is used by {user}; remove that first"))]
    InUse {
        /// Object.
        name: String,
        /// User of the object.
        user: String,
    },
    /// Nothing was changed, because the table can't be read or written.
    #[snafu(display("{detail}; nothing was changed, repeat the change later"))]
    Unavailable {
        /// Cause.
        detail: String,
    },
    /// The write had no answer.
    #[snafu(display("no answer to the write of {name}; read it before repeating the change"))]
    Unknown {
        /// Object.
        name: String,
    },
}
