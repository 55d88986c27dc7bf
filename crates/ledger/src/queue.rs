//! Records that wait for the next group commit.

use crate::message::Ticket;
use crate::record::Identity;
use crate::record::Record;
use crate::record::Step;

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

impl Pending {
    /// Whether this is an intent of the call.
    pub fn is_intent_of(&self, identity: &Identity) -> bool {
        self.record.step == Step::Intent && self.record.identity == *identity
    }
}

impl Queue {
    /// Adds a record.
    pub fn push(&mut self, record: Record, ticket: Option<Ticket>) {
        self.pending.push(Pending { record, ticket });
    }

    /// Takes what goes into the next batch.
    pub fn take_batch(&mut self) -> Vec<Pending> {
        let count = self.pending.len().min(BATCH_RECORDS);
        self.pending.drain(..count).collect()
    }

    /// Whether an intent of this call waits.
    pub fn holds_intent(&self, identity: &Identity) -> bool {
        self.pending.iter().any(|it| it.is_intent_of(identity))
    }

    /// Number of records that wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes the intents of a call that was turned away.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.pending.retain(|it| it.ticket != Some(ticket));
    }

    /// Takes all intents and leaves the outcomes.
    pub fn take_intents(&mut self) -> Vec<Pending> {
        let (intents, outcomes) =
            std::mem::take(&mut self.pending).into_iter().partition(|it| it.ticket.is_some());
        self.pending = outcomes;
        intents
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
