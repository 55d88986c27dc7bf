//! Errors of serving HTTP.

use snafu::Snafu;

/// Why a server could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("cannot listen on {address}: {detail}; free the port or change the address"))]
    Bind {
        /// Address from the settings.
        address: String,
        /// Cause given by the system.
        detail: String,
    },
}
