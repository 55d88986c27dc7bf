//! HTTP agents and the meaning of their errors.

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

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence of an endpoint. Engines send keep-alive comments.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Looks at whether an endpoint still listens.
const LOOKS: u32 = 3;
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Longest time of a look.
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);
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
        ureq::Error::Io(io) if is_timeout(io) => Failure::Silent(detail),
        _ => Failure::Broken(detail),
    }
}

/// What a failed read of a stream says about the attempt.
pub fn read_failure(error: &io::Error) -> Failure {
    if is_timeout(error) {
        return Failure::Silent(error.to_string());
    }
    Failure::Broken(error.to_string())
}

/// Finds out whether a broken connection was the end of its endpoint.
pub fn examine(address: &str, failure: Failure) -> Failure {
    let Failure::Broken(detail) = failure else { return failure };
    let Ok(address) = address.parse::<SocketAddr>() else { return Failure::Broken(detail) };
    for _ in 0..LOOKS {
        let connected = TcpStream::connect_timeout(&address, LOOK_TIMEOUT);
        if connected.is_err_and(|it| it.kind() == ErrorKind::ConnectionRefused) {
            return Failure::Died(detail);
        }
        thread::sleep(LOOK_INTERVAL);
    }
    Failure::Broken(detail)
}

fn is_timeout(error: &io::Error) -> bool {
    // The agent's own time limits come wrapped when a body is read.
    let inner = error.get_ref().and_then(|it| it.downcast_ref::<ureq::Error>());
    matches!(inner, Some(ureq::Error::Timeout(_)))
        || matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
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
