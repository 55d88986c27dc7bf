//! Which changes of suspected requests and prompt parts are sent to which daemons.
//!
//! A subject that was interrupted once is reported to the few daemons that count its
//! interruptions, since most such subjects were interrupted by the crash of another.
//! Once it is suspected of several crashes, its changes are gossiped to all daemons.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::subject::Subject;
use crate::suspects::Report;
use crate::suspects::Suspects;

/// Number of gossip rounds in which a changed subject is sent.
const ROUNDS: u32 = 4;
/// Maximum number of subjects that wait to be reported to their counting daemons.
const MAX_UNREPORTED: usize = 4_096;

/// Changes that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Subjects to be gossiped, in the order in which they are sent.
    queue: VecDeque<Subject>,
    /// Number of rounds in which a queued subject is still to be sent.
    rounds_left: HashMap<Subject, u32>,
    /// Subjects to be reported to their counting daemons.
    unreported: BTreeSet<Subject>,
}

impl Spread {
    /// Queues a subject that has changed. `is_own` says whether the change was observed
    /// here, not learned from another daemon.
    pub fn push(&mut self, suspects: &Suspects, subject: Subject, is_own: bool) {
        if suspects.is_repeated(subject) {
            self.push_to_all(subject);
        } else if is_own && self.unreported.len() < MAX_UNREPORTED {
            self.unreported.insert(subject);
        }
    }

    /// Queues the suspected subjects again, since a daemon was heard that may not know them:
    /// at most `limit`, those with the most crashes first.
    pub fn push_again(&mut self, suspects: &Suspects, limit: usize) {
        for subject in suspects.most_suspected(limit) {
            self.push(suspects, subject, true);
        }
    }

    /// Whether a change has not been gossiped yet.
    pub fn has_news(&self) -> bool {
        self.rounds_left.values().any(|it| *it == ROUNDS)
    }

    /// Returns up to `limit` reports for the next gossip round to all daemons.
    pub fn take_gossip(&mut self, suspects: &Suspects, limit: usize, now: Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for _ in 0..self.queue.len().min(limit) {
            let Some(subject) = self.queue.pop_front() else { break };
            reports.extend(suspects.report(subject, now));
            let rounds_left = self.rounds_left.remove(&subject).unwrap_or(0);
            if rounds_left > 1 {
                self.rounds_left.insert(subject, rounds_left - 1);
                self.queue.push_back(subject);
            }
        }
        reports
    }

    /// Returns reports for the daemons that count the interruptions of each subject.
    pub fn take_unreported(&mut self, suspects: &Suspects, now: Instant) -> Vec<Report> {
        let subjects = std::mem::take(&mut self.unreported);
        subjects.into_iter().filter_map(|it| suspects.report(it, now)).collect()
    }

    fn push_to_all(&mut self, subject: Subject) {
        if self.rounds_left.insert(subject, ROUNDS).is_none() {
            self.queue.push_back(subject);
        }
    }
}
