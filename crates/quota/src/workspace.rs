//! Token bucket of a workspace, shared by all daemons.
//!
//! Each daemon counts the units that it admits and receives the totals of its
//! peers with a delay. Between two reports it assumes that a peer continues to
//! admit at its recent rate. A peer whose reports stop arriving is assumed to use
//! its even share of rate and burst, so that daemons on both sides of a network
//! partition stay within the limit together.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Default time without a report after which a peer is assumed to use its even
/// share: several gossip periods.
const DEFAULT_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time over which a peer's rate is averaged, so that the average covers several
/// of its requests.
const RATE_AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Time without a report after which a peer is assumed to have ended. Exceeds the
/// longest pause or partition after which it may still admit requests of the same
/// window.
pub const PEER_EXPIRY: Duration = Duration::from_secs(12);

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Maximum number of units at once.
    pub burst: f64,
}

/// The shared bucket as seen by one daemon.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    report_timeout: Duration,
    /// Available units. Negative if daemons admitted too much before they
    /// received each other's totals.
    level: f64,
    filled_at: Instant,
    /// Units that this daemon has admitted since its start.
    admitted: f64,
    peers: HashMap<String, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    /// Units that the peer has admitted since its start, by its latest report.
    admitted: f64,
    received_at: Instant,
    /// Units that the peer admits per second. Its even share is assumed while this
    /// is unknown.
    rate: Option<f64>,
    /// Units taken from the level for the peer since its latest report.
    estimated: f64,
    estimated_at: Instant,
    /// Whether the peer's share of the burst was taken since its latest report.
    burst_taken: bool,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(limit: Limit, now: Instant) -> Bucket {
        Bucket {
            limit,
            level: limit.burst,
            filled_at: now,
            report_timeout: DEFAULT_REPORT_TIMEOUT,
            admitted: 0.0,
            peers: HashMap::new(),
        }
    }

    /// Changes the limit. Units already used stay used.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit == limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Sets the time without a report after which a peer is assumed to use at least
    /// its even share.
    pub fn set_report_timeout(&mut self, report_timeout: Duration) {
        self.report_timeout = report_timeout;
    }

    /// Takes units for a request.
    ///
    /// # Errors
    ///
    /// If too few units are available, returns the time until they will be, at
    /// most one hour.
    pub fn take(&mut self, units: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        // A request larger than the burst is admitted from a full bucket.
        let required = units.min(self.limit.burst);
        if self.level >= required {
            self.level -= units;
            self.admitted += units;
            return Ok(());
        }
        let missing = required - self.level;
        let wait = if self.limit.rate > 0.0 { missing / self.limit.rate } else { f64::MAX };
        Err(Duration::from_secs_f64(wait.clamp(0.0, 3_600.0)))
    }

    /// Refunds units that a request took and didn't use.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limit.burst);
        self.admitted -= units;
    }

    /// Returns the units available at the last update. Negative if too many were
    /// admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the number of daemons that share the limit, as far as known.
    pub fn daemons(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the units that this daemon has admitted since its start.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Merges the total that another daemon instance has admitted since its start.
    pub fn merge_remote(&mut self, daemon: &str, admitted: f64, now: Instant) {
        self.refill(now);
        let mut rate = None;
        if let Some(peer) = self.peers.get(daemon) {
            let newly_admitted = admitted - peer.admitted;
            self.level += peer.estimated - newly_admitted;
            let elapsed = now.saturating_duration_since(peer.received_at).as_secs_f64();
            let weight = (elapsed / RATE_AVERAGING_TIME.as_secs_f64()).min(1.0);
            let previous = peer.rate.unwrap_or(0.0);
            rate = if elapsed > 0.0 {
                Some(previous + (newly_admitted / elapsed - previous) * weight)
            } else {
                peer.rate
            };
        }
        self.level = self.level.min(self.limit.burst);
        let peer = Peer {
            admitted,
            received_at: now,
            rate,
            estimated: 0.0,
            estimated_at: now,
            burst_taken: false,
        };
        self.peers.insert(daemon.to_owned(), peer);
    }

    /// Adds the units accrued since the last update and takes those that peers are
    /// estimated to have used.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.level += elapsed * self.limit.rate;
        let daemons = (self.peers.len() + 1) as f64;
        let even_share = self.limit.rate / daemons;
        for peer in self.peers.values_mut() {
            let until = now.min(peer.received_at + PEER_EXPIRY);
            let is_silent = now >= peer.received_at + self.report_timeout;
            let rate = peer.rate.unwrap_or(even_share).min(self.limit.rate);
            let rate = if is_silent { rate.max(even_share) } else { rate };
            let elapsed = until.saturating_duration_since(peer.estimated_at).as_secs_f64();
            let mut units = elapsed * rate;
            if is_silent && !peer.burst_taken {
                peer.burst_taken = true;
                units += self.limit.burst / daemons;
            }
            peer.estimated += units;
            peer.estimated_at = peer.estimated_at.max(until);
            self.level -= units;
        }
        self.peers.retain(|_, it| now < it.received_at + PEER_EXPIRY);
        self.level = self.level.min(self.limit.burst);
    }
}
