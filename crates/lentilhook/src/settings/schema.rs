//! The fields of settings and what each may hold.

use std::net::SocketAddr;

use serde_json::Value;

/// Digits of a SHA-256 in hex.
const SHA256_HEX_DIGITS: usize = 64;
/// Longest name, in bytes.
const NAME_LIMIT_BYTES: usize = 64;

/// A field.
pub struct Field {
    /// Dotted path.
    pub path: &'static str,
    /// Whether it must be given.
    pub required: bool,
    /// What it may hold.
    pub form: Form,
}

/// What a field may hold.
#[derive(Clone, Copy)]
pub enum Form {
    /// Lower-case letters, digits and dashes.
    Name,
    /// IP and port, port 0 for any.
    Listen,
    /// IP and port.
    Remote,
    /// IPs and ports.
    Remotes,
    /// A whole number of a unit.
    Number { least: u64, most: u64, unit: &'static str },
    /// Path of a file.
    File,
    /// SHA-256 sums of tokens.
    Sums,
    /// One of these words.
    Word(&'static [&'static str]),
}

/// All fields.
pub const FIELDS: &[Field] = &[
    required("daemon", Form::Name),
    required("zone", Form::Name),
    required("listen.callers", Form::Listen),
    required("listen.operators", Form::Listen),
    required("listen.peers", Form::Listen),
    required("platform.address", Form::Remote),
    optional("platform.timeout_ms", number(10, 60_000, "milliseconds")),
    required("access.peer_secret_file", Form::File),
    required("access.operator_token_sha256", Form::Sums),
    optional("limits.body_bytes", number(1024, 30 << 20, "bytes")),
    optional("limits.open_requests", number(1, 100_000, "requests")),
    optional("limits.connections", number(1, 100_000, "connections")),
    optional("limits.read_timeout_ms", number(100, 600_000, "milliseconds")),
    optional("limits.write_timeout_ms", number(100, 600_000, "milliseconds")),
    optional("routing.mode", Form::Word(MODES)),
    optional("log.format", Form::Word(&["text", "json"])),
    optional("log.level", Form::Word(LEVELS)),
    optional("seeds", Form::Remotes),
];

/// Names of the log levels, the most silent first.
pub const LEVELS: &[&str] = &["error", "warn", "info", "debug"];

/// Ways to choose an endpoint.
const MODES: &[&str] = &["scored", "random", "least_loaded", "prefix_hash"];

impl Form {
    /// What is to be given when `value` is not of this form. The value
    /// itself is never part of it, since it may be a secret.
    pub fn remedy(self, value: &Value) -> Option<String> {
        let text = value.as_str();
        match self {
            Form::Name if text.is_some_and(is_name) => None,
            Form::Name => Some("give 1 to 64 lower-case letters, digits and dashes".to_owned()),
            Form::Listen if text.and_then(address).is_some() => None,
            Form::Listen => Some("give IP and port, such as \"10.0.0.4:8080\"".to_owned()),
            Form::Remote if text.and_then(address).is_some_and(|it| it.port() != 0) => None,
            Form::Remote => {
                Some("give IP and port, not a name and no port 0, such as \"10.0.0.9:9000\"".into())
            }
            Form::Remotes if are_remotes(value) => None,
            Form::Remotes => {
                Some("give a list of IP and port, such as [\"10.0.0.4:7000\"]".to_owned())
            }
            Form::Number { least, most, unit } => {
                let fits = value.as_u64().is_some_and(|it| (least..=most).contains(&it));
                let remedy = || format!("give a whole number of {unit} from {least} to {most}");
                (!fits).then(remedy)
            }
            Form::File if text.is_some_and(|it| !it.is_empty()) => None,
            Form::File => Some("give the path of a file".to_owned()),
            Form::Sums if are_sums(value) => None,
            Form::Sums => Some(
                "give a list of at least one SHA-256 in 64 lower-case hex digits \
                 (printf %s TOKEN | sha256sum), not the token itself"
                    .to_owned(),
            ),
            Form::Word(words) if text.is_some_and(|it| words.contains(&it)) => None,
            Form::Word(words) => Some(format!("give one of: {}", words.join(", "))),
        }
    }
}

/// IP and port in a text.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

const fn required(path: &'static str, form: Form) -> Field {
    Field { path, required: true, form }
}

const fn optional(path: &'static str, form: Form) -> Field {
    Field { path, required: false, form }
}

const fn number(least: u64, most: u64, unit: &'static str) -> Form {
    Form::Number { least, most, unit }
}

fn is_name(text: &str) -> bool {
    let allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-';
    (1..=NAME_LIMIT_BYTES).contains(&text.len()) && text.chars().all(allowed)
}

fn are_remotes(value: &Value) -> bool {
    let is_remote =
        |it: &Value| it.as_str().and_then(address).is_some_and(|address| address.port() != 0);
    value.as_array().is_some_and(|it| it.iter().all(is_remote))
}

fn are_sums(value: &Value) -> bool {
    let is_sum = |it: &Value| {
        let text = it.as_str().unwrap_or_default();
        let is_digit = |it: char| it.is_ascii_digit() || ('a'..='f').contains(&it);
        text.len() == SHA256_HEX_DIGITS && text.chars().all(is_digit)
    };
    value.as_array().is_some_and(|it| !it.is_empty() && it.iter().all(is_sum))
}
