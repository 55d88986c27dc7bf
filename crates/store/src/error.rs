//! Errors of platform calls.

use snafu::Snafu;

/// Why a platform call gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The platform refused before doing anything.
    #[snafu(display("platform refused the call ({status}): {detail}; retry later"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Text given by the platform.
        detail: String,
    },
    /// No answer came: a write may or may not have taken effect.
    #[snafu(display("platform call has no answer: {detail}; read back before retrying a write"))]
    NoAnswer {
        /// Transport failure.
        detail: String,
    },
    /// The answer could not be decoded.
    #[snafu(display("platform answer is malformed: {detail}; check the platform's version"))]
    Malformed {
        /// Decoder failure.
        detail: String,
    },
}
