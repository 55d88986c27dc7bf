//! Replacing batch rows by a snapshot in the object store.
//!
//! First a commit tells the head row the name of the draft, then the object
//! is written, then one commit names it as the snapshot and deletes the rows
//! that it contains. A crash between steps leaves the rows, and the next
//! holder deletes the draft.

use std::time::Duration;

use crate::message::Action;
use crate::message::Moment;
use crate::record::batch_key;
use crate::shard::Compaction;
use crate::shard::Draft;
use crate::shard::Lease;
use crate::shard::Shard;
use crate::snapshot;
use crate::snapshot::Named;

/// Pause after a snapshot that could not be written.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

impl Shard {
    /// Puts the next step of a snapshot into the head row that is about to be
    /// written, and gives the rows that it makes superfluous.
    pub(super) fn advance_compaction(&mut self, now: Moment, stays: bool) -> Vec<String> {
        let token = self.next_token;
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        let rows = held.head.next_batch - held.head.first_batch;
        match &held.compaction {
            Compaction::Idle { not_before } => {
                let waits = not_before.is_some_and(|it| it > now.instant);
                if stays && rows >= self.compact_rows && !waits {
                    let name = snapshot::object_name(self.id, held.head.fence, token);
                    held.head.spare.push(name.clone());
                    held.compaction = Compaction::Naming { name };
                }
                Vec::new()
            }
            Compaction::Written(draft) => {
                let old = held.head.first_batch..draft.first_batch;
                let deletes = old.map(|number| batch_key(self.id, number)).collect();
                held.head.spare.retain(|name| *name != draft.named.name);
                held.head.spare.extend(held.head.snapshot.take().map(|it| it.name));
                held.head.first_batch = draft.first_batch;
                held.head.snapshot = Some(draft.named.clone());
                held.compaction = Compaction::Applying;
                deletes
            }
            Compaction::Naming { .. } | Compaction::Writing(_) | Compaction::Applying => Vec::new(),
        }
    }

    /// A head row was written: goes on with the snapshot that it tells of.
    pub(super) fn continue_compaction(&mut self, now: Moment) -> Vec<Action> {
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        match &held.compaction {
            Compaction::Naming { name } => {
                self.book.expire(now.wall_s);
                let content = snapshot::encode(self.id, self.book.records());
                let checksum = snapshot::checksum(&content);
                let name = name.clone();
                let named = Named { name: name.clone(), checksum };
                let draft = Draft { named, first_batch: held.head.next_batch };
                held.compaction = Compaction::Writing(draft);
                vec![Action::WriteSnapshot { name, content }]
            }
            Compaction::Applying => {
                held.compaction = Compaction::Idle { not_before: None };
                let spare = std::mem::take(&mut held.head.spare);
                spare.into_iter().map(Action::DeleteSnapshot).collect()
            }
            Compaction::Idle { .. } | Compaction::Writing(_) | Compaction::Written(_) => Vec::new(),
        }
    }

    pub(super) fn snapshot_written(
        &mut self,
        now: Moment,
        name: &str,
        result: Result<(), store::Error>,
    ) -> Vec<Action> {
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        let Compaction::Writing(draft) = &held.compaction else { return Vec::new() };
        if draft.named.name != name {
            // Of a lease that was lost meanwhile.
            return Vec::new();
        }
        held.compaction = match result {
            Ok(()) => Compaction::Written(draft.clone()),
            Err(_) => Compaction::Idle { not_before: Some(now.instant + RETRY_PAUSE) },
        };
        self.pump(now)
    }
}
