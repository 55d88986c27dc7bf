//! Usage: counts for the lease holder, and its reports to the cloud.

use std::net::SocketAddr;
use std::time::Instant;

use duty::horizon::Horizon;
use duty::lease::Grant;
use duty::usage::Counts;
use membership::digest::Message;
use membership::digest::Report;
use store::Error;
use store::position;
use store::table::Commit;
use store::table::Row;

use super::Broker;
use super::PLAN_INTERVAL;
use super::leader::LEASE_MARGIN;
use crate::clock;
use crate::cloud;
use crate::era;
use crate::lease;
use crate::metrics;

/// Which windows may be recorded, and the row that keeps this.
#[derive(Debug, Default)]
pub(super) struct StoredHorizon {
    pub(super) known: Horizon,
    /// Whether the row is being read or written.
    is_calling: bool,
    /// Earliest time of the next read.
    retry_at: Option<Instant>,
}

impl Broker {
    /// Reports this daemon's usage to the lease holder, if that is due.
    pub(super) fn send_usage(&mut self, holder: SocketAddr, now: Instant) {
        let Some(earlier) = self.reporting.next_to(holder, now) else { return };
        let report = self.usage_report(earlier);
        let daemon = self.context.instance_id.clone();
        self.context.streams.send(holder, &Message::Usage { daemon, report }, now);
    }

    /// Returns a report of the current usage window and the `earlier` ones before it.
    pub(super) fn usage_report(&self, earlier: u64) -> Report {
        let now_ms = self.clock.now_ms(clock::since_boot());
        Report {
            windows: self.usage.recent_windows(earlier, now_ms),
            settled: self.usage.settled(now_ms),
            work_ms: self.work_ms.iter().map(|(name, it)| (name.clone(), *it)).collect(),
        }
    }

    /// Merges the usage of another daemon.
    pub(super) fn merge_usage(&mut self, daemon: &str, report: Report) {
        self.usage.merge_remote(daemon, &report.windows, report.settled);
        let work_ms = report.work_ms.into_iter().collect();
        self.remote_work_ms.insert(daemon.to_owned(), work_ms);
    }

    /// As the lease holder, records and reports the next window that is complete.
    pub(super) fn report_usage(&mut self, grant: Grant, now: Instant) {
        if self.leader_calls.window.is_some()
            || self.leader_calls.retry_at.is_some_and(|it| now < it)
            || !self.has_horizon(now)
        {
            return;
        }
        let ends_ms = self.horizon.known.ends_ms(&self.clock);
        self.usage.set_first(ends_ms.map_or(0, |it| self.usage.window_at(it)));
        let now_ms = self.clock.now_ms(clock::since_boot());
        let live: Vec<String> = self.peers.live(now).map(|(id, _)| id.clone()).collect();
        let Some((window, counts)) = self.usage.next_report(&live, now_ms) else { return };
        self.leader_calls.window = Some(window);
        self.leader_calls.retry_at = Some(now + PLAN_INTERVAL);
        match self.usage.is_recorded(window) {
            true => self.report_window(grant, window, counts),
            false => {
                let absent = self.horizon.known.absent();
                self.call_store(lease::Job::RecordUsage { window, counts, absent });
            }
        }
    }

    pub(super) fn handle_usage_record(
        &mut self,
        window: u64,
        counts: Counts,
        absent: u64,
        result: Result<Commit, Error>,
    ) {
        let recorded = match result {
            Ok(Commit::Done { version }) => Some((version, counts, "written")),
            // Another lease holder recorded the window first, so its counts are reported.
            Ok(Commit::Conflict { rows }) => {
                let found = rows.first().and_then(|it| {
                    let counts = serde_json::from_str(&it.value).ok()?;
                    Some((it.version, counts, "found"))
                });
                if found.is_none() {
                    spdlog::info!("usage not recorded: no usable row, or another era of the store",
                        kv: { window = window, rows = rows.len(), sent_in = position::era(absent) });
                }
                found
            }
            Err(error) => {
                spdlog::info!("failed to record usage", kv: {
                    window = window,
                    cause = error.to_string(),
                });
                None
            }
        };
        let Some((version, counts, outcome)) = recorded else {
            self.leader_calls.window = None;
            return;
        };
        spdlog::info!("usage recorded", kv: {
            window = window,
            outcome = outcome,
            requests = counts.values().sum::<u64>(),
            version = version,
            era = self.era.latest().unwrap_or(0),
            sent_in = position::era(absent),
        });
        if !self.horizon.known.covers(version) {
            self.leader_calls.window = None;
            spdlog::warn!("usage recorded in another era of the store isn't reported",
                kv: { window = window, version = version });
            return;
        }
        self.usage.record(window, counts.clone());
        let Some(grant) = self.lease.grant(clock::since_boot(), LEASE_MARGIN) else {
            self.leader_calls.window = None;
            return;
        };
        self.report_window(grant, window, counts);
    }

    fn report_window(&self, grant: Grant, window: u64, counts: Counts) {
        spdlog::info!("reporting usage", kv: {
            window = window,
            requests = counts.values().sum::<u64>(),
            fence = grant.fence,
        });
        self.call_cloud(cloud::Job::Report { grant, window, counts });
    }

    pub(super) fn handle_usage_report(&mut self, window: u64, result: Result<(), Error>) {
        self.leader_calls.window = None;
        match result {
            Ok(()) => {
                self.usage.mark_reported(window);
                metrics::count("usage", "reported");
                spdlog::info!("usage reported", kv: { window = window });
            }
            Err(error) => {
                metrics::count("usage", "failed");
                spdlog::warn!("failed to report usage", kv: {
                    window = window,
                    cause = error.to_string(),
                });
            }
        }
    }

    /// Whether it is known which windows may be recorded. If not, reads the row.
    fn has_horizon(&mut self, now: Instant) -> bool {
        if self.horizon.known.is_known() {
            return true;
        }
        if self.horizon.is_calling || self.horizon.retry_at.is_some_and(|it| now < it) {
            return false;
        }
        // Other daemons may have seen the return before this one.
        if let Some(era) = self.era.latest()
            && let Some(age) = self.settling.era_age(era, now)
        {
            self.horizon.known.observe(era, clock::since_boot().saturating_sub(age));
        }
        self.horizon.is_calling = true;
        self.horizon.retry_at = Some(now + PLAN_INTERVAL);
        self.call_store(lease::Job::ReadEra);
        false
    }

    pub(super) fn handle_era_read(&mut self, result: Result<Row, Error>) {
        self.horizon.is_calling = false;
        let row = match result {
            Ok(row) => row,
            Err(error) => return report_failure("read", &error),
        };
        // The row is read again in the latest era.
        if !self.horizon.known.covers(row.version) {
            return;
        }
        let stored = era::decode(&row.value).unwrap_or_else(|error| {
            spdlog::error!("the start of the store's era can't be decoded; the row is replaced",
                kv: { cause = error.to_string(), version = row.version });
            None
        });
        let outdated = self.horizon.known.merge_stored(stored, &self.clock);
        if let Some(start) = outdated {
            self.horizon.is_calling = true;
            let content = era::encode(start);
            self.call_store(lease::Job::StoreEra { version: row.version, content });
            return;
        }
        self.report_horizon("read");
    }

    pub(super) fn handle_era_stored(&mut self, result: Result<Commit, Error>) {
        self.horizon.is_calling = false;
        match result {
            Ok(Commit::Done { version }) => {
                self.horizon.known.record_stored(version);
                self.report_horizon("stored");
            }
            // The row is read again.
            Ok(Commit::Conflict { .. }) => {}
            Err(error) => report_failure("write", &error),
        }
    }

    fn report_horizon(&self, outcome: &'static str) {
        let ends_ms = self.horizon.known.ends_ms(&self.clock);
        spdlog::info!("start of the store's era", kv: {
            outcome = outcome,
            era = self.era.latest().unwrap_or(0),
            first_window = ends_ms.map_or(0, |it| self.usage.window_at(it)),
        });
    }
}

fn report_failure(call: &'static str, error: &Error) {
    metrics::count("store_failed", "era");
    spdlog::info!("the row with the start of the store's era failed",
        kv: { call = call, cause = error.to_string() });
}
