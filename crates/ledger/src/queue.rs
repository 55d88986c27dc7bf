//! Queue of the records to be written by the next group commits.

use crate::message::Ticket;
use crate::record::Identity;
use crate::record::Record;
use crate::record::Step;

/// Maximum number of records in a batch row.
const MAX_BATCH_RECORDS: usize = 256;

/// A queued record and the call to notify once it is written.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The record.
    pub record: Record,
    /// For an intent: the call that may be sent once the intent is written.
    pub ticket: Option<Ticket>,
}

/// First-in, first-out queue of records.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pending: Vec<Pending>,
}

impl Pending {
    /// Whether this is an intent of the given call.
    pub fn is_intent_of(&self, identity: &Identity) -> bool {
        self.record.step == Step::Intent && self.record.identity == *identity
    }
}

impl Queue {
    /// Appends a record.
    pub fn push(&mut self, record: Record, ticket: Option<Ticket>) {
        self.pending.push(Pending { record, ticket });
    }

    /// Removes and returns the records of the next batch.
    pub fn take_batch(&mut self) -> Vec<Pending> {
        let count = self.pending.len().min(MAX_BATCH_RECORDS);
        self.pending.drain(..count).collect()
    }

    /// Whether an intent of the given call is queued.
    pub fn contains_intent(&self, identity: &Identity) -> bool {
        self.pending.iter().any(|it| it.is_intent_of(identity))
    }

    /// Returns the number of queued records.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes the intents of a rejected call.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.pending.retain(|it| it.ticket != Some(ticket));
    }

    /// Removes and returns all intents that a call waits for. The other records
    /// stay queued.
    pub fn take_intents(&mut self) -> Vec<Pending> {
        let (intents, outcomes) =
            std::mem::take(&mut self.pending).into_iter().partition(|it| it.ticket.is_some());
        self.pending = outcomes;
        intents
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
