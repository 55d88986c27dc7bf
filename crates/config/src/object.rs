//! Workspaces, services and rules.

use serde::Deserialize;
use serde::Serialize;

/// A team that calls services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// SHA-256 of each accepted token, in lower-case hex.
    pub token_sha256: Vec<String>,
    /// Weight in the sharing of capacity between workspaces.
    pub share: u32,
}

/// What a service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// A plain service.
    Plain,
}

/// A service with its targets and weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Whether its endpoints refuse an old fencing number.
    pub checks_fence: bool,
    /// Priority class, 0 first.
    pub priority: u8,
    /// Target for the time to the first token or the answer, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_target_ms: u64,
    /// Weight of latency-bound cost.
    pub cost_weight: f64,
    /// Weight of recomputed tokens.
    pub recompute_weight: f64,
    /// Fewest VMs that are kept running.
    #[serde(default)]
    pub min_vms: u32,
    /// Most VMs that are kept running; 0 leaves placement to the operators.
    #[serde(default)]
    pub max_vms: u32,
}

/// Whether requests may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// They may.
    Idempotent,
    /// They may not.
    NonIdempotent,
}

/// A rule on the requests of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Name.
    pub name: String,
    /// Service that it is for.
    pub service: String,
    /// Method in upper case, `*` for any.
    pub method: String,
    /// Path pattern; `*` as a last character stands for any rest.
    pub path: String,
    /// Whether matching requests may be executed more than once.
    pub repeat: Repeat,
    /// Whether matching requests must carry an `Idempotency-Key`.
    pub key_required: bool,
}

impl Rule {
    /// Whether a request is covered by this rule.
    pub fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method == method;
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        self.service == service && method_matches && path_matches
    }
}
