//! Who reads the platform's VM list and notices: one daemon of each zone in
//! every round, the others when they hear nothing of it, and each one now and
//! then for what gossip missed.

/// Rounds without word of a read after which everyone reads.
const SILENCE: u32 = 6;
/// Rounds between two reads by a daemon that need not read.
const REFRESH: u32 = 30;

/// When the list was last read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Poll {
    /// Rounds since a daemon of this zone read the list, as far as is known.
    age: Option<u32>,
    /// Rounds since this daemon did.
    own_age: Option<u32>,
}

impl Poll {
    /// Whether this daemon reads in this round; `chosen` says whether it is
    /// the one of its zone.
    pub fn is_due(&self, chosen: bool) -> bool {
        let stale = |age: Option<u32>, limit: u32| age.is_none_or(|it| it >= limit);
        chosen || stale(self.age, SILENCE) || stale(self.own_age, REFRESH)
    }

    /// A round has passed.
    pub fn round(&mut self) {
        self.age = self.age.map(|it| it.saturating_add(1));
        self.own_age = self.own_age.map(|it| it.saturating_add(1));
    }

    /// This daemon has read the list.
    pub fn done(&mut self) {
        self.age = Some(0);
        self.own_age = Some(0);
    }

    /// A peer of this zone knows of a read so many rounds ago.
    pub fn heard(&mut self, age: Option<u32>) {
        self.age = match (self.age, age) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
    }

    /// Whether this daemon has read the list since its start.
    pub fn has_read(&self) -> bool {
        self.own_age.is_some()
    }

    /// Rounds since a daemon of this zone read the list.
    pub fn age(&self) -> Option<u32> {
        self.age
    }
}
