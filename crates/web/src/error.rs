//! Errors of the HTTP server.

use snafu::Snafu;

/// An error that prevents the server from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("cannot listen on {address}: {detail}; free the port or change the address"))]
    Bind {
        /// The configured address.
        address: String,
        /// Error reported by the operating system.
        detail: String,
    },
}
