//! What must hold of a run, and what it reached.

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

/// Sums over runs.
#[derive(Debug, Default)]
pub struct Tally {
    /// Calls that asked.
    pub calls: usize,
    /// Calls that were granted.
    pub granted: usize,
    /// Keys that were executed.
    pub executed: usize,
    /// Calls that were told "unknown".
    pub unknown: usize,
    /// Those of them whose key was never executed.
    pub unknown_not_run: usize,
    /// Snapshots that a holder read.
    pub snapshots_loaded: usize,
    /// Leases taken.
    pub holders: usize,
}

impl World {
    /// No call was executed twice, or executed and said not run.
    pub fn check_words(&self) {
        for (identity, tickets) in &self.executed {
            let seed = self.seed;
            assert!(tickets.len() <= 1, "{identity:?} executed by {tickets:?}, seed {seed:#x}");
        }
        for call in &self.calls {
            let turned_away = matches!(call.told, Some(Verdict::NotNow { .. }))
                || call.stage == Stage::TurnedAway
                || matches!(call.stage, Stage::Ended { not_run: true });
            let ran = self.executed.get(&call.identity).is_some_and(|it| it.contains(&call.ticket));
            assert!(!(turned_away && ran), "{:?} said not run, seed {:#x}", call.ticket, self.seed);
        }
    }

    /// Every call gets a final word soon, asked anywhere, and one that nobody
    /// has seen is granted.
    pub fn check_progress(&mut self, within: Duration) {
        self.end_all();
        for daemon in 0..self.daemons.len() {
            let fresh = Identity::of(&format!("fresh {daemon}"));
            let word = self.final_word(daemon, &fresh, within);
            assert!(matches!(word, Verdict::Granted { .. }), "{word:?}, seed {:#x}", self.seed);
            self.end_all();
        }
        let identities: HashSet<Identity> =
            self.calls.iter().map(|it| it.identity.clone()).collect();
        for identity in identities {
            self.final_word(0, &identity, within);
            self.end_all();
        }
    }

    fn final_word(&mut self, daemon: usize, identity: &Identity, within: Duration) -> Verdict {
        let deadline = self.now + within;
        let mut asked = daemon;
        loop {
            let ticket = self.ask(asked, identity.clone());
            self.settle();
            self.advance(500);
            self.settle();
            self.settle();
            match self.calls[ticket.0 as usize].told.clone() {
                Some(Verdict::Elsewhere(holder)) => {
                    let found = self.daemons.iter().position(|it| it.holder == holder);
                    asked = found.unwrap_or(asked);
                }
                Some(Verdict::NotNow { .. } | Verdict::Running) | None => {}
                Some(word) => return word,
            }
            let (seed, told) = (self.seed, &self.calls[ticket.0 as usize].told);
            assert!(self.now < deadline, "no final word on {identity:?}: {told:?}, seed {seed:#x}");
        }
    }

    /// What happened, added up over runs.
    pub fn tally(&self, sum: &mut Tally) {
        let told = |wanted: fn(&Verdict) -> bool| {
            self.calls.iter().filter(move |it| it.told.as_ref().is_some_and(wanted))
        };
        sum.calls += self.calls.len();
        sum.granted += told(|it| matches!(it, Verdict::Granted { .. })).count();
        sum.executed += self.executed.len();
        sum.unknown += told(|it| *it == Verdict::Unknown).count();
        sum.unknown_not_run += told(|it| *it == Verdict::Unknown)
            .filter(|it| !self.executed.contains_key(&it.identity))
            .count();
        sum.snapshots_loaded += self.snapshots_loaded;
        let head = self.memory.read(&head_key(ShardId(0))).unwrap();
        sum.holders += decode_head(&head).unwrap().fence as usize;
    }
}
