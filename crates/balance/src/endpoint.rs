//! Endpoint descriptions, as endpoints publish them in the store.

use std::net::SocketAddr;

use bincode::Decode;
use bincode::Encode;
use xxhash_rust::xxh3::xxh3_64;

/// The description that an endpoint publishes of itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Endpoint {
    /// Identity; may or may not survive a restart.
    pub id: String,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software. Streams of two versions don't fit together.
    pub software: String,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Whether the endpoint is shutting down and takes no new requests.
    pub leaving: bool,
    /// Whether the cloud may reclaim the endpoint.
    pub reclaimable: bool,
    /// Time until the endpoint ends, if known, in milliseconds.
    pub leaves_ms: Option<u64>,
    /// Store version of this description.
    pub version: u64,
    /// Start time of the process, in milliseconds since 1970. Distinguishes the
    /// instances of an identity. 0 if not stated.
    pub started_at_ms: u64,
}

/// Identifies an instance of an endpoint: the time from a start to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Instance(pub u64);

impl Instance {
    /// Returns the instance with a unique identity.
    pub fn of(identity: &str) -> Instance {
        Instance(xxh3_64(identity.as_bytes()))
    }

    /// Returns the instance of an endpoint that its entry describes.
    pub fn described(id: &str, started_at_ms: u64, address: SocketAddr) -> Instance {
        Instance::of(&format!("{id} {started_at_ms} {address}"))
    }

    /// Returns the instance of an endpoint that has itself stated its start on the connection
    /// that is used. It never equals one that is taken from an entry.
    pub fn confirmed(id: &str, started_at_ms: u64) -> Instance {
        Instance::of(&format!("confirmed {id} {started_at_ms}"))
    }
}

impl Endpoint {
    /// Returns the identity of this instance of the endpoint.
    pub fn instance(&self) -> Instance {
        Instance::described(&self.id, self.started_at_ms, self.address)
    }

    /// Returns the identity of this instance once it has itself stated its start.
    pub fn confirmed(&self) -> Instance {
        Instance::confirmed(&self.id, self.started_at_ms)
    }
}

/// The list of endpoints as one daemon knows it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Roster {
    /// Store version up to which the list is complete.
    pub version: u64,
    /// Endpoints, with unique identities.
    pub endpoints: Vec<Endpoint>,
}

/// A change to the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The endpoint was added or its description changed.
    Updated(Endpoint),
    /// The description was removed or can't be parsed.
    Removed {
        /// Endpoint identity.
        id: String,
        /// Store version of the removal.
        version: u64,
    },
    /// The entry describes no usable endpoint, for example since another kind of writer has
    /// written it.
    Unusable {
        /// Identity.
        id: String,
        /// Store version of the entry.
        version: u64,
    },
}
