//! Which streams a daemon has to write to the store, so that daemons that start when no other
//! is left learn where they began, and when.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::origin::Key;
use crate::origin::Notice;
use crate::origin::Origins;

/// Maximum number of streams that wait to be written.
const MAX_PENDING: usize = 16_384;
/// Maximum size of the streams in a row, in bytes before the store's encoding.
const MAX_ROW_BYTES: usize = 40_000;
/// Size of a stream in a row beside its names, in bytes.
const STREAM_BYTES: usize = 160;
/// Maximum number of rows that a write deletes.
pub const MAX_DELETES: usize = 50;
/// Minimum interval between writes in a small fleet.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between writes while no other version serves.
const CALM_INTERVAL: Duration = Duration::from_secs(1);
/// Share of a daemon in the minimum interval between its writes: all daemons together make at
/// most 50 a second, a third of what the store performs on rows of one part.
const INTERVAL_PER_DAEMON: Duration = Duration::from_millis(20);
/// Intervals between a write that failed and the next one.
const RETRY_INTERVALS: u32 = 4;
/// Time without a write after which expired rows are deleted alone.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// A write to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Number of the new row; none if rows are only deleted.
    pub row: Option<u64>,
    /// Streams in the new row.
    pub streams: Vec<Notice>,
    /// Numbers of rows to be deleted, as their streams have expired.
    pub expired: Vec<u64>,
}

/// A row of this daemon that may be in the store.
#[derive(Clone, Copy, Debug)]
struct Row {
    number: u64,
    expires_at: Instant,
}

/// Streams that wait to be written, and the rows that hold others.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pending: VecDeque<Key>,
    rows: Vec<Row>,
    next_row: u64,
    in_flight: Option<InFlight>,
    written_at: Option<Instant>,
    has_failed: bool,
    is_calm: bool,
}

/// A write without a response yet.
#[derive(Clone, Debug)]
struct InFlight {
    streams: Vec<Key>,
    expired: Vec<u64>,
}

impl Log {
    /// Adds streams that have to be written. If there are too many, the oldest ones are left out.
    pub fn add(&mut self, streams: impl IntoIterator<Item = Key>) {
        self.pending.extend(streams);
        let surplus = self.pending.len().saturating_sub(MAX_PENDING);
        self.pending.drain(..surplus);
    }

    /// Sets whether only one version of each service serves, as far as known.
    pub fn set_calm(&mut self, is_calm: bool) {
        self.is_calm = is_calm;
    }

    /// Returns the write that is due, if any. The next one is due only after [`Log::finish`].
    pub fn next_write(&mut self, origins: &Origins, daemons: usize, now: Instant) -> Option<Write> {
        let since_write = self.written_at.map(|it| now.saturating_duration_since(it));
        let interval = self.interval(daemons);
        if self.in_flight.is_some() || since_write.is_some_and(|it| it < interval) {
            return None;
        }
        let streams = self.take_pending(origins, now);
        let expired: Vec<u64> = self
            .rows
            .iter()
            .filter(|it| now >= it.expires_at)
            .take(MAX_DELETES)
            .map(|it| it.number)
            .collect();
        let is_idle = since_write.is_some_and(|it| it >= IDLE_TIME);
        if streams.is_empty() && (expired.is_empty() || !is_idle) {
            return None;
        }
        let lifetime_ms = streams.iter().map(|it| it.lifetime_ms).max();
        let row = lifetime_ms.map(|it| self.add_row(now + Duration::from_millis(it)));
        self.written_at = Some(now);
        let keys = streams.iter().map(|it| it.key).collect();
        self.in_flight = Some(InFlight { streams: keys, expired: expired.clone() });
        Some(Write { row, streams, expired })
    }

    /// Records the outcome of the write. Streams of one that failed are written again.
    pub fn finish(&mut self, is_success: bool) {
        self.has_failed = !is_success;
        let Some(InFlight { streams, expired }) = self.in_flight.take() else { return };
        if is_success {
            self.rows.retain(|it| !expired.contains(&it.number));
        } else {
            self.add(streams);
        }
    }

    /// Returns the number of rows that may be in the store.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    fn interval(&self, daemons: usize) -> Duration {
        let interval = if self.is_calm { CALM_INTERVAL } else { WRITE_INTERVAL };
        let interval = interval.max(INTERVAL_PER_DAEMON * daemons as u32);
        if self.has_failed { interval * RETRY_INTERVALS } else { interval }
    }

    /// Returns the number of a new row. A write that has failed may be performed later, so that
    /// each has a row of its own, which is deleted in any case.
    fn add_row(&mut self, expires_at: Instant) -> u64 {
        let number = self.next_row;
        self.next_row += 1;
        self.rows.push(Row { number, expires_at });
        number
    }

    /// Takes the streams that fit into a row.
    fn take_pending(&mut self, origins: &Origins, now: Instant) -> Vec<Notice> {
        let mut seen = HashSet::new();
        let mut streams = Vec::new();
        let mut bytes = 0;
        while bytes < MAX_ROW_BYTES
            && let Some(key) = self.pending.pop_front()
        {
            let Some(notice) = origins.notice(key, now).filter(|_| seen.insert(key)) else {
                continue;
            };
            let software = notice.origin.software.as_ref().map_or(0, String::len);
            bytes += STREAM_BYTES + notice.origin.service.len() + software;
            streams.push(notice);
        }
        streams
    }
}
