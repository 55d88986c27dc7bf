//! Invariants checked after a run, and statistics of the events that occurred.

use std::collections::HashSet;
use std::time::Duration;

use ledger::message::Verdict;
use ledger::record::Identity;
use ledger::record::ShardId;
use ledger::record::decode_head;
use ledger::record::head_key;
use store::table::Table;

use super::Stage;
use super::World;

/// Statistics summed over all runs.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of calls.
    pub calls: usize,
    /// Number of granted calls.
    pub granted: usize,
    /// Number of executed keys.
    pub executed: usize,
    /// Number of calls with the verdict "unknown".
    pub unknown: usize,
    /// Number of those whose key was never executed.
    pub unknown_not_run: usize,
    /// Number of snapshots read by a lease holder.
    pub snapshots_loaded: usize,
    /// Number of lease acquisitions.
    pub holders: usize,
}

impl World {
    /// Checks that no call was executed twice, and that no executed call was
    /// reported as not run.
    pub fn check_verdicts(&self) {
        for (identity, tickets) in &self.executed {
            let seed = self.seed;
            assert!(tickets.len() <= 1, "{identity:?} executed by {tickets:?}, seed {seed:#x}");
        }
        for call in &self.calls {
            let not_run = matches!(call.verdict, Some(Verdict::Unavailable { .. }))
                || call.stage == Stage::Rejected
                || matches!(call.stage, Stage::Ended { not_run: true });
            let ran = self.executed.get(&call.identity).is_some_and(|it| it.contains(&call.ticket));
            assert!(
                !(not_run && ran),
                "{:?} executed, but reported as not run, seed {:#x}",
                call.ticket,
                self.seed
            );
        }
    }

    /// Checks that a new key is granted whichever daemon receives it first, and that
    /// every known key gets a final verdict, each within the given time.
    pub fn check_progress(&mut self, within: Duration) {
        self.end_all();
        for daemon in 0..self.daemons.len() {
            let fresh = Identity::from_name(&format!("fresh {daemon}"));
            let verdict = self.final_verdict(daemon, &fresh, within);
            assert!(
                matches!(verdict, Verdict::Granted { .. }),
                "{verdict:?}, seed {:#x}",
                self.seed
            );
            self.end_all();
        }
        let identities: HashSet<Identity> =
            self.calls.iter().map(|it| it.identity.clone()).collect();
        for identity in identities {
            self.final_verdict(0, &identity, within);
            self.end_all();
        }
    }

    fn final_verdict(&mut self, daemon: usize, identity: &Identity, within: Duration) -> Verdict {
        let deadline = self.now + within;
        let mut target = daemon;
        loop {
            let ticket = self.begin(target, identity.clone());
            self.settle();
            self.advance(500);
            self.settle();
            self.settle();
            match self.calls[ticket.0 as usize].verdict.clone() {
                Some(Verdict::Redirect(holder)) => {
                    let found = self.daemons.iter().position(|it| it.holder == holder);
                    target = found.unwrap_or(target);
                }
                Some(Verdict::Unavailable { .. } | Verdict::Running) | None => {}
                Some(verdict) => return verdict,
            }
            let (seed, verdict) = (self.seed, &self.calls[ticket.0 as usize].verdict);
            assert!(
                self.now < deadline,
                "no final verdict on {identity:?}: {verdict:?}, seed {seed:#x}"
            );
        }
    }

    /// Adds the events of this run to the statistics.
    pub fn add_to(&self, tally: &mut Tally) {
        let received = |wanted: fn(&Verdict) -> bool| {
            self.calls.iter().filter(move |it| it.verdict.as_ref().is_some_and(wanted))
        };
        tally.calls += self.calls.len();
        tally.granted += received(|it| matches!(it, Verdict::Granted { .. })).count();
        tally.executed += self.executed.len();
        tally.unknown += received(|it| *it == Verdict::Unknown).count();
        tally.unknown_not_run += received(|it| *it == Verdict::Unknown)
            .filter(|it| !self.executed.contains_key(&it.identity))
            .count();
        tally.snapshots_loaded += self.snapshots_loaded;
        let head = self.memory.read(&head_key(ShardId(0))).unwrap();
        tally.holders += decode_head(&head).unwrap().fence as usize;
    }
}
