//! Eras of the store, which begin when it returns from an older copy of itself.

use std::time::Instant;

use platform::era::Irregularity;
use store::position;

use super::Broker;
use crate::clock;
use crate::metrics;

/// The store's eras as seen by this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct View {
    /// Latest era; `None` until the store has stated one.
    latest: Option<u64>,
    /// Whether an irregularity was logged in this era.
    has_logged_irregularity: bool,
}

impl View {
    /// Returns the latest era; `None` until the store has stated one.
    pub(super) fn latest(&self) -> Option<u64> {
        self.latest
    }

    /// Whether a position of the store is in the latest era.
    pub(super) fn covers(&self, position: u64) -> bool {
        position::era(position) == self.latest.unwrap_or(0)
    }
}

impl Broker {
    pub(super) fn handle_era(&mut self, era: u64, now: Instant) {
        let before = self.era.latest;
        self.settling.observe(era, now);
        self.era = View { latest: Some(era), has_logged_irregularity: false };
        metrics::set_state("store_era", i64::try_from(era).unwrap_or(i64::MAX));
        let former = before.map_or(-1, |it| i64::try_from(it).unwrap_or(i64::MAX));
        spdlog::info!("store era", kv: { era = era, before = former });
        self.lease.observe_era(era, clock::since_boot());
        self.horizon.known.observe(era, clock::since_boot());
        if before.is_some() {
            metrics::count("store_era", "began");
            // The copy may lack the rows.
            self.stored_rejected.clear();
            self.stored_history.outdate();
            self.order_book.outdate();
            self.origins.mark_own_changed();
        }
    }

    /// Counts each irregularity and logs the first one of an era.
    pub(super) fn handle_era_irregularity(&mut self, irregularity: Irregularity) {
        let cause = match irregularity {
            Irregularity::Malformed => "malformed",
            Irregularity::Outdated { .. } => "outdated",
        };
        metrics::count("store_era", cause);
        if !std::mem::replace(&mut self.era.has_logged_irregularity, true) {
            spdlog::warn!("era of a store response can't be used",
                kv: { cause = cause, response:? = irregularity });
        }
    }
}
