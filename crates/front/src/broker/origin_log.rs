//! The store rows that keep where streams began.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::origin;
use balance::origin::Key;
use balance::origin_log::Log;
use balance::origin_log::MAX_DELETES;
use balance::origin_log::Write;
use store::Error;
use store::table::Commit;
use store::table::Put;
use store::table::Row;
use store::table::Transaction;

use super::Broker;
use crate::clock;
use crate::metrics;
use crate::origin_calls::Job;
use crate::origin_rows;
use crate::origin_rows::Stream;

/// Interval at which streams to be written are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between reads of the rows in a small fleet.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Share of a daemon in the minimum interval between its reads.
const READ_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(25);
/// How long an arrival waits for the rows.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the lease holder looks for rows that daemons have left.
const COLLECT_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of rows of other daemons that are remembered until they expire.
const MAX_FOREIGN_ROWS: usize = 16_384;

/// What this daemon knows of the rows.
#[derive(Debug)]
pub(super) struct Stored {
    log: Log,
    writing: Size,
    checked_at: Instant,
    /// When the read that has no response yet began.
    reading_since: Option<Instant>,
    /// When the latest read began.
    read_at: Option<Instant>,
    /// Whether the rows have to be read.
    must_read: bool,
    /// Rows of other daemons, and when all of their streams have expired.
    foreign: BTreeMap<String, Instant>,
    is_deleting: bool,
    /// When the lease holder looks for rows that daemons have left.
    collects_at: Option<Instant>,
}

/// Size of a write, for logs.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    streams: usize,
    bytes: usize,
    /// Number of rows that it deletes.
    deleted: usize,
}

impl Stored {
    pub(super) fn new(now: Instant) -> Stored {
        Stored {
            log: Log::default(),
            writing: Size::default(),
            checked_at: now,
            reading_since: None,
            read_at: None,
            must_read: false,
            foreign: BTreeMap::new(),
            is_deleting: false,
            collects_at: None,
        }
    }
}

impl Broker {
    /// Writes the streams that began here, and reads and deletes the rows as far as that is due.
    pub(super) fn tick_stored_streams(&mut self, now: Instant) {
        self.read_streams_if_due(now);
        if now < self.stored_streams.checked_at + CHECK_INTERVAL {
            return;
        }
        self.stored_streams.checked_at = now;
        self.log_streams(now);
        self.write_streams(now);
        self.collect_rows(now);
    }

    /// Whether a stream that other daemons don't know is looked for in the rows. In a large fleet
    /// they are too many to be read for each of the few streams that are lost with a daemon.
    pub(super) fn may_be_stored(&self, now: Instant) -> bool {
        !self.is_large_fleet() || !self.history.mixed(self.stream_window(), now).is_empty()
    }

    /// Requests a read of the rows. It begins at once unless one began shortly before.
    pub(super) fn request_streams(&mut self, now: Instant) {
        self.stored_streams.must_read = true;
        self.read_streams_if_due(now);
    }

    pub(super) fn handle_streams_stored(&mut self, result: Result<Commit, Error>) {
        self.stored_streams.log.finish(result.is_ok());
        match result {
            Ok(_) => {
                let Size { streams, bytes, deleted } = self.stored_streams.writing;
                metrics::count("stream_rows", "stored");
                metrics::count_many("stream_rows", "stored_streams", streams as u64);
                spdlog::info!("streams stored", kv: {
                    streams = streams,
                    bytes = bytes,
                    deleted = deleted,
                    rows = self.stored_streams.log.count(),
                });
            }
            Err(error) => {
                metrics::count("store_failed", "streams");
                spdlog::warn!("failed to store streams", kv: { cause = error.to_string() });
            }
        }
    }

    /// Learns from daemons that may have ended where streams began.
    pub(super) fn handle_streams_read(&mut self, result: Result<Vec<Row>, Error>, now: Instant) {
        let since = self.stored_streams.reading_since.take().unwrap_or(now);
        match result {
            Ok(rows) => {
                metrics::count("stream_rows", "read");
                self.merge_rows(&rows, now);
                self.settle_origins(now);
                self.end_stored_queries(since, now);
            }
            Err(error) => {
                self.stored_streams.must_read = true;
                metrics::count("store_failed", "streams");
                spdlog::warn!("failed to read streams", kv: { cause = error.to_string() });
            }
        }
    }

    pub(super) fn handle_stream_rows_deleted(&mut self, result: Result<Commit, Error>) {
        self.stored_streams.is_deleting = false;
        match result {
            Ok(_) => metrics::count("stream_rows", "deleted"),
            // The next read finds the rows again.
            Err(error) => {
                metrics::count("store_failed", "streams");
                spdlog::warn!("failed to delete rows of streams",
                    kv: { cause = error.to_string() });
            }
        }
    }

    /// Adds the streams to be written. Those of a moment are lost with all daemons, so that the
    /// moment is short while another version serves or may be about to.
    fn log_streams(&mut self, now: Instant) {
        let is_calm = !self.may_release(now);
        let log = &mut self.stored_streams.log;
        log.set_calm(is_calm);
        log.add(self.origins.take_changed());
    }

    fn write_streams(&mut self, now: Instant) {
        let daemons = self.peers.live(now).count() + 1;
        let Some(write) = self.stored_streams.log.next_write(&self.origins, daemons, now) else {
            return;
        };
        let Write { row, streams, expired } = write;
        let daemon = self.context.instance_id.as_str();
        let streams: Vec<Stream> = streams
            .into_iter()
            .map(|notice| Stream { is_settled: self.is_settled(&notice, now), notice })
            .collect();
        let content = origin_rows::encode(&streams, self.clock.now_ms(clock::since_boot()));
        self.stored_streams.writing =
            Size { streams: streams.len(), bytes: content.len(), deleted: expired.len() };
        metrics::set_state("stream_rows", self.stored_streams.log.count() as i64);
        let put = |number| Put { key: origin_rows::row_key(daemon, number), value: content };
        let transaction = Transaction {
            checks: Vec::new(),
            puts: row.map(put).into_iter().collect(),
            deletes: expired.iter().map(|it| origin_rows::row_key(daemon, *it)).collect(),
        };
        let _ = self.context.stream_writes.send(Job::Write(transaction));
    }

    /// Whether it is known that the stream began at its origin's instance.
    fn is_settled(&self, notice: &origin::Notice, now: Instant) -> bool {
        self.origins.get(notice.key, now).is_none_or(|it| it.is_settled)
    }

    fn read_streams_if_due(&mut self, now: Instant) {
        let interval =
            READ_INTERVAL.max(READ_INTERVAL_PER_DAEMON * (self.peers.live(now).count() as u32 + 1));
        let stored = &mut self.stored_streams;
        let is_early = stored.read_at.is_some_and(|it| now < it + interval);
        if !stored.must_read || stored.reading_since.is_some() || is_early {
            return;
        }
        stored.must_read = false;
        stored.reading_since = Some(now);
        stored.read_at = Some(now);
        let _ = self.context.stream_reads.send(Job::Read);
    }

    fn merge_rows(&mut self, rows: &[Row], now: Instant) {
        let now_ms = self.clock.now_ms(clock::since_boot());
        let (mut count, mut unsettled) = (0, 0);
        for row in rows {
            let writer = origin_rows::writer(&row.key);
            if writer == self.context.instance_id {
                continue;
            }
            let daemon: Rc<str> = Rc::from(writer);
            let streams = match origin_rows::decode(&row.value, now_ms) {
                Ok(streams) => streams,
                Err(error) => {
                    metrics::count("stream_rows", "malformed");
                    spdlog::error!("row of streams can't be decoded; it is skipped",
                        kv: { row = row.key.as_str(), cause = error.to_string() });
                    let expires_at = now + self.stream_window();
                    self.note_foreign_row(&row.key, expires_at);
                    continue;
                }
            };
            count += streams.len();
            let lifetime_ms = streams.iter().map(|it| it.notice.lifetime_ms).max();
            self.note_foreign_row(&row.key, now + Duration::from_millis(lifetime_ms.unwrap_or(0)));
            for Stream { notice, is_settled } in streams {
                unsettled += usize::from(!is_settled);
                self.origins.merge_remote(&notice, &daemon, is_settled, now);
            }
        }
        spdlog::info!("streams read", kv: {
            rows = rows.len(),
            streams = count,
            unsettled = unsettled,
            waiting = self.queries.len(),
        });
    }

    /// Remembers a row of another daemon. A malformed one keeps the time of its first sight.
    fn note_foreign_row(&mut self, key: &str, expires_at: Instant) {
        let foreign = &mut self.stored_streams.foreign;
        if foreign.len() < MAX_FOREIGN_ROWS {
            foreign.entry(key.to_owned()).or_insert(expires_at);
        }
    }

    /// Ends the queries that wait for a read that began at `since`, and those of streams that are
    /// known now.
    fn end_stored_queries(&mut self, since: Instant, now: Instant) {
        let is_answered = |key: &Key, asked_at: Option<Instant>| {
            asked_at.is_some_and(|it| it <= since) || self.origins.get(*key, now).is_some()
        };
        let answered = self.queries.iter().filter(|(key, it)| is_answered(key, it.stored_since));
        let answered: Vec<Key> = answered.map(|(key, _)| *key).collect();
        answered.into_iter().for_each(|it| self.end_query(it, now));
        if self.queries.values().any(|it| it.stored_since.is_some()) {
            self.request_streams(now);
        }
    }

    /// As the lease holder, looks for rows that daemons have left, and deletes those whose streams
    /// have expired.
    fn collect_rows(&mut self, now: Instant) {
        let is_leader = self.is_leader;
        let stored = &mut self.stored_streams;
        if stored.collects_at.is_none() {
            stored.collects_at = Some(now + COLLECT_INTERVAL);
        }
        if stored.collects_at.is_some_and(|it| now >= it) {
            stored.collects_at = None;
            stored.must_read |= is_leader;
        }
        let expired = stored.foreign.iter().filter(|(_, at)| now >= **at).take(MAX_DELETES);
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        if expired.is_empty() || stored.is_deleting {
            return;
        }
        expired.iter().for_each(|it| {
            stored.foreign.remove(it);
        });
        if is_leader {
            stored.is_deleting = true;
            let _ = self.context.stream_writes.send(Job::Delete(expired));
        }
    }
}
