//! Lease on the leader tasks: a row of the store that is written by
//! compare-and-swap.
//!
//! The fencing token is the position that the row got when the lease was acquired (see
//! [`store::position`]). Positions keep increasing across holders, restarts and returns of
//! the store from an older copy.

use std::time::Duration;

use store::position;
use store::table::Row;

/// Time after which others may acquire the lease if the row has not changed.
/// It is longer than the platform's bound on how soon a previous holder may act
/// again (3 s).
pub const DURATION: Duration = Duration::from_millis(3_200);
/// Part of the lease duration in which the holder may act, counted from when it
/// sent its last renewal. The rest covers calls in flight.
const VALIDITY: Duration = Duration::from_millis(2_600);
/// Interval between renewals. One renewal may fail before the holder must stop
/// acting.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between reads of the row while no holder is known.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Delay before a failed renewal is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time without news of the holder after which followers read the row.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Store call that a daemon has to make for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row.
    Read,
    /// Write the row if it has the given version.
    Write {
        /// Expected version of the row.
        version: u64,
        /// New content.
        value: String,
    },
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect and the row got this version.
    Committed(u64),
    /// The row had another version.
    Conflict,
    /// The write did not take effect.
    Rejected,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// Permission to act as the lease holder for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token.
    pub fence: u64,
    /// End of the permission, as time since boot.
    pub valid_until: Duration,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Following,
    Acquiring,
    Holding { fence: u64, version: u64, valid_until: Duration, renewed_at: Duration },
}

/// A daemon's view of the lease. All times are counted from the VM's boot.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Content of the row while this daemon instance holds the lease.
    instance_id: String,
    state: State,
    /// When the pending call was made.
    called_at: Option<Duration>,
    /// Version of the row at the last read, and when it was first seen.
    seen: Option<(u64, Duration)>,
    read_at: Option<Duration>,
    started_at: Duration,
    holder_seen_at: Option<Duration>,
    renewal_failed_at: Option<Duration>,
    /// Latest era of the store that this daemon knows of.
    era: Option<u64>,
    /// When the grants of earlier eras have ended on all daemons.
    earlier_grants_end_at: Duration,
    /// Whether the row existed before this daemon tried to acquire the lease.
    has_predecessor: bool,
    /// Whether the store has returned from an older copy.
    has_returned: bool,
}

impl Lease {
    /// Creates a follower. `instance_id` must be unique among all instances of
    /// all daemons.
    pub fn new(instance_id: String, now: Duration) -> Lease {
        Lease {
            instance_id,
            state: State::Following,
            called_at: None,
            seen: None,
            read_at: None,
            started_at: now,
            holder_seen_at: None,
            renewal_failed_at: None,
            era: None,
            earlier_grants_end_at: Duration::ZERO,
            has_predecessor: true,
            has_returned: false,
        }
    }

    /// Whether another daemon may have held the lease before this one first did. A store that
    /// has returned from a copy may lack its row.
    pub fn has_predecessor(&self) -> bool {
        self.has_predecessor
    }

    /// Returns the permission to act if it lasts for longer than `margin`, the
    /// time that a call needs.
    pub fn grant(&self, now: Duration, margin: Duration) -> Option<Grant> {
        match self.state {
            State::Holding { fence, valid_until, .. } if now + margin < valid_until => {
                Some(Grant { fence, valid_until })
            }
            _ => None,
        }
    }

    /// Records that another daemon held the lease at the given time.
    pub fn observe_holder(&mut self, at: Duration) {
        self.holder_seen_at = self.holder_seen_at.max(Some(at));
    }

    /// Records the era that the store states. When it rises, the store has returned from an older copy,
    /// whose row may name an earlier holder. This daemon then gives the lease up and doesn't
    /// acquire it until the grants of earlier eras have ended.
    pub fn observe_era(&mut self, era: u64, now: Duration) {
        let before = self.era;
        self.era = before.max(Some(era));
        if before.is_none_or(|it| it >= era) {
            return;
        }
        self.state = State::Following;
        self.has_returned = true;
        self.seen = None;
        self.read_at = None;
        self.earlier_grants_end_at = now + DURATION;
    }

    /// Returns the next action, if any. At most one action is pending at a time.
    ///
    /// `patience` is how much longer than the first candidates this daemon waits for a sign
    /// of a holder before it reads the row.
    pub fn tick(&mut self, now: Duration, patience: Duration) -> Option<Action> {
        if self.called_at.is_some() {
            return None;
        }
        if let State::Holding { version, valid_until, renewed_at, .. } = self.state {
            if now >= valid_until {
                self.state = State::Following;
                self.seen = Some((version, now));
            } else if now < renewed_at + RENEW_INTERVAL || now < self.retry_at() {
                return None;
            } else {
                self.called_at = Some(now);
                return Some(Action::Write { version, value: self.instance_id.clone() });
            }
        }
        let waits_until = match self.holder_seen_at {
            Some(seen_at) => seen_at + HOLDER_TIMEOUT + patience,
            None => self.started_at + patience,
        };
        let is_read_recent = self.read_at.is_some_and(|it| now < it + READ_INTERVAL);
        if now < waits_until || is_read_recent {
            return None;
        }
        self.read_at = Some(now);
        self.called_at = Some(now);
        Some(Action::Read)
    }

    /// Handles a completed read of the row. Returns the write that has to
    /// follow, if any.
    pub fn read_completed(&mut self, row: &Row, now: Duration) -> Option<Action> {
        self.called_at = None;
        let since = match self.seen {
            Some((version, since)) if version == row.version => since,
            _ => now,
        };
        self.seen = Some((row.version, since));
        if now < self.earlier_grants_end_at {
            self.state = State::Following;
            return None;
        }
        let is_absent = position::is_absent(row.version);
        if !is_absent && row.value == self.instance_id {
            // An earlier write took effect but its response was lost. The lease
            // has to be renewed before this daemon may act.
            self.state = State::Holding {
                fence: row.version,
                version: row.version,
                valid_until: Duration::ZERO,
                renewed_at: Duration::ZERO,
            };
            self.called_at = Some(now);
            return Some(Action::Write { version: row.version, value: self.instance_id.clone() });
        }
        self.state = State::Following;
        // Without eras, an absent row was never written, so there are no earlier grants.
        let is_unused = is_absent && self.era.is_none();
        if !is_unused && now < since + DURATION {
            return None;
        }
        self.state = State::Acquiring;
        self.has_predecessor = !is_absent || self.has_returned;
        self.called_at = Some(now);
        Some(Action::Write { version: row.version, value: self.instance_id.clone() })
    }

    /// Handles a failed read of the row.
    pub fn read_failed(&mut self) {
        self.called_at = None;
    }

    /// Handles a completed write. Returns whether the lease was acquired.
    pub fn write_completed(&mut self, outcome: &Outcome, now: Duration) -> bool {
        let called_at = self.called_at.take().unwrap_or(now);
        if let Outcome::Committed(version) = outcome {
            self.observe_era(position::era(*version), now);
        }
        match (outcome, &self.state) {
            (Outcome::Committed(version), State::Holding { fence, .. }) => {
                let fence = *fence;
                self.hold(fence, *version, called_at);
                false
            }
            (Outcome::Committed(version), State::Acquiring) => {
                self.hold(*version, *version, called_at);
                true
            }
            // A new era has begun since the write was sent.
            (Outcome::Committed(_), State::Following) => false,
            (Outcome::Conflict, _) => {
                self.state = State::Following;
                self.read_at = None;
                false
            }
            // If the renewal took effect after all, the next one conflicts.
            (Outcome::Rejected | Outcome::Unknown, State::Holding { .. }) => {
                self.renewal_failed_at = Some(now);
                false
            }
            (Outcome::Rejected | Outcome::Unknown, _) => {
                self.state = State::Following;
                false
            }
        }
    }

    /// Earliest time for the next renewal after a failed one.
    fn retry_at(&self) -> Duration {
        self.renewal_failed_at.map_or(Duration::ZERO, |it| it + RETRY_DELAY)
    }

    fn hold(&mut self, fence: u64, version: u64, called_at: Duration) {
        self.state = State::Holding {
            fence,
            version,
            valid_until: called_at + VALIDITY,
            renewed_at: called_at,
        };
    }
}
