//! In-memory index of the calls of a shard.

use std::collections::HashMap;

use crate::record::Answer;
use crate::record::Claim;
use crate::record::Identity;
use crate::record::RETENTION_S;
use crate::record::Record;
use crate::record::Step;

/// Status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The intent is written and the outcome is not known yet.
    Running,
    /// Executed and answered.
    Done(Answer),
    /// May have been executed. It must not be run again.
    Unknown,
}

/// The calls of a shard by identity.
#[derive(Clone, Debug, Default)]
pub struct Index {
    entries: HashMap<Identity, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    status: Status,
    wall_s: u64,
    fingerprint: u64,
}

impl Index {
    /// Applies records written by previous holders.
    pub fn replay(&mut self, records: &[Record]) {
        records.iter().for_each(|record| self.apply(record));
    }

    /// Marks the calls that previous holders left running as unknown.
    pub fn mark_running_unknown(&mut self) {
        let running = self.entries.values_mut().filter(|it| it.status == Status::Running);
        running.for_each(|it| it.status = Status::Unknown);
    }

    /// Applies a record.
    pub fn apply(&mut self, record: &Record) {
        let status = match &record.step {
            Step::Intent => Status::Running,
            Step::Done(answer) => Status::Done(answer.clone()),
            Step::Unknown => Status::Unknown,
            Step::NotRun => {
                self.entries.remove(&record.identity);
                return;
            }
        };
        // Records of an outcome have no fingerprint; they keep that of the intent.
        let known = self.entries.get(&record.identity).map_or(0, |it| it.fingerprint);
        let fingerprint = if record.request == 0 { known } else { record.request };
        let entry = Entry { status, wall_s: record.wall_s, fingerprint };
        self.entries.insert(record.identity.clone(), entry);
    }

    /// Returns the status of a call, or `None` if it has no record or was not run.
    pub fn status(&self, identity: &Identity) -> Option<&Status> {
        self.entries.get(identity).map(|it| &it.status)
    }

    /// Whether the call is recorded with the fingerprint of another request.
    pub fn has_other_fingerprint(&self, claim: &Claim) -> bool {
        self.entries.get(&claim.identity).is_some_and(|it| it.fingerprint != claim.fingerprint)
    }

    /// Removes calls that ended longer ago than the retention period.
    pub fn expire(&mut self, wall_s: u64) {
        self.entries.retain(|_, it| {
            it.status == Status::Running || wall_s.saturating_sub(it.wall_s) < RETENTION_S
        });
    }

    /// Returns all calls as records, ordered by identity.
    pub fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self.entries.iter().map(to_record).collect();
        records.sort_by(|a, b| a.identity.cmp(&b.identity));
        records
    }
}

fn to_record((identity, entry): (&Identity, &Entry)) -> Record {
    let step = match &entry.status {
        Status::Running => Step::Intent,
        Status::Done(answer) => Step::Done(answer.clone()),
        Status::Unknown => Step::Unknown,
    };
    Record { identity: identity.clone(), step, wall_s: entry.wall_s, request: entry.fingerprint }
}
