//! Which changes of suspected requests are sent to which daemons.
//!
//! A request that was interrupted once is reported to the few daemons that count its
//! interruptions, since most such requests were interrupted by the crash of another.
//! Once it is suspected of several crashes, its changes are gossiped to all daemons.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::suspects::Report;
use crate::suspects::Suspects;

/// Number of gossip rounds in which a changed request is sent.
const ROUNDS: u32 = 4;
/// Maximum number of requests that wait to be reported to their counting daemons.
const MAX_UNREPORTED: usize = 4_096;

/// Changes that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Requests to be gossiped, in the order in which they are sent.
    queue: VecDeque<u128>,
    /// Number of rounds in which a queued request is still to be sent.
    rounds_left: HashMap<u128, u32>,
    /// Requests to be reported to their counting daemons.
    unreported: BTreeSet<u128>,
}

impl Spread {
    /// Queues a request that has changed. `is_own` says whether the change was observed
    /// here, not learned from another daemon.
    pub fn push(&mut self, suspects: &Suspects, fingerprint: u128, is_own: bool) {
        if suspects.is_repeated(fingerprint) {
            self.push_to_all(fingerprint);
        } else if is_own && self.unreported.len() < MAX_UNREPORTED {
            self.unreported.insert(fingerprint);
        }
    }

    /// Queues the requests that all daemons should know, since a daemon was heard that
    /// may not know them: at most `limit`, those with the most crashes first.
    pub fn push_again(&mut self, suspects: &Suspects, limit: usize) {
        for fingerprint in suspects.most_suspected(limit) {
            if suspects.is_repeated(fingerprint) {
                self.push_to_all(fingerprint);
            }
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
            let Some(fingerprint) = self.queue.pop_front() else { break };
            reports.extend(suspects.report(fingerprint, now));
            let rounds_left = self.rounds_left.remove(&fingerprint).unwrap_or(0);
            if rounds_left > 1 {
                self.rounds_left.insert(fingerprint, rounds_left - 1);
                self.queue.push_back(fingerprint);
            }
        }
        reports
    }

    /// Returns reports for the daemons that count the interruptions of each request.
    pub fn take_unreported(&mut self, suspects: &Suspects, now: Instant) -> Vec<Report> {
        let fingerprints = std::mem::take(&mut self.unreported);
        fingerprints.into_iter().filter_map(|it| suspects.report(it, now)).collect()
    }

    fn push_to_all(&mut self, fingerprint: u128) {
        if self.rounds_left.insert(fingerprint, ROUNDS).is_none() {
            self.queue.push_back(fingerprint);
        }
    }
}
