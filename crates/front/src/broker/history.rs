//! The store row of software versions that have served.

use std::time::Duration;
use std::time::Instant;

use balance::member::Member;
use store::Error;
use store::table::Commit;
use store::table::Row;

use super::Broker;
use crate::clock;
use crate::lease;
use crate::metrics;
use crate::versions;

/// Minimum interval between writes of the row.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// What this daemon knows of the row.
#[derive(Debug)]
pub(super) struct Stored {
    pub(super) has_read: bool,
    /// Whether the history differs from the row as last read or written.
    is_outdated: bool,
    is_writing: bool,
    written_at: Instant,
}

impl Stored {
    pub(super) fn new(now: Instant) -> Stored {
        Stored { has_read: false, is_outdated: true, is_writing: false, written_at: now }
    }

    /// Marks the row to be written by the lease holder.
    pub(super) fn outdate(&mut self) {
        self.is_outdated = true;
    }
}

impl Broker {
    /// Whether several versions of a service have served recently, or another one may be about to.
    pub(super) fn may_release(&self, now: Instant) -> bool {
        let is_mixed = !self.history.mixed(self.stream_window(), now).is_empty();
        let is_changing = |it: &Member| it.may_be_replaced(now) || it.is_unread();
        is_mixed || self.pool.members().any(is_changing)
    }

    /// Stores the versions if they have changed.
    pub(super) fn store_history(&mut self, now: Instant) {
        let stored = &mut self.stored_history;
        let is_due = stored.has_read && stored.is_outdated && !stored.is_writing;
        if !is_due || now < stored.written_at + WRITE_INTERVAL {
            return;
        }
        stored.is_outdated = false;
        stored.is_writing = true;
        stored.written_at = now;
        let now_ms = self.clock.now_ms(clock::since_boot());
        let content = versions::encode(&self.history.notice(now), now_ms);
        self.call_store(lease::Job::StoreVersions { content });
    }

    pub(super) fn handle_versions_stored(&mut self, result: Result<Commit, Error>) {
        self.stored_history.is_writing = false;
        match result {
            Ok(_) => spdlog::info!("software versions stored"),
            Err(error) => {
                self.stored_history.is_outdated = true;
                metrics::count("store_failed", "versions");
                spdlog::warn!("failed to store the software versions",
                    kv: { cause = error.to_string() });
            }
        }
    }

    /// Learns from a daemon that may have ended which software versions have served.
    pub(super) fn handle_versions_read(&mut self, row: &Row, now: Instant) {
        self.stored_history.has_read = true;
        let now_ms = self.clock.now_ms(clock::since_boot());
        match versions::decode(&row.value, now_ms) {
            Ok(Some(notice)) => {
                spdlog::info!("software versions read", kv: {
                    versions = notice.versions.len(),
                    covered_ms = notice.covered_ms.map_or(-1, |it| it as i64),
                    version = row.version,
                });
                self.merge_history(&notice, now);
                if !self.history.mixed(self.stream_window(), now).is_empty() {
                    self.request_streams(now);
                }
            }
            Ok(None) => {}
            Err(error) => {
                spdlog::error!("software versions can't be decoded; the row is replaced",
                    kv: { cause = error.to_string(), version = row.version });
            }
        }
        self.settle_queries(now);
    }
}
