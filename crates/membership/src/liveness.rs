//! Which peers answer: a silent one is probed again each round, then others
//! are asked to probe it, and only then does it count as gone.

use std::collections::BTreeMap;

/// Rounds in a row without an answer after which others are asked.
const MISSES: u32 = 3;
/// Rounds for which others may find the peer, or the peer may object.
const SUSPICION: u32 = 4;

/// What is to be done about a silent peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Probe it again.
    Probe(String),
    /// Ask others to probe this incarnation.
    Suspect(String, u64),
    /// This incarnation counts as gone.
    Gone(String, u64),
}

/// Silent peers.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    silent: BTreeMap<String, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    incarnation: u64,
    misses: u32,
}

impl Liveness {
    /// A peer answered, or was heard of under this incarnation.
    pub fn answered(&mut self, id: &str) {
        self.silent.remove(id);
    }

    /// A record of a peer was learned: a newer incarnation clears it.
    pub fn learned(&mut self, id: &str, incarnation: u64) {
        if self.silent.get(id).is_some_and(|it| it.incarnation < incarnation) {
            self.silent.remove(id);
        }
    }

    /// A round passed without an answer of this peer, which was probed.
    pub fn missed(&mut self, id: &str, incarnation: u64) -> Verdict {
        let silence =
            self.silent.entry(id.to_owned()).or_insert(Silence { incarnation, misses: 0 });
        silence.misses += 1;
        match silence.misses {
            MISSES => Verdict::Suspect(id.to_owned(), incarnation),
            it if it >= MISSES + SUSPICION => {
                self.silent.remove(id);
                Verdict::Gone(id.to_owned(), incarnation)
            }
            _ => Verdict::Probe(id.to_owned()),
        }
    }

    /// This daemon was frozen itself: its silence says nothing of others.
    pub fn forget(&mut self) {
        self.silent.clear();
    }
}
