//! The lease on the duties: a row of the store, written under a condition.
//!
//! The fencing number is the version that the row got with the acquisition:
//! the store's versions rise over holders and restarts alike.

use std::time::Duration;

use store::table::ABSENT;
use store::table::Row;

/// Time after which an unchanged row is free for others. Longer than the
/// platform's bound on how soon a former holder may act again (3 s).
pub const LENGTH: Duration = Duration::from_millis(3_200);
/// Part of the length in which the holder acts, counted from the sending of
/// its last renewal; the rest covers a call on its way.
const ACTS_FOR: Duration = Duration::from_millis(2_600);
/// Time between renewals: one may fail before the holder stops acting.
const RENEW_EVERY: Duration = Duration::from_millis(1_000);
/// Time between looks at the row while no holder is heard.
const LOOK_EVERY: Duration = Duration::from_millis(700);
/// Time between tries of a renewal that failed.
const PAUSE: Duration = Duration::from_millis(400);
/// Silence of the holder after which others look at the row.
const HOLDER_SILENT: Duration = Duration::from_millis(1_000);

/// What a daemon does about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the row.
    Read,
    /// Writes the row if it has this version.
    Write {
        /// Version that the row must have.
        version: u64,
        /// Its new content.
        value: String,
    },
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect with this version.
    Done(u64),
    /// The row had another version.
    Conflict,
    /// It did not take effect.
    Refused,
    /// It may have taken effect or still do so.
    Unknown,
}

/// Proof that a daemon may act, as long as it is fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing number.
    pub fence: u64,
    /// Time since boot until which the holder may act.
    pub acts_until: Duration,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Following,
    Acquiring,
    Holding { fence: u64, version: u64, acts_until: Duration, renewed_at: Duration },
}

/// A daemon's side of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Content of the row while this life of the daemon holds it.
    mark: String,
    state: State,
    /// Time at which the open call was made.
    called_at: Option<Duration>,
    /// Version last seen in the row, and since when it is unchanged.
    seen: Option<(u64, Duration)>,
    looked_at: Option<Duration>,
    heard_at: Option<Duration>,
    failed_at: Option<Duration>,
}

impl Lease {
    /// A follower. `mark` is unlike that of any other life of any daemon.
    pub fn new(mark: String) -> Lease {
        Lease {
            mark,
            state: State::Following,
            called_at: None,
            seen: None,
            looked_at: None,
            heard_at: None,
            failed_at: None,
        }
    }

    /// The right to act now, with `ahead` to spare for the call.
    pub fn grant(&self, now: Duration, ahead: Duration) -> Option<Grant> {
        match self.state {
            State::Holding { fence, acts_until, .. } if now + ahead < acts_until => {
                Some(Grant { fence, acts_until })
            }
            _ => None,
        }
    }

    /// Hears that another daemon held the lease at a time.
    pub fn hear_holder(&mut self, at: Duration) {
        self.heard_at = self.heard_at.max(Some(at));
    }

    /// What is to be done now. At most one action is open at a time.
    pub fn tick(&mut self, now: Duration) -> Option<Action> {
        if self.called_at.is_some() {
            return None;
        }
        if let State::Holding { version, acts_until, renewed_at, .. } = self.state {
            if now >= acts_until {
                self.state = State::Following;
                self.seen = Some((version, now));
            } else if now < renewed_at + RENEW_EVERY || now < self.paused_until() {
                return None;
            } else {
                self.called_at = Some(now);
                return Some(Action::Write { version, value: self.mark.clone() });
            }
        }
        let is_heard = self.heard_at.is_some_and(|it| now < it + HOLDER_SILENT);
        let has_looked = self.looked_at.is_some_and(|it| now < it + LOOK_EVERY);
        if is_heard || has_looked {
            return None;
        }
        self.looked_at = Some(now);
        self.called_at = Some(now);
        Some(Action::Read)
    }

    /// Takes the row as read.
    pub fn read(&mut self, row: &Row, now: Duration) -> Option<Action> {
        self.called_at = None;
        if row.version != ABSENT && row.value == self.mark {
            // An earlier write whose answer was lost; it has to be renewed before
            // this daemon acts.
            self.state = State::Holding {
                fence: row.version,
                version: row.version,
                acts_until: Duration::ZERO,
                renewed_at: Duration::ZERO,
            };
            self.called_at = Some(now);
            return Some(Action::Write { version: row.version, value: self.mark.clone() });
        }
        self.state = State::Following;
        let since = match self.seen {
            Some((version, since)) if version == row.version => since,
            _ => now,
        };
        self.seen = Some((row.version, since));
        let is_free = row.version == ABSENT || now >= since + LENGTH;
        if !is_free {
            return None;
        }
        self.state = State::Acquiring;
        self.called_at = Some(now);
        Some(Action::Write { version: row.version, value: self.mark.clone() })
    }

    /// Takes a failure to read the row.
    pub fn read_failed(&mut self) {
        self.called_at = None;
    }

    /// Takes the result of a write; gives whether the lease was acquired.
    pub fn written(&mut self, written: &Written, now: Duration) -> bool {
        let called_at = self.called_at.take().unwrap_or(now);
        match (written, &self.state) {
            (Written::Done(version), State::Holding { fence, .. }) => {
                let fence = *fence;
                self.hold(fence, *version, called_at);
                false
            }
            (Written::Done(version), _) => {
                self.hold(*version, *version, called_at);
                true
            }
            (Written::Conflict, _) => {
                self.state = State::Following;
                self.looked_at = None;
                false
            }
            // A renewal that took effect unseen shows as a conflict of the next.
            (Written::Refused | Written::Unknown, State::Holding { .. }) => {
                self.failed_at = Some(now);
                false
            }
            (Written::Refused | Written::Unknown, _) => {
                self.state = State::Following;
                false
            }
        }
    }

    fn paused_until(&self) -> Duration {
        self.failed_at.map_or(Duration::ZERO, |it| it + PAUSE)
    }

    fn hold(&mut self, fence: u64, version: u64, called_at: Duration) {
        self.state = State::Holding {
            fence,
            version,
            acts_until: called_at + ACTS_FOR,
            renewed_at: called_at,
        };
    }
}
