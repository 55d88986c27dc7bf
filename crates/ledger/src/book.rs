//! What is known of each call of a shard.

use std::collections::HashMap;

use crate::record::Answer;
use crate::record::Identity;
use crate::record::Record;
use crate::record::Step;

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The holder has written the intent and has not heard the outcome.
    Running,
    /// Executed and answered.
    Done(Answer),
    /// May have been executed; never to be run again.
    Unknown,
}

/// Calls of a shard.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: HashMap<Identity, Entry>,
}

impl Book {
    /// Replays records written by earlier holders. An intent without outcome
    /// is unknown from then on.
    pub fn replay(&mut self, records: &[Record]) {
        for record in records {
            self.note(record);
        }
    }

    /// Turns what earlier holders left open into unknown.
    pub fn close_open(&mut self) {
        let open = self.entries.values_mut().filter(|entry| **entry == Entry::Running);
        open.for_each(|entry| *entry = Entry::Unknown);
    }

    /// Notes a record.
    pub fn note(&mut self, record: &Record) {
        let identity = record.identity.clone();
        match &record.step {
            Step::Intent => self.entries.insert(identity, Entry::Running),
            Step::Done(answer) => self.entries.insert(identity, Entry::Done(answer.clone())),
            Step::Unknown => self.entries.insert(identity, Entry::Unknown),
            Step::NotRun => self.entries.remove(&identity),
        };
    }

    /// State of a call, `None` when it was never intended or was not run.
    pub fn entry(&self, identity: &Identity) -> Option<&Entry> {
        self.entries.get(identity)
    }
}
