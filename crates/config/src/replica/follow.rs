//! Reads of the change log in the table.

use std::rc::Rc;
use std::time::Instant;

use store::table::ABSENT;
use store::table::Row;

use crate::log;
use crate::log::Entry;
use crate::log::entry_key;
use crate::replica::Action;
use crate::replica::Head;
use crate::replica::MAX_OUT_OF_ORDER_ENTRIES;
use crate::replica::MAX_RECENT_ENTRIES;
use crate::replica::Replica;
use crate::replica::snapshot::Snapshot;

/// Number of consecutive reads with a head row older than the catalog in force.
/// Fewer can be responses that arrive late; this many mean that the table was
/// rolled back.
const STALE_HEAD_LIMIT: u32 = 8;

/// A read of the table in progress.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// Whether the result may confirm that the catalog is up to date.
    pub confirms: bool,
    head: Option<Head>,
    /// Entries with a higher revision than this are read.
    after: u64,
}

impl Replica {
    /// Starts reading the table unless a read is already in progress.
    pub(super) fn start_read(&mut self, now: Instant) {
        if self.active_read.is_some() {
            return;
        }
        self.last_read_at = Some(now);
        self.active_read = Some(Read { confirms: true, head: None, after: 0 });
        if self.snapshot_requested || self.catalog.revision > 0 {
            self.actions.push(Action::ReadHead);
            return;
        }
        self.snapshot_requested = true;
        self.actions.push(Action::ReadSnapshot);
    }

    pub(super) fn snapshot_read_completed(
        &mut self,
        now: Instant,
        result: Result<Option<Snapshot>, store::Error>,
    ) {
        self.active_read = None;
        if let Ok(Some(snapshot)) = result {
            match snapshot.catalog() {
                Ok(catalog) => self.install_catalog(catalog),
                Err(detail) => self.report(format!(
                    "snapshot {} is unusable: {detail}; ignoring it and reading all changes",
                    snapshot.pointer.revision
                )),
            }
        }
        self.start_read(now);
    }

    pub(super) fn head_read_completed(&mut self, now: Instant, result: Result<Row, store::Error>) {
        let Some(read) = self.active_read.take() else { return };
        let row = match result {
            Ok(row) => row,
            Err(error) => return self.read_failed(now, &error),
        };
        let Some(head) = self.parse_head(&row) else { return };
        if self.head.is_some_and(|known| known.version > head.version) {
            // A commit completed after this read was sent.
            return self.start_read_if_queued(now);
        }
        if head.revision < self.catalog.revision {
            return self.record_stale_head(head);
        }
        self.stale_heads = 0;
        self.active_read = Some(Read { head: Some(head), ..read });
        self.advance_read(now);
    }

    pub(super) fn entries_read_completed(
        &mut self,
        now: Instant,
        result: Result<Vec<Row>, store::Error>,
    ) {
        let rows = match result {
            Ok(rows) => rows,
            Err(error) => {
                self.active_read = None;
                return self.read_failed(now, &error);
            }
        };
        let Some(read) = self.active_read else { return };
        if let Err(detail) = self.apply_rows(&rows) {
            return self.abort_read(detail);
        }
        // Peers may have sent these entries during the read, so the rows
        // alone need not advance the catalog.
        if self.catalog.revision == read.after {
            let key = entry_key(read.after + 1);
            return self.abort_read(format!("change row {key} is missing; restore it"));
        }
        self.advance_read(now);
    }

    /// Reads further entries until the revision of the head row is in force.
    fn advance_read(&mut self, now: Instant) {
        let Some(read) = &mut self.active_read else { return };
        let confirms = read.confirms;
        let Some(head) = read.head else { return };
        if self.catalog.revision < head.revision {
            read.after = self.catalog.revision;
            self.actions.push(Action::ReadEntries(entry_key(read.after)));
            return;
        }
        self.active_read = None;
        self.head = Some(head);
        if confirms {
            self.confirm();
        } else {
            self.start_read(now);
        }
        if self.catalog.revision > head.revision {
            return self.start_read_if_queued(now);
        }
        self.write_next(now);
    }

    fn start_read_if_queued(&mut self, now: Instant) {
        if !self.queue.is_empty() {
            self.start_read(now);
        }
    }

    /// Counts a head row older than the catalog in force.
    ///
    /// Invariant: the revision in force never decreases, even if the table is
    /// rolled back.
    fn record_stale_head(&mut self, head: Head) {
        self.stale_heads += 1;
        if self.stale_heads < STALE_HEAD_LIMIT {
            return;
        }
        let detail = format!(
            "the head row is at revision {}, but {} is in force; restore the table",
            head.revision, self.catalog.revision
        );
        self.fail_queued(&detail);
        self.report(detail);
    }

    fn parse_head(&mut self, row: &Row) -> Option<Head> {
        if row.version == ABSENT {
            return Some(Head { revision: 0, version: ABSENT });
        }
        match serde_json::from_str::<log::Head>(&row.value) {
            Ok(head) => Some(Head { revision: head.revision, version: row.version }),
            Err(error) => {
                self.abort_read(format!("head row {} is malformed ({error}); restore it", row.key));
                None
            }
        }
    }

    fn apply_rows(&mut self, rows: &[Row]) -> Result<(), String> {
        for row in rows {
            let entry: Entry = serde_json::from_str(&row.value)
                .map_err(|it| format!("change row {} is malformed ({it}); restore it", row.key))?;
            if entry_key(entry.revision) != row.key {
                let revision = entry.revision;
                return Err(format!(
                    "change row {} holds revision {revision}; restore it",
                    row.key
                ));
            }
            self.apply(&entry);
        }
        Ok(())
    }

    /// Reports that the table can't be read further, and queries peers, which
    /// may know later entries.
    fn abort_read(&mut self, detail: String) {
        self.active_read = None;
        self.fail_queued(&detail);
        self.report(detail);
        self.query(None);
    }

    /// Applies an entry if it is the next one, or buffers it if it arrived out
    /// of order. Returns whether it was applied.
    ///
    /// Invariant: the revision in force increases one by one, or jumps to a
    /// complete catalog of a later revision.
    pub(super) fn apply(&mut self, entry: &Entry) -> bool {
        if entry.revision > self.catalog.revision + 1 {
            if self.out_of_order.len() < MAX_OUT_OF_ORDER_ENTRIES {
                self.out_of_order.insert(entry.revision, entry.clone());
            }
            return false;
        }
        if entry.revision <= self.catalog.revision {
            return false;
        }
        self.apply_next(entry.clone());
        while let Some(next) = self.out_of_order.remove(&(self.catalog.revision + 1)) {
            self.apply_next(next);
        }
        let revision = self.catalog.revision;
        self.out_of_order.retain(|it, _| *it > revision);
        true
    }

    fn apply_next(&mut self, entry: Entry) {
        Rc::make_mut(&mut self.catalog).apply(&entry.edit, entry.revision);
        self.recent.push_back(entry);
        if self.recent.len() > MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
    }

    pub(super) fn report(&mut self, detail: String) {
        self.actions.push(Action::Report(detail));
    }
}
