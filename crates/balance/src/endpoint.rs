//! Endpoints as they describe themselves.

use std::net::SocketAddr;

use bincode::Decode;
use bincode::Encode;

/// An endpoint's description of itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Endpoint {
    /// Identity; kept or not over a restart.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests because it will end.
    pub leaving: bool,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// Time until it ends, where known, in milliseconds.
    pub leaves_ms: Option<u64>,
    /// Version of the store that the description got.
    pub version: u64,
    /// Start of the process, in milliseconds since 1970; tells one life of an
    /// identity from the next. 0 where it is not stated.
    pub born_ms: u64,
}

/// The list of endpoints as one daemon has it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Roster {
    /// Version of the store up to which the list is complete.
    pub version: u64,
    /// Endpoints, each under its identity.
    pub endpoints: Vec<Endpoint>,
}

/// A change in the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The endpoint is as described.
    Is(Endpoint),
    /// The endpoint's description is gone, or can't be read.
    Gone {
        /// Identity.
        id: String,
        /// Version of the store at which it was gone.
        version: u64,
    },
}
