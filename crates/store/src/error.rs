//! Errors of platform calls.

use snafu::Snafu;

/// An error of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The platform refused the call, which had no effect.
    #[snafu(display("platform refused the call ({status}): {detail}; retry later"))]
    Refused {
        /// HTTP status, or 0 if no connection could be opened.
        status: u16,
        /// Explanation, from the platform if it sent one.
        detail: String,
    },
    /// No usable response was received; a write may or may not have taken
    /// effect.
    #[snafu(display("platform call has no answer: {detail}; read back before retrying a write"))]
    NoResponse {
        /// Description of the failure.
        detail: String,
    },
    /// The response could not be decoded.
    #[snafu(display("platform answer is malformed: {detail}; check the platform's version"))]
    Malformed {
        /// Decoder error.
        detail: String,
    },
}
