//! Running processes that a trace is replayed against.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::UnreadableSnafu;

/// Addresses and settings of the running processes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Address of the platform fake.
    pub platform: String,
    /// Addresses at which the daemons accept callers.
    pub daemons: Vec<String>,
    /// Engine fakes.
    pub engines: Vec<Engine>,
    /// Plain service fakes.
    pub services: Vec<Service>,
    /// API token of each workspace.
    pub tokens: BTreeMap<String, String>,
    /// Target for the time to first token, in milliseconds.
    pub first_token_target_ms: u64,
}

/// Model engine fake.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Identifier of the VM.
    pub vm: String,
    /// Address that the fake listens on.
    pub address: String,
    /// Price in currency units per hour.
    pub price_per_hour: f64,
    /// Number of sequences that run concurrently.
    pub slots: u32,
    /// Microseconds between two tokens of a sequence.
    pub token_us: u64,
    /// Prefill time per prompt token, in microseconds.
    pub prefill_us: u64,
}

/// Plain service fake.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Identifier of the VM.
    pub vm: String,
    /// Address that the fake listens on.
    pub address: String,
}

impl Targets {
    /// Reads targets from a JSON file.
    ///
    /// Fails if the file cannot be read or does not parse.
    pub fn read(path: &Path) -> Result<Targets, Error> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let parsed = serde_json::from_str(&text);
        parsed.map_err(|it| Error::Targets { path: path.to_owned(), detail: it.to_string() })
    }
}
