//! The operators' configuration, in the form that daemons use.

use std::time::Duration;

use bincode::Decode;
use bincode::Encode;

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Config {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Limits on caller requests and connections.
    pub limits: Limits,
    /// Workspaces. If there are none, requests need no key.
    pub workspaces: Vec<Workspace>,
}

/// Repeatability of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Kind {
    /// Idempotent; may be retried.
    Safe,
    /// Executed at most once.
    Unsafe,
    /// Responds with server-sent events; executed at most once unless resumable.
    Stream,
}

/// The requests to a host below a path prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Host name without a port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Repeatability of the requests.
    pub kind: Kind,
    /// Timeout from arrival to the end of the response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the response, or for the first event of a stream, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Latency objective for the gap between events, in milliseconds.
    pub gap_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the requests are split.
    pub backends: Vec<Backend>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether an interrupted stream may continue at another endpoint after its
    /// last event.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may be executed more than once.
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
    /// Service name.
    pub service: String,
    /// Weight relative to the other backends of the route.
    pub weight: u32,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Maximum number of connections to one endpoint, over all daemons.
    pub max_connections: u32,
    /// Engine capacity, if the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Scaling bounds, if endpoints can be ordered.
    pub scale: Option<Scale>,
}

/// Capacity of a model engine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Prompt and output tokens that fit in memory.
    pub memory_tokens: u64,
    /// Tokens per stream event.
    pub event_tokens: u32,
}

/// Bounds and prices for ordering endpoints.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Scale {
    /// Minimum number of endpoints per zone, on-demand and reclaimable combined.
    pub min: u32,
    /// Maximum number of endpoints per zone, on-demand and reclaimable combined.
    pub max: u32,
    /// Time from an order until the endpoint serves requests, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable endpoint relative to an on-demand one; `None` if
    /// reclaimable endpoints can't be ordered.
    pub reclaimable_price: Option<f64>,
    /// Prices per zone.
    pub zones: Vec<ZonePrice>,
}

/// Price of endpoints in a zone.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ZonePrice {
    /// Availability zone.
    pub zone: String,
    /// Price of an on-demand endpoint per second.
    pub price: f64,
}

/// Limits on caller requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Limits {
    /// Returns the idle timeout of a connection.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

impl Default for Limits {
    /// Limits that apply until a configuration is known.
    fn default() -> Limits {
        Limits { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// A customer's workspace.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Workspace {
    /// Workspace name.
    pub name: String,
    /// Keys that authenticate the workspace.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Quota, shared by all daemons.
    pub quota: Option<Quota>,
}

/// A rate limit on a workspace's requests.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct Quota {
    /// Unit that is counted.
    pub unit: Unit,
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

/// The unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub enum Unit {
    /// Each request counts as one unit.
    Requests,
    /// Prompt tokens plus maximum output tokens.
    Tokens {
        /// Tokens charged for a request that states none.
        default_tokens: f64,
    },
}

impl Unit {
    /// Returns the units charged for a request that states this many tokens.
    pub fn count(self, stated_tokens: Option<u64>) -> f64 {
        match self {
            Unit::Requests => 1.0,
            Unit::Tokens { default_tokens } => stated_tokens.map_or(default_tokens, |it| it as f64),
        }
    }
}
