//! Settings of a daemon: JSON with comments.

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
    /// The platform.
    pub platform: Platform,
    /// Who may do what.
    pub access: Access,
    /// Bounds on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Choice of endpoints.
    #[serde(default)]
    pub routing: Routing,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Addresses for peers of some daemons, asked when the platform can't be.
    #[serde(default)]
    pub seeds: Vec<String>,
}

/// Addresses to listen on: IP and port, port 0 for any.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: String,
    /// For operators.
    pub operators: String,
    /// For other daemons.
    pub peers: String,
}

/// The platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// IP and port.
    pub address: String,
    /// Longest time of a call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Who may do what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// File with the secret that all daemons share.
    pub peer_secret_file: PathBuf,
    /// SHA-256 of each operator's token, in lower-case hex.
    pub operator_token_sha256: Vec<String>,
}

/// Bounds on callers' requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest number of requests open at once.
    pub open_requests: usize,
    /// Largest number of connections, idle ones included.
    pub connections: usize,
    /// Longest time to send a head, to send a body, and between requests, in
    /// milliseconds.
    pub read_timeout_ms: u64,
    /// Longest time for which a caller may take nothing of its answer, in
    /// milliseconds.
    pub write_timeout_ms: u64,
}

/// Choice of endpoints.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// How an endpoint is chosen.
    pub mode: Mode,
}

/// Logs.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something is broken.
    Error,
    /// Something failed and was coped with.
    Warn,
    /// Decisions and changes.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// A secret; never printed.
pub struct Secret(String);

impl Secret {
    /// The secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Secret(..)")
    }
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text with key=value fields.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {detail}; give the path of a settings file", path.display()))]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause given by the system.
        detail: String,
    },
    /// The content is wrong.
    #[snafu(display("{}", lines(path, problems)))]
    Invalid {
        /// File.
        path: PathBuf,
        /// What is wrong and what to do.
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
    /// Reads settings from a file; the error names every problem.
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

    /// Reads the secret that all daemons share.
    pub fn peer_secret(&self) -> Result<Secret, Error> {
        let secret = read_file(&self.access.peer_secret_file)?;
        Ok(Secret(secret.trim().to_owned()))
    }

    /// Longest time of a platform call.
    pub fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform.timeout_ms)
    }
}

fn lines(path: &Path, problems: &[Problem]) -> String {
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
