//! The operators' configuration as the daemons use it.

use std::time::Duration;

use bincode::Decode;
use bincode::Encode;

/// A version of the configuration, complete.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Config {
    /// Number of the version; a larger one replaces a smaller one.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Workspaces; without any, requests need no key.
    pub workspaces: Vec<Workspace>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Kind {
    /// Idempotent.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by server-sent events; runs at most once unless resumable.
    Stream,
}

/// Requests of a host below a path prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host, without a port.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time from arrival to the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: answer, or first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events within the objective, in milliseconds.
    pub gap_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub backends: Vec<Backend>,
    /// Most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub public: bool,
    /// Whether a stream may go on at another endpoint after its last event.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Share in relation to the other weights of the route.
    pub weight: u32,
}

/// A group of endpoints that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Most connections to one of its endpoints, over all daemons.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set where the number of endpoints can be ordered.
    pub scale: Option<Scale>,
}

/// What an engine can hold.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens of prompts and answers that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in an event of a stream.
    pub event_tokens: u32,
}

/// Bounds and prices of orders for endpoints.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Scale {
    /// Fewest endpoints in a zone, on demand and reclaimable together.
    pub min: u32,
    /// Most endpoints in a zone, on demand and reclaimable together.
    pub max: u32,
    /// Time from an order to serving, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable endpoint in relation to one on demand; `None`
    /// where none can be ordered.
    pub reclaimable_price: Option<f64>,
    /// Prices by zone.
    pub zones: Vec<ZonePrice>,
}

/// Price of endpoints in a zone.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ZonePrice {
    /// Availability zone.
    pub zone: String,
    /// Price of a second of an endpoint on demand.
    pub price: f64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take for a head, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Limits {
    /// Longest time that a connection may be idle.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

impl Default for Limits {
    /// Bounds before any configuration is known.
    fn default() -> Limits {
        Limits { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Keys that act for it.
    pub keys: Vec<String>,
    /// Rank that replaces the route's.
    pub priority: Option<u8>,
    /// Limit over all daemons.
    pub quota: Option<Quota>,
}

/// A limit on a workspace's requests.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate at once.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens in plus the most tokens out.
    Tokens {
        /// Tokens of a request that states none.
        unstated: f64,
    },
}

impl Unit {
    /// Units of a request with these stated tokens.
    pub fn count(self, stated: Option<u64>) -> f64 {
        match self {
            Unit::Requests => 1.0,
            Unit::Tokens { unstated } => stated.map_or(unstated, |it| it as f64),
        }
    }
}
