//! Schema of a settings file: its fields and their constraints.

use std::net::SocketAddr;

use serde_json::Value;

/// Number of hex digits of a SHA-256 hash.
const SHA256_HEX_DIGITS: usize = 64;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// A field of the settings file.
pub struct Field {
    /// Dotted path.
    pub path: &'static str,
    /// Whether the field must be present.
    pub required: bool,
    /// Constraint on the value.
    pub constraint: Constraint,
}

/// A constraint on the value of a field.
#[derive(Clone, Copy)]
pub enum Constraint {
    /// 1 to 64 lowercase letters, digits and dashes.
    Name,
    /// IP address and port to listen on; port 0 means any free port.
    Listen,
    /// IP address and port of another process.
    Remote,
    /// List of IP addresses and ports of other processes.
    Remotes,
    /// Whole number within an inclusive range.
    Number { min: u64, max: u64, unit: &'static str },
    /// Path of a file.
    File,
    /// Non-empty list of SHA-256 hashes of tokens.
    Hashes,
    /// One of the given words.
    Choice(&'static [&'static str]),
}

/// All fields of the settings file.
pub const FIELDS: &[Field] = &[
    required("daemon", Constraint::Name),
    required("zone", Constraint::Name),
    required("listen.callers", Constraint::Listen),
    required("listen.operators", Constraint::Listen),
    required("listen.peers", Constraint::Listen),
    required("platform.address", Constraint::Remote),
    optional("platform.timeout_ms", number(10, 60_000, "milliseconds")),
    required("access.peer_secret_file", Constraint::File),
    required("access.operator_token_sha256", Constraint::Hashes),
    optional("limits.body_bytes", number(1024, 30 << 20, "bytes")),
    optional("limits.open_requests", number(1, 100_000, "requests")),
    optional("limits.connections", number(1, 100_000, "connections")),
    optional("limits.read_timeout_ms", number(100, 600_000, "milliseconds")),
    optional("limits.write_timeout_ms", number(100, 600_000, "milliseconds")),
    optional("routing.mode", Constraint::Choice(ROUTING_MODES)),
    optional("seeds", Constraint::Remotes),
    optional("log.format", Constraint::Choice(&["text", "json"])),
    optional("log.level", Constraint::Choice(LEVELS)),
];

/// Names of the log levels, from the most to the least severe.
pub const LEVELS: &[&str] = &["error", "warn", "info", "debug"];

/// Names of the routing modes.
const ROUTING_MODES: &[&str] = &["scored", "random", "least_loaded", "prefix_hash"];

impl Constraint {
    /// Returns how to fix `value`, or `None` if it meets the constraint.
    ///
    /// The text never contains the value itself, since it may be a secret.
    pub fn remedy(self, value: &Value) -> Option<String> {
        let text = value.as_str();
        match self {
            Constraint::Name if text.is_some_and(is_valid_name) => None,
            Constraint::Name => Some("use 1 to 64 lowercase letters, digits and dashes".to_owned()),
            Constraint::Listen if text.and_then(address).is_some() => None,
            Constraint::Listen => Some("use an IP address and port, such as \"10.0.0.4:8080\"".to_owned()),
            Constraint::Remote if text.and_then(address).is_some_and(|it| it.port() != 0) => None,
            Constraint::Remote => {
                Some("use an IP address and a port other than 0, not a host name, such as \"10.0.0.9:9000\"".into())
            }
            Constraint::Remotes if are_remotes(value) => None,
            Constraint::Remotes => {
                Some("use a list of IP addresses and ports, such as [\"10.0.0.5:8082\"]".to_owned())
            }
            Constraint::Number { min, max, unit } => {
                let is_in_range = value.as_u64().is_some_and(|it| (min..=max).contains(&it));
                let remedy = || format!("use a whole number of {unit} from {min} to {max}");
                (!is_in_range).then(remedy)
            }
            Constraint::File if text.is_some_and(|it| !it.is_empty()) => None,
            Constraint::File => Some("use the path of a file".to_owned()),
            Constraint::Hashes if are_hashes(value) => None,
            Constraint::Hashes => Some(
                "use a list of at least one SHA-256 hash in 64 lowercase hex digits \
                 (printf %s TOKEN | sha256sum), not the token itself"
                    .to_owned(),
            ),
            Constraint::Choice(words) if text.is_some_and(|it| words.contains(&it)) => None,
            Constraint::Choice(words) => Some(format!("use one of: {}", words.join(", "))),
        }
    }
}

/// Parses an IP address and port.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

const fn required(path: &'static str, constraint: Constraint) -> Field {
    Field { path, required: true, constraint }
}

const fn optional(path: &'static str, constraint: Constraint) -> Field {
    Field { path, required: false, constraint }
}

const fn number(min: u64, max: u64, unit: &'static str) -> Constraint {
    Constraint::Number { min, max, unit }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-';
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed)
}

fn are_remotes(value: &Value) -> bool {
    let is_remote = |it: &Value| {
        let parsed = it.as_str().and_then(address);
        parsed.is_some_and(|it| it.port() != 0)
    };
    value.as_array().is_some_and(|it| it.iter().all(is_remote))
}

fn are_hashes(value: &Value) -> bool {
    let is_hash = |it: &Value| {
        let text = it.as_str().unwrap_or_default();
        let is_digit = |it: char| it.is_ascii_digit() || ('a'..='f').contains(&it);
        text.len() == SHA256_HEX_DIGITS && text.chars().all(is_digit)
    };
    value.as_array().is_some_and(|it| !it.is_empty() && it.iter().all(is_hash))
}
