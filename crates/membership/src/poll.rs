//! Decides which daemons read the platform's VM list and notices.
//!
//! One designated daemon of each zone reads them in every round. Other daemons read
//! them when gossip reports no recent read, and occasionally to pick up changes that
//! gossip missed.

/// Rounds without a known read after which all daemons read.
const FALLBACK_AGE: u32 = 6;
/// Rounds between reads of a daemon that is not designated.
const REFRESH_AGE: u32 = 30;

/// Age of the latest reads of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Poll {
    /// Rounds since the latest known read by any daemon of this zone.
    age: Option<u32>,
    /// Rounds since the latest read by this daemon.
    own_age: Option<u32>,
}

impl Poll {
    /// Whether this daemon has to read in this round. `is_designated` says whether
    /// it is the designated reader of its zone.
    pub fn is_due(&self, is_designated: bool) -> bool {
        let is_stale = |age: Option<u32>, limit: u32| age.is_none_or(|it| it >= limit);
        is_designated || is_stale(self.age, FALLBACK_AGE) || is_stale(self.own_age, REFRESH_AGE)
    }

    /// Advances by one round.
    pub fn advance_round(&mut self) {
        self.age = self.age.map(|it| it.saturating_add(1));
        self.own_age = self.own_age.map(|it| it.saturating_add(1));
    }

    /// Records that this daemon has read the list.
    pub fn record_read(&mut self) {
        self.age = Some(0);
        self.own_age = Some(0);
    }

    /// Merges the age of the latest read that a peer of this zone knows of.
    pub fn merge_remote(&mut self, age: Option<u32>) {
        self.age = match (self.age, age) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
    }

    /// Whether this daemon has read the list since its start.
    pub fn has_read(&self) -> bool {
        self.own_age.is_some()
    }

    /// Returns the number of rounds since the latest known read by any daemon of
    /// this zone.
    pub fn age(&self) -> Option<u32> {
        self.age
    }
}
