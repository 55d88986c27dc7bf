//! Workspaces, services and rules.

use serde::Deserialize;
use serde::Serialize;

/// A team that calls services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// SHA-256 of each accepted token, in lower-case hex.
    pub token_sha256: Vec<String>,
    /// Weight in the sharing of capacity between workspaces.
    pub share: u32,
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service of model engines.
    Model,
    /// A plain service without model engines.
    Plain,
}

/// A service with its latency targets, weights and scaling limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Kind of the service.
    pub kind: Kind,
    /// Whether its endpoints reject requests with an outdated fencing token.
    pub checks_fence: bool,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Target for the time to the first token or to the response, in
    /// milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_target_ms: u64,
    /// Weight of the price, and of predicted lateness against the first-token
    /// target, in routing.
    pub cost_weight: f64,
    /// Weight of the time to recompute uncached tokens in routing and recovery.
    pub recompute_weight: f64,
    /// Minimum number of running VMs.
    #[serde(default)]
    pub min_vms: u32,
    /// Maximum number of running VMs. 0 disables automatic placement and leaves
    /// it to the operators.
    #[serde(default)]
    pub max_vms: u32,
}

/// Whether requests may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests must not be executed more than once.
    NonIdempotent,
}

/// A rule for requests to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Name of the rule.
    pub name: String,
    /// Name of the service to which the rule applies.
    pub service: String,
    /// HTTP method in upper case, or `*` for any method.
    pub method: String,
    /// Path pattern. A trailing `*` matches any suffix.
    pub path: String,
    /// Whether matching requests may be executed more than once.
    pub repeat: Idempotency,
    /// Whether matching requests must carry an `Idempotency-Key`.
    pub key_required: bool,
}

impl Rule {
    /// Whether the rule applies to a request.
    pub fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method == method;
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        self.service == service && method_matches && path_matches
    }
}
