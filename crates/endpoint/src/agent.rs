//! HTTP agents and the classification of their errors.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use ureq::Agent;
use ureq::Timeout;

use crate::attempt::Failure;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for each read from an endpoint. Engines that produce no tokens send keep-alive comments.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of probes that check whether an endpoint still listens.
const PROBE_COUNT: u32 = 3;
/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of a connection's buffer in each direction. Each open stream has two buffers.
const BUFFER_BYTES: usize = 8 * 1024;
/// Maximum number of idle connections that the pooled agent keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Returns the agent for calls that may be retried. It reuses connections.
pub fn pooled() -> &'static Agent {
    static AGENT: OnceLock<Agent> = OnceLock::new();
    AGENT.get_or_init(|| build(MAX_IDLE_CONNECTIONS, Some(READ_TIMEOUT)))
}

/// Creates an agent for one call on a new connection. The endpoint has `timeout` to respond.
///
/// Calls that must not be retried need it, because a reused connection may have gone silent.
pub fn single_use(timeout: Duration) -> Agent {
    build(0, Some(timeout))
}

/// Classifies the error of a call.
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
        ureq::Error::Io(io) if is_timeout(io) => Failure::Silent(detail),
        _ => Failure::Broken(detail),
    }
}

/// Classifies the error of reading a stream.
pub fn read_failure(error: &io::Error) -> Failure {
    if is_timeout(error) {
        return Failure::Silent(error.to_string());
    }
    Failure::Broken(error.to_string())
}

/// Probes the endpoint after a broken connection. Returns `Died` if the endpoint no longer listens.
///
/// Other failures are returned unchanged.
pub fn refine_failure(address: &str, failure: Failure) -> Failure {
    let Failure::Broken(detail) = failure else { return failure };
    let Ok(address) = address.parse::<SocketAddr>() else { return Failure::Broken(detail) };
    for _ in 0..PROBE_COUNT {
        let connected = TcpStream::connect_timeout(&address, PROBE_TIMEOUT);
        if connected.is_err_and(|it| it.kind() == ErrorKind::ConnectionRefused) {
            return Failure::Died(detail);
        }
        thread::sleep(PROBE_INTERVAL);
    }
    Failure::Broken(detail)
}

fn is_timeout(error: &io::Error) -> bool {
    // While a body is read, the agent wraps its own timeouts in an `io::Error`.
    let inner = error.get_ref().and_then(|it| it.downcast_ref::<ureq::Error>());
    matches!(inner, Some(ureq::Error::Timeout(_)))
        || matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}

fn build(max_idle: usize, read_timeout: Option<Duration>) -> Agent {
    let settings = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(read_timeout)
        .timeout_recv_response(read_timeout)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .build();
    settings.into()
}
