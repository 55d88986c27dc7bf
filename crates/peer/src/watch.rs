//! Watching of connections: PING frames while streams are open, so that a
//! silent connection is left, and nothing at all while there are none.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use h2::Ping;
use h2::PingPong;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time between two looks at a connection, and between two PING frames. With a
/// connection to each of many daemons, frames of idle ones are most of the load.
const INTERVAL: Duration = Duration::from_secs(3);
/// Longest silence after a PING frame before a connection is left.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Looks in a row without an open stream after which a connection is idle.
const IDLE_LOOKS: u32 = 5;

/// Streams that are open on a connection.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<AtomicUsize>);

/// An open stream, until it is dropped.
#[derive(Debug)]
pub struct OpenStream(Arc<AtomicUsize>);

/// Why a connection is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// The other end does not answer.
    Silent,
    /// No stream has been open for some time.
    Idle,
}

impl Activity {
    /// Counts a stream as open.
    pub fn open(&self) -> OpenStream {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenStream(Arc::clone(&self.0))
    }

    /// Whether no stream is open.
    pub fn is_idle(&self) -> bool {
        self.0.load(Ordering::Acquire) == 0
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns when a connection is to be left.
pub async fn watch(pings: &mut PingPong, activity: &Activity) -> Leave {
    let mut idle_looks = 0;
    loop {
        sleep(INTERVAL).await;
        if activity.is_idle() {
            idle_looks += 1;
            if idle_looks >= IDLE_LOOKS {
                return Leave::Idle;
            }
            continue;
        }
        idle_looks = 0;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return Leave::Silent,
        }
    }
}
