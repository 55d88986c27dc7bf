//! The running processes that a trace is replayed against.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::UnreadableSnafu;

/// Running processes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Address of the platform stand-in.
    pub platform: String,
    /// Addresses of the daemons for callers.
    pub daemons: Vec<String>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Token of each workspace.
    pub tokens: BTreeMap<String, String>,
    /// Target for the first token, in milliseconds.
    pub first_token_target_ms: u64,
}

/// A model engine stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// VM.
    pub vm: String,
    /// Address.
    pub address: String,
    /// Price in currency units an hour.
    pub price_per_hour: f64,
    /// Sequences that run at once.
    pub slots: u32,
    /// Microseconds between two tokens.
    pub token_us: u64,
    /// Microseconds to compute a token of a prompt.
    pub prefill_us: u64,
}

/// A plain service stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// VM.
    pub vm: String,
    /// Address.
    pub address: String,
}

impl Targets {
    /// Reads targets from a JSON file.
    pub fn read(path: &Path) -> Result<Targets, Error> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let parsed = serde_json::from_str(&text);
        parsed.map_err(|it| Error::Targets { path: path.to_owned(), detail: it.to_string() })
    }
}
