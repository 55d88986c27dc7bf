//! Records that wait for the next group commit.

use crate::record::Identity;
use crate::record::Record;
use crate::record::Step;
use crate::shard::Ticket;

/// Most records of one batch row.
const BATCH_RECORDS: usize = 256;

/// A record that waits, with whom to tell once it is written.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Record.
    pub record: Record,
    /// Call that may leave once an intent is written.
    pub ticket: Option<Ticket>,
}

/// Records in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pending: Vec<Pending>,
}

impl Queue {
    /// Adds a record.
    pub fn push(&mut self, identity: Identity, step: Step, ticket: Option<Ticket>) {
        self.pending.push(Pending { record: Record { identity, step }, ticket });
    }

    /// Takes what goes into the next batch.
    pub fn take_batch(&mut self) -> Vec<Pending> {
        let count = self.pending.len().min(BATCH_RECORDS);
        self.pending.drain(..count).collect()
    }

    /// Whether an intent of this call waits.
    pub fn holds_intent(&self, identity: &Identity) -> bool {
        self.pending.iter().any(|it| it.ticket.is_some() && it.record.identity == *identity)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes everything.
    pub fn take_all(&mut self) -> Vec<Pending> {
        std::mem::take(&mut self.pending)
    }
}
