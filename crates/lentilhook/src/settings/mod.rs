//! Settings of a daemon, read from a JSON5 file.

mod check;
mod locate;
mod schema;

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use policy::route::Mode;
use serde::Deserialize;
use snafu::Snafu;

pub use self::check::Problem;
pub use self::check::check;
pub use self::schema::LEVELS;

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique among daemons.
    pub daemon: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Connection to the platform.
    pub platform: Platform,
    /// Credentials of daemons and operators.
    pub access: Access,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Selection of endpoints.
    #[serde(default)]
    pub routing: Routing,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Peer addresses of some other daemons, through which this daemon finds its peers while the
    /// platform is unavailable.
    #[serde(default)]
    pub seeds: Vec<String>,
}

/// Addresses to listen on: IP address and port, where port 0 means any free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: String,
    /// Address for operators.
    pub operators: String,
    /// Address for other daemons.
    pub peers: String,
}

/// Connection to the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// IP address and port.
    pub address: String,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Credentials of daemons and operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// File with the secret shared by all daemons.
    pub peer_secret_file: PathBuf,
    /// SHA-256 hash of each operator's token, in lowercase hex.
    pub operator_token_sha256: Vec<String>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of concurrent requests.
    pub open_requests: usize,
    /// Maximum number of connections, including idle ones.
    pub connections: usize,
    /// Timeout for receiving a request head, for receiving a body, and between requests, in
    /// milliseconds.
    pub read_timeout_ms: u64,
    /// Timeout for a caller that reads nothing of its response, and for reading the rest of it
    /// when the daemon has completed its requests and exits, in milliseconds.
    pub write_timeout_ms: u64,
}

/// Selection of endpoints.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Policy that selects an endpoint.
    pub mode: Mode,
}

/// Logging.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a line.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// A fault.
    Error,
    /// A failure that was handled.
    Warn,
    /// Decisions and state changes.
    #[default]
    Info,
    /// All details.
    Debug,
}

/// A secret, which is never printed.
pub struct Secret(String);

impl Secret {
    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text with key=value fields.
    #[default]
    Text,
    /// One JSON object on each line.
    Json,
}

/// An error of a settings file.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {detail}; pass the path of a readable file", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        detail: String,
    },
    /// The content is invalid.
    #[snafu(display("{}", format_problems(path, problems)))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All problems found.
        problems: Vec<Problem>,
    },
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 << 20,
            open_requests: 1200,
            connections: 4000,
            read_timeout_ms: 10_000,
            write_timeout_ms: 30_000,
        }
    }
}

impl Settings {
    /// Reads and validates a settings file. The error lists every problem.
    pub fn read(path: &Path) -> Result<Settings, Error> {
        let text = read_file(path)?;
        let problems = check(&text);
        if !problems.is_empty() {
            return Err(Error::Invalid { path: path.to_owned(), problems });
        }
        json5::from_str(&text).map_err(|it| {
            let line = it.position().map_or(1, |it| it.line + 1);
            let problem = Problem { line, field: String::new(), remedy: it.to_string() };
            Error::Invalid { path: path.to_owned(), problems: vec![problem] }
        })
    }

    /// Reads the secret shared by all daemons.
    pub fn peer_secret(&self) -> Result<Secret, Error> {
        let secret = read_file(&self.access.peer_secret_file)?;
        Ok(Secret(secret.trim().to_owned()))
    }

    /// Returns the timeout of a platform call.
    pub fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform.timeout_ms)
    }
}

fn format_problems(path: &Path, problems: &[Problem]) -> String {
    let lines = problems.iter().map(|it| format!("{}:{it}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path)
        .map_err(|it| Error::Unreadable { path: path.to_owned(), detail: it.to_string() })
}

fn default_platform_timeout_ms() -> u64 {
    1000
}
