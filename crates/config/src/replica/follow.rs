//! Following the change log in the table.

use std::rc::Rc;
use std::time::Instant;

use store::table::ABSENT;
use store::table::Row;

use crate::log;
use crate::log::Entry;
use crate::log::entry_key;
use crate::replica::Action;
use crate::replica::EARLY_ENTRIES;
use crate::replica::Head;
use crate::replica::RECENT_ENTRIES;
use crate::replica::Replica;
use crate::replica::snapshot::Snapshot;

/// Reads in a row with an older head row than what is in force, after which
/// it is no late answer but a table that went back.
const LATE_HEADS: u32 = 8;

/// A read under way.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Whether its answer tells of the present.
    pub confirms: bool,
    head: Option<Head>,
    /// Revision after which entries are read.
    after: u64,
}

impl Replica {
    /// Reads the table, unless a read is under way.
    pub(super) fn read(&mut self, now: Instant) {
        if self.reading.is_some() {
            return;
        }
        self.read_at = Some(now);
        self.reading = Some(Reading { confirms: true, head: None, after: 0 });
        if self.snapshot_tried || self.catalog.revision > 0 {
            self.actions.push(Action::ReadHead);
            return;
        }
        self.snapshot_tried = true;
        self.actions.push(Action::ReadSnapshot);
    }

    pub(super) fn snapshot_read(
        &mut self,
        now: Instant,
        result: Result<Option<Snapshot>, store::Error>,
    ) {
        self.reading = None;
        if let Ok(Some(snapshot)) = result {
            match snapshot.catalog() {
                Ok(catalog) => self.take_catalog(catalog),
                Err(detail) => self.report(format!(
                    "snapshot {} is unusable: {detail}; it is passed over and all changes are read",
                    snapshot.pointer.revision
                )),
            }
        }
        self.read(now);
    }

    pub(super) fn head_read(&mut self, now: Instant, result: Result<Row, store::Error>) {
        let Some(reading) = self.reading.take() else { return };
        let row = match result {
            Ok(row) => row,
            Err(error) => return self.read_failed(now, &error),
        };
        let Some(head) = self.parse_head(&row) else { return };
        if self.head.is_some_and(|known| known.version > head.version) {
            // The answer was overtaken by a commit.
            return self.read_for_waiting(now);
        }
        if head.revision < self.catalog.revision {
            return self.late_head(head);
        }
        self.late_heads = 0;
        self.reading = Some(Reading { head: Some(head), ..reading });
        self.reach(now);
    }

    pub(super) fn entries_read(&mut self, now: Instant, result: Result<Vec<Row>, store::Error>) {
        let rows = match result {
            Ok(rows) => rows,
            Err(error) => {
                self.reading = None;
                return self.read_failed(now, &error);
            }
        };
        let Some(reading) = self.reading else { return };
        if let Err(detail) = self.take_rows(&rows) {
            return self.stop_at(detail);
        }
        // Entries of peers may have come in the meantime.
        if self.catalog.revision == reading.after {
            let key = entry_key(reading.after + 1);
            return self.stop_at(format!("change row {key} is missing; restore it"));
        }
        self.reach(now);
    }

    /// Reads on until the revision of the head row is in force.
    fn reach(&mut self, now: Instant) {
        let Some(reading) = &mut self.reading else { return };
        let confirms = reading.confirms;
        let Some(head) = reading.head else { return };
        if self.catalog.revision < head.revision {
            reading.after = self.catalog.revision;
            self.actions.push(Action::ReadEntries(entry_key(reading.after)));
            return;
        }
        self.reading = None;
        self.head = Some(head);
        if confirms {
            self.confirm();
        } else {
            self.read(now);
        }
        if self.catalog.revision > head.revision {
            return self.read_for_waiting(now);
        }
        self.write_next(now);
    }

    fn read_for_waiting(&mut self, now: Instant) {
        if !self.waiting.is_empty() {
            self.read(now);
        }
    }

    /// Invariant: what is in force never goes back, also when the table does.
    fn late_head(&mut self, head: Head) {
        self.late_heads += 1;
        if self.late_heads < LATE_HEADS {
            return;
        }
        let detail = format!(
            "the head row is at revision {}, but {} is in force; restore the table",
            head.revision, self.catalog.revision
        );
        self.refuse_waiting(&detail);
        self.report(detail);
    }

    fn parse_head(&mut self, row: &Row) -> Option<Head> {
        if row.version == ABSENT {
            return Some(Head { revision: 0, version: ABSENT });
        }
        match serde_json::from_str::<log::Head>(&row.value) {
            Ok(head) => Some(Head { revision: head.revision, version: row.version }),
            Err(error) => {
                self.stop_at(format!("head row {} is malformed ({error}); restore it", row.key));
                None
            }
        }
    }

    fn take_rows(&mut self, rows: &[Row]) -> Result<(), String> {
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

    /// The table can't be followed further: peers may know more.
    fn stop_at(&mut self, detail: String) {
        self.reading = None;
        self.refuse_waiting(&detail);
        self.report(detail);
        self.ask(None);
    }

    /// Puts an entry in force if it is the next one; keeps it when it came
    /// too early.
    ///
    /// Invariant: revisions in force grow one by one, or jump to a whole
    /// catalog of a later revision.
    pub(super) fn apply(&mut self, entry: &Entry) -> bool {
        if entry.revision > self.catalog.revision + 1 {
            if self.early.len() < EARLY_ENTRIES {
                self.early.insert(entry.revision, entry.clone());
            }
            return false;
        }
        if entry.revision <= self.catalog.revision {
            return false;
        }
        self.put_in_force(entry.clone());
        while let Some(next) = self.early.remove(&(self.catalog.revision + 1)) {
            self.put_in_force(next);
        }
        let revision = self.catalog.revision;
        self.early.retain(|it, _| *it > revision);
        true
    }

    fn put_in_force(&mut self, entry: Entry) {
        Rc::make_mut(&mut self.catalog).apply(&entry.edit, entry.revision);
        self.recent.push_back(entry);
        if self.recent.len() > RECENT_ENTRIES {
            self.recent.pop_front();
        }
    }

    pub(super) fn report(&mut self, detail: String) {
        self.actions.push(Action::Report(detail));
    }
}
