//! Monitoring of connections. While streams are open, PING frames detect a peer
//! that has stopped responding; without open streams, nothing is sent.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use h2::Ping;
use h2::PingPong;
use tokio::time::sleep;
use tokio::time::timeout;

/// Interval between checks of a connection and between PING frames. With a connection
/// to each of many daemons, PING frames on idle connections would dominate the load.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a response to a PING frame after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of consecutive checks without an open stream after which a connection
/// counts as idle.
const IDLE_CHECKS: u32 = 5;

/// Counter of open streams.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<AtomicUsize>);

/// Guard that counts a stream as open until it is dropped.
#[derive(Debug)]
pub struct OpenStream(Arc<AtomicUsize>);

/// Why a connection should be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The peer does not respond.
    Silent,
    /// No stream has been open for several checks.
    Idle,
}

impl Activity {
    /// Counts a stream as open until the returned guard is dropped.
    pub fn open(&self) -> OpenStream {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenStream(Arc::clone(&self.0))
    }

    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Whether this is the counter of the same connection.
    pub fn is_same(&self, other: &Activity) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Whether no stream is open.
    pub fn is_idle(&self) -> bool {
        self.count() == 0
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Monitors a connection until it should be closed, and returns the cause.
pub async fn monitor(pings: &mut PingPong, activity: &Activity) -> Cause {
    let mut idle_checks = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        if activity.is_idle() {
            idle_checks += 1;
            if idle_checks >= IDLE_CHECKS {
                return Cause::Idle;
            }
            continue;
        }
        idle_checks = 0;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return Cause::Silent,
        }
    }
}
