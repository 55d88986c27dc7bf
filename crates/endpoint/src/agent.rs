//! HTTP agents and the meaning of their errors.

use std::io::ErrorKind;
use std::sync::OnceLock;
use std::time::Duration;

use ureq::Agent;
use ureq::Timeout;

use crate::attempt::Failure;

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence of an endpoint. Engines send keep-alive comments.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Buffer of a connection in each direction; each open stream has two.
const BUFFER_BYTES: usize = 8 * 1024;

/// Agent for calls that may be repeated; keeps connections.
pub fn pooled() -> &'static Agent {
    static AGENT: OnceLock<Agent> = OnceLock::new();
    AGENT.get_or_init(|| build(64, Some(SILENCE_TIMEOUT)))
}

/// Agent for one call that may not be repeated: a connection that was kept
/// may have gone silent, so it uses a new one. Its time to answer is
/// `timeout`.
pub fn single_use(timeout: Duration) -> Agent {
    build(0, Some(timeout))
}

/// What an error says about the attempt.
pub fn failure(error: &ureq::Error) -> Failure {
    let detail = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::NotSent(detail),
        ureq::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            Failure::NotSent(detail)
        }
        ureq::Error::Timeout(_) => Failure::Silent(detail),
        ureq::Error::Io(io) if is_timeout(io.kind()) => Failure::Silent(detail),
        _ => Failure::Broken(detail),
    }
}

/// What a failed read of a stream says about the attempt.
pub fn read_failure(error: &std::io::Error) -> Failure {
    if is_timeout(error.kind()) {
        return Failure::Silent(error.to_string());
    }
    Failure::Broken(error.to_string())
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::TimedOut | ErrorKind::WouldBlock)
}

fn build(idle: usize, silence: Option<Duration>) -> Agent {
    let settings = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(silence)
        .timeout_recv_response(silence)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .build();
    settings.into()
}
