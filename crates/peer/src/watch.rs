//! Monitoring of connections. PING frames detect a peer that has stopped responding while
//! a reply is awaited or after something was sent; otherwise almost nothing is sent.
//!
//! Designed for daemons with a connection to each of hundreds of others, most of which are
//! used once in several seconds.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use h2::Ping;
use h2::PingPong;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// Interval between checks of a connection and minimum interval between PING frames.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a response to a PING frame after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of consecutive checks without an open stream after which a connection
/// counts as idle.
const IDLE_CHECKS: u32 = 5;
/// Number of consecutive checks without a PING frame after which one is sent although
/// nothing depends on the connection, so that those of peers that are gone are closed.
const QUIET_CHECKS: u32 = 10;

/// When connections are checked: all of them at the same moments, so that the number of
/// wake-ups doesn't grow with the number of connections.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    started_at: Instant,
}

impl Schedule {
    /// Creates a schedule that starts now.
    pub fn new() -> Schedule {
        Schedule { started_at: Instant::now() }
    }

    async fn next_check(self) {
        let checks = self.started_at.elapsed().as_millis() / CHECK_INTERVAL.as_millis();
        sleep_until(self.started_at + CHECK_INTERVAL * (checks as u32 + 1)).await;
    }
}

#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    /// Open streams on which a peer's reply or request is awaited.
    awaiting: AtomicUsize,
    sent: AtomicUsize,
}

/// Counts of a connection's open streams and of the frames sent on them.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<Counts>);

/// Guard that counts a stream as open until it is dropped.
#[derive(Debug)]
pub struct OpenStream {
    counts: Arc<Counts>,
    is_awaiting: AtomicBool,
}

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
        self.0.open.fetch_add(1, Ordering::AcqRel);
        self.0.awaiting.fetch_add(1, Ordering::AcqRel);
        OpenStream { counts: Arc::clone(&self.0), is_awaiting: AtomicBool::new(true) }
    }

    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        self.0.open.load(Ordering::Acquire)
    }

    /// Whether this is the counter of the same connection.
    pub fn is_same(&self, other: &Activity) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Whether no stream is open.
    pub fn is_idle(&self) -> bool {
        self.count() == 0
    }

    fn is_awaiting(&self) -> bool {
        self.0.awaiting.load(Ordering::Acquire) > 0
    }

    fn sent(&self) -> usize {
        self.0.sent.load(Ordering::Acquire)
    }
}

impl OpenStream {
    /// Records that a frame was sent on the stream.
    pub fn record_sent(&self) {
        self.counts.sent.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that no reply is awaited on the stream.
    pub fn set_one_way(&self) {
        if self.is_awaiting.swap(false, Ordering::AcqRel) {
            self.counts.awaiting.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.set_one_way();
        self.counts.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Monitors a connection until it should be closed, and returns the cause.
pub async fn monitor(pings: &mut PingPong, activity: &Activity, schedule: Schedule) -> Cause {
    let mut idle_checks = 0;
    let mut quiet_checks = 0;
    let mut confirmed = 0;
    loop {
        schedule.next_check().await;
        if activity.is_idle() {
            idle_checks += 1;
            if idle_checks >= IDLE_CHECKS {
                return Cause::Idle;
            }
            continue;
        }
        idle_checks = 0;
        let sent = activity.sent();
        if !activity.is_awaiting() && sent == confirmed && quiet_checks < QUIET_CHECKS {
            quiet_checks += 1;
            continue;
        }
        quiet_checks = 0;
        confirmed = sent;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return Cause::Silent,
        }
    }
}
