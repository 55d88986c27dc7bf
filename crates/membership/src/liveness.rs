//! Failure detection. A peer that does not respond is probed again in each round,
//! then by other daemons, and only then treated as gone.

use std::collections::BTreeMap;

/// Consecutive rounds without a response after which other daemons probe the peer.
const ROUNDS_BEFORE_SUSPICION: u32 = 3;
/// Rounds in which other daemons may reach the peer or the peer may refute the
/// suspicion.
const SUSPICION_ROUNDS: u32 = 4;

/// Reaction to a peer that does not respond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Probe the peer again.
    Probe(String),
    /// Request other daemons to probe this incarnation.
    Suspect(String, u64),
    /// Treat this incarnation as gone.
    Gone(String, u64),
}

/// Peers that do not respond.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    unresponsive: BTreeMap<String, Misses>,
}

#[derive(Clone, Copy, Debug)]
struct Misses {
    incarnation: u64,
    rounds: u32,
}

impl Liveness {
    /// Records a response of a peer.
    pub fn record_response(&mut self, id: &str) {
        self.unresponsive.remove(id);
    }

    /// Clears the misses of a peer if a received record shows a newer incarnation.
    pub fn observe_incarnation(&mut self, id: &str, incarnation: u64) {
        if self.unresponsive.get(id).is_some_and(|it| it.incarnation < incarnation) {
            self.unresponsive.remove(id);
        }
    }

    /// Records a round in which a probed peer did not respond.
    pub fn record_miss(&mut self, id: &str, incarnation: u64) -> Verdict {
        let misses =
            self.unresponsive.entry(id.to_owned()).or_insert(Misses { incarnation, rounds: 0 });
        misses.rounds += 1;
        match misses.rounds {
            ROUNDS_BEFORE_SUSPICION => Verdict::Suspect(id.to_owned(), incarnation),
            it if it >= ROUNDS_BEFORE_SUSPICION + SUSPICION_ROUNDS => {
                self.unresponsive.remove(id);
                Verdict::Gone(id.to_owned(), incarnation)
            }
            _ => Verdict::Probe(id.to_owned()),
        }
    }

    /// Clears all misses after this daemon was paused: they say nothing about the
    /// peers.
    pub fn reset(&mut self) {
        self.unresponsive.clear();
    }
}
