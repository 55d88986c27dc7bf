//! What is known of each call of a shard.

use std::collections::HashMap;

use crate::record::Answer;
use crate::record::Claim;
use crate::record::Identity;
use crate::record::RETENTION_S;
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
    entries: HashMap<Identity, Dated>,
}

#[derive(Clone, Debug)]
struct Dated {
    entry: Entry,
    wall_s: u64,
    request: u64,
}

impl Book {
    /// Replays records written by earlier holders.
    pub fn replay(&mut self, records: &[Record]) {
        records.iter().for_each(|record| self.note(record));
    }

    /// Turns what earlier holders left open into unknown.
    pub fn close_open(&mut self) {
        let open = self.entries.values_mut().filter(|it| it.entry == Entry::Running);
        open.for_each(|it| it.entry = Entry::Unknown);
    }

    /// Notes a record.
    pub fn note(&mut self, record: &Record) {
        let entry = match &record.step {
            Step::Intent => Entry::Running,
            Step::Done(answer) => Entry::Done(answer.clone()),
            Step::Unknown => Entry::Unknown,
            Step::NotRun => {
                self.entries.remove(&record.identity);
                return;
            }
        };
        // An outcome belongs to what the intent asked for.
        let intended = self.entries.get(&record.identity).map_or(0, |it| it.request);
        let request = if record.request == 0 { intended } else { record.request };
        let dated = Dated { entry, wall_s: record.wall_s, request };
        self.entries.insert(record.identity.clone(), dated);
    }

    /// State of a call, `None` when it was never intended or was not run.
    pub fn entry(&self, identity: &Identity) -> Option<&Entry> {
        self.entries.get(identity).map(|it| &it.entry)
    }

    /// Whether a call is known by another request.
    pub fn differs(&self, claim: &Claim) -> bool {
        self.entries.get(&claim.identity).is_some_and(|it| it.request != claim.request)
    }

    /// Forgets calls that ended longer ago than the retention.
    pub fn expire(&mut self, wall_s: u64) {
        self.entries.retain(|_, it| {
            it.entry == Entry::Running || wall_s.saturating_sub(it.wall_s) < RETENTION_S
        });
    }

    /// Everything as records, in order of the calls' identities.
    pub fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self.entries.iter().map(record).collect();
        records.sort_by(|one, other| one.identity.cmp(&other.identity));
        records
    }
}

fn record((identity, dated): (&Identity, &Dated)) -> Record {
    let step = match &dated.entry {
        Entry::Running => Step::Intent,
        Entry::Done(answer) => Step::Done(answer.clone()),
        Entry::Unknown => Step::Unknown,
    };
    Record { identity: identity.clone(), step, wall_s: dated.wall_s, request: dated.request }
}
