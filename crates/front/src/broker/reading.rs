//! Reads of the store on behalf of all daemons.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::digest;
use membership::digest::Digest;
use membership::digest::FANOUT;
use membership::digest::Message;
use membership::protocol::Protocol;
use membership::reads::Feed;
use membership::reads::Position;
use store::Error;

use super::Broker;
use crate::feeds;
use crate::metrics;

/// How long a daemon waits until it has read which others there are.
pub(super) const FLEET_READ_TIME: Duration = Duration::from_secs(1);
/// Maximum gap between store reads by any daemon. After a longer gap, entries may
/// have expired unnoticed. Equals the minimum duration of three heartbeats.
const MAX_READ_GAP: Duration = Duration::from_secs(3);

impl Broker {
    /// Records a read of the store by this daemon.
    pub(super) fn record_own_read(&mut self, feed: Feed, now: Instant) {
        self.reads.record(self.rank(), feed, now);
    }

    /// Sends the counts of the latest reads to a daemon. Returns the digest for it, which
    /// states the age of the latest read only if it doesn't get the counts.
    pub(super) fn send_reads(&mut self, to: SocketAddr, digest: Digest, now: Instant) -> Digest {
        if !self.context.streams.speaks(to, Protocol::Reads) {
            return digest;
        }
        self.context.streams.send(to, &Message::Reads(self.reads.notices(now)), now);
        Digest { read_age_ms: None, ..digest }
    }

    /// Merges the age of the latest read, if a digest states it.
    pub(super) fn merge_read_age(&mut self, digest: &Digest, now: Instant) {
        let age = digest.read_age_ms.map(Duration::from_millis);
        if let Some(read_at) = age.and_then(|it| now.checked_sub(it)) {
            self.stated_read_at = self.stated_read_at.max(Some(read_at));
        }
    }

    /// Starts or stops reading the store on behalf of the others.
    pub(super) fn update_reader(&self, now: Instant) {
        let is_reader = self.is_reader(now);
        if *self.context.reader.borrow() == is_reader {
            return;
        }
        self.context.reader.send_replace(is_reader);
        let age_ms = |feed| {
            let latest = self.reads.latest_of_others(self.rank(), feed);
            latest.map_or(-1, |it| now.saturating_duration_since(it).as_millis() as i64)
        };
        spdlog::info!("store reader", kv: {
            reads = is_reader,
            preceding = self.preceding,
            endpoints_age_ms = age_ms(Feed::Endpoints),
            config_age_ms = age_ms(Feed::Config),
        });
    }

    fn rank(&self) -> u64 {
        digest::rank(&self.context.instance_id)
    }

    /// Whether this daemon is a store reader.
    fn is_reader(&self, now: Instant) -> bool {
        if !self.knows_fleet(now) {
            return false;
        }
        let position = Position { rank: self.rank(), preceding: self.preceding };
        let start = self.starts_large_fleet().then_some(self.started_at);
        self.reads.is_reader(position, self.stated_read_at.max(start), now)
    }

    /// Whether this daemon has read which others there are, or can't.
    pub(super) fn knows_fleet(&self, now: Instant) -> bool {
        self.has_read_daemons || now >= self.started_at + FLEET_READ_TIME
    }

    pub(super) fn update_preceding(&mut self, now: Instant) {
        let expects_mentioned = self.starts_large_fleet();
        let own = &self.context.instance_id;
        self.preceding = self.peers.preceding_in_rank(own, expects_mentioned, now);
    }

    /// Whether this daemon has started together with many others, so that those that the
    /// store mentions are about to be heard.
    fn starts_large_fleet(&self) -> bool {
        self.is_first_start && self.peers.count() > FANOUT
    }

    /// Updates the start of the current period of uninterrupted store reads.
    pub(super) fn track_reads(&mut self, now: Instant) {
        let max_gap = self.peers.liveness_timeout().min(MAX_READ_GAP);
        let is_read = self.read_age(now).is_some_and(|it| it < max_gap);
        self.reads_since = is_read.then(|| self.reads_since.unwrap_or(now));
    }

    /// Returns the age of the latest read of the endpoints by any daemon, as far as
    /// known.
    pub(super) fn read_age(&self, now: Instant) -> Option<Duration> {
        let others = self.reads.latest_of_others(self.rank(), Feed::Endpoints);
        let latest = self.read_at.max(others).max(self.stated_read_at)?;
        Some(now.saturating_duration_since(latest))
    }

    /// Logs when calls of a feed begin to fail and when they succeed again.
    pub(super) fn handle_store_call(
        &mut self,
        feed: &'static str,
        failure: Option<Error>,
        now: Instant,
    ) {
        if feed == feeds::CONFIG && failure.is_none() {
            self.record_own_read(Feed::Config, now);
        }
        let has_failed = failure.is_some();
        let had_failed = self.store_failures.insert(feed, has_failed).unwrap_or(false);
        if let Some(error) = failure {
            metrics::count("store_failed", feed);
            if !had_failed {
                spdlog::warn!("store lost", kv: { feed = feed, cause = error.to_string() });
            }
        } else if had_failed {
            spdlog::info!("store regained", kv: { feed = feed });
        }
    }
}
