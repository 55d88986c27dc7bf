//! The order book: the store row of the lease holder's orders.

use std::time::Duration;
use std::time::Instant;

use duty::book::Entry;
use duty::order::Origin;
use store::Error;
use store::table::Commit;
use store::table::Row;

use super::Broker;
use super::PLAN_INTERVAL;
use crate::book;
use crate::clock;
use crate::lease;
use crate::metrics;

/// Minimum interval between writes of the row.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the row is written again without a change, so that the next holder can
/// tell that it is current.
const REWRITE_INTERVAL: Duration = Duration::from_secs(20);
/// How long a new holder waits for the row before it orders without it.
const READ_PATIENCE: Duration = Duration::from_secs(1);

/// What this daemon knows of the row.
#[derive(Debug, Default)]
pub(super) struct Stored {
    reading: Reading,
    /// Entries that the previous holder left.
    pub(super) found: Vec<Entry>,
    /// Entries as last written by this daemon.
    written: Vec<Entry>,
    written_at: Option<Instant>,
    is_writing: bool,
}

/// Progress of the read at the start of a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reading {
    #[default]
    NotBegun,
    Since(Instant),
    Completed,
}

impl Stored {
    /// Forgets the row at the start of a term.
    pub(super) fn start_term(&mut self, origin: Origin) {
        let reading = match origin {
            // No holder has written the row yet.
            Origin::Deployment => Reading::Completed,
            Origin::Orders => Reading::NotBegun,
        };
        *self = Stored { reading, is_writing: self.is_writing, ..Stored::default() };
    }

    /// Marks the row to be written again.
    pub(super) fn outdate(&mut self) {
        self.written.clear();
    }
}

impl Broker {
    /// Whether orders may be planned: the row was read or can't be read in time.
    pub(super) fn has_order_book(&mut self, now: Instant) -> bool {
        match self.order_book.reading {
            Reading::NotBegun => {
                self.order_book.reading = Reading::Since(now);
                let fence = self.led_fence.unwrap_or(0);
                self.call_store(lease::Job::ReadOrders { fence });
                false
            }
            Reading::Since(since) if now < since + READ_PATIENCE => false,
            Reading::Since(_) => {
                self.skip_order_book("timeout", "the store did not respond in time".to_owned());
                true
            }
            Reading::Completed => true,
        }
    }

    pub(super) fn handle_orders_read(
        &mut self,
        fence: u64,
        result: Result<Row, Error>,
        now: Instant,
    ) {
        // Another daemon may have replaced the row since an earlier term.
        let is_current = self.led_fence == Some(fence);
        if !is_current || !matches!(self.order_book.reading, Reading::Since(_)) {
            return;
        }
        // The next tick plans.
        self.planned_at = now.checked_sub(PLAN_INTERVAL).unwrap_or(self.planned_at);
        let row = match result {
            Ok(row) => row,
            Err(error) => return self.skip_order_book("unreadable", error.to_string()),
        };
        let era = self.era.latest().unwrap_or(0);
        match book::decode(&row.value, era, self.clock.now_ms(clock::since_boot())) {
            Ok(entries) => {
                self.order_book.reading = Reading::Completed;
                metrics::count("order_book", "read");
                spdlog::info!("order book read", kv: {
                    services = entries.len(),
                    orders = entries.iter().map(|it| it.orders.len()).sum::<usize>(),
                    need = entries.iter().map(|it| it.need).sum::<f64>(),
                    version = row.version,
                });
                self.order_book.found = entries;
            }
            Err(error) => self.skip_order_book(error.name(), error.to_string()),
        }
    }

    /// Plans without the row: nothing that serves is released until the load is known.
    fn skip_order_book(&mut self, outcome: &'static str, cause: String) {
        self.order_book.reading = Reading::Completed;
        metrics::count("order_book", outcome);
        spdlog::warn!("order book not used", kv: { outcome = outcome, cause = cause });
    }

    /// Stores the orders if they have changed, and periodically.
    pub(super) fn store_orders(&mut self, now: Instant) {
        let stored = &self.order_book;
        if self.planners.is_empty() || stored.is_writing || stored.reading != Reading::Completed {
            return;
        }
        let since_write = stored.written_at.map(|it| now.saturating_duration_since(it));
        if since_write.is_some_and(|it| it < WRITE_INTERVAL) {
            return;
        }
        let mut entries: Vec<Entry> =
            self.planners.iter().map(|(service, it)| it.entry(service, now)).collect();
        entries.sort_by(|a, b| a.service.cmp(&b.service));
        let is_same = |(a, b): (&Entry, &Entry)| a.service == b.service && !a.is_outdated_by(b);
        let is_current = entries.len() == stored.written.len()
            && stored.written.iter().zip(&entries).all(is_same)
            && since_write.is_some_and(|it| it < REWRITE_INTERVAL);
        if is_current {
            return;
        }
        let era = self.era.latest().unwrap_or(0);
        let content = book::encode(&entries, era, self.clock.now_ms(clock::since_boot()));
        self.order_book.written = entries;
        self.order_book.written_at = Some(now);
        self.order_book.is_writing = true;
        self.call_store(lease::Job::StoreOrders { content });
    }

    pub(super) fn handle_orders_stored(&mut self, result: Result<Commit, Error>) {
        self.order_book.is_writing = false;
        match result {
            Ok(_) => metrics::count("order_book", "stored"),
            Err(error) => {
                self.order_book.outdate();
                metrics::count("store_failed", "orders");
                spdlog::warn!("failed to store the order book",
                    kv: { cause = error.to_string() });
            }
        }
    }
}
