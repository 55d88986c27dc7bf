//! Compaction: replacing batch rows by a snapshot in the object store.
//!
//! It takes three steps:
//!
//! 1. A commit adds the name of the draft to the objects to delete in the head
//!    row.
//! 2. The draft object is written.
//! 3. A single commit makes the draft the snapshot and deletes the batch rows
//!    that it contains.
//!
//! After a crash between two steps the batch rows are still there, and the next
//! holder deletes the draft.

use std::time::Duration;

use crate::message::Action;
use crate::message::Timestamp;
use crate::record::batch_key;
use crate::shard::Compaction;
use crate::shard::Draft;
use crate::shard::Lease;
use crate::shard::Shard;
use crate::snapshot;
use crate::snapshot::Descriptor;

/// Delay before the next compaction after a snapshot could not be written.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Shard {
    /// Includes the next step of the compaction in the head row that is about to
    /// be written. Returns the keys of the rows to delete in the same commit.
    pub(super) fn advance_compaction(&mut self, now: Timestamp, keeps_lease: bool) -> Vec<String> {
        let token = self.last_token;
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        let rows = held.head.next_batch - held.head.first_batch;
        match &held.compaction {
            Compaction::Idle { not_before } => {
                let is_delayed = not_before.is_some_and(|it| it > now.instant);
                if keeps_lease && rows >= self.compaction_rows && !is_delayed {
                    let name = snapshot::object_name(self.id, held.head.fence, token);
                    held.head.spare.push(name.clone());
                    held.compaction = Compaction::Registering { name };
                }
                Vec::new()
            }
            Compaction::Written(draft) => {
                let replaced = held.head.first_batch..draft.first_batch;
                let deletes = replaced.map(|number| batch_key(self.id, number)).collect();
                held.head.spare.retain(|name| *name != draft.descriptor.name);
                held.head.spare.extend(held.head.snapshot.take().map(|it| it.name));
                held.head.first_batch = draft.first_batch;
                held.head.snapshot = Some(draft.descriptor.clone());
                held.compaction = Compaction::Applying;
                deletes
            }
            Compaction::Registering { .. } | Compaction::Writing(_) | Compaction::Applying => {
                Vec::new()
            }
        }
    }

    /// Continues the compaction after the head row was written.
    pub(super) fn continue_compaction(&mut self, now: Timestamp) -> Vec<Action> {
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        match &held.compaction {
            Compaction::Registering { name } => {
                self.index.expire(now.wall_s);
                let content = snapshot::encode(self.id, self.index.records());
                let checksum = snapshot::checksum(&content);
                let name = name.clone();
                let descriptor = Descriptor { name: name.clone(), checksum };
                let draft = Draft { descriptor, first_batch: held.head.next_batch };
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
        now: Timestamp,
        name: &str,
        result: Result<(), store::Error>,
    ) -> Vec<Action> {
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        let Compaction::Writing(draft) = &held.compaction else { return Vec::new() };
        if draft.descriptor.name != name {
            // The draft belongs to a lease that was lost meanwhile.
            return Vec::new();
        }
        held.compaction = match result {
            Ok(()) => Compaction::Written(draft.clone()),
            Err(_) => Compaction::Idle { not_before: Some(now.instant + SNAPSHOT_RETRY_DELAY) },
        };
        self.commit_if_due(now)
    }
}
