//! The interruptions of one subject, and what follows from them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

use crate::endpoint::Instance;

/// Points for a crash of which the subject may be the cause.
pub const CRASH_POINTS: u32 = 2;
/// Points for a crash of which another subject is more likely the cause.
const UNLIKELY_POINTS: u32 = 1;
/// Time in which a request that tries a subject again keeps others from doing so.
const TRIAL_TIME: Duration = Duration::from_secs(10);
/// Time after its latest crash for which a subject is rejected that a request tells apart from
/// others which the same crashes interrupted.
const DISTINCTION_TIME: Duration = Duration::from_secs(1);
/// Time that each daemon that precedes another one has for trying a subject again.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of daemons that are waited for.
const MAX_PRECEDING: usize = 60;
/// Minimum time between two trials. Ages that daemons tell each other differ by less.
const MIN_TRIAL_DISTANCE: Duration = Duration::from_secs(2);
/// Maximum number of times that the rejection time grows.
const MAX_STEPS: u32 = 8;

/// What is known about an instance at which an attempt was interrupted. A later
/// variant overrides an earlier one, so that daemons agree whatever the order in
/// which they learn of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Evidence {
    /// The instance crashed after the request had made progress, so another one is more
    /// likely the cause.
    Progressed,
    /// Nothing has been heard of the instance since.
    Interrupted,
    /// The instance has responded to a later request, so it did not crash.
    Responded,
    /// Another instance has taken its place, so it crashed.
    Replaced,
    /// An endpoint has served the subject since, so it was not the cause.
    Served,
}

impl Evidence {
    /// Whether the instance counts as crashed by the subject.
    pub fn counts(self) -> bool {
        self.points() > 0
    }

    fn points(self) -> u32 {
        match self {
            Evidence::Progressed => UNLIKELY_POINTS,
            Evidence::Interrupted | Evidence::Replaced => CRASH_POINTS,
            Evidence::Responded | Evidence::Served => 0,
        }
    }
}

/// When and how long a subject is rejected.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Number of points from which on it is rejected.
    pub points: u32,
    /// How long it is rejected after the crash that reached the limit.
    pub rejection_time: Duration,
    /// Factor by which that time grows with each further crash.
    pub growth: u32,
    /// Time in which several crashes count as one, since a single event may end many
    /// endpoints.
    pub min_interval: Duration,
}

/// Whether a request with a subject may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Admitted,
    /// It must not be sent.
    Rejected {
        /// When it may be tried again, unless more is learned until then.
        until: Instant,
    },
    /// The rejection has ended, and one request may try the subject again.
    Expired {
        /// End of the rejection.
        since: Instant,
    },
}

/// Returns how long after the end of a rejection a daemon may try the subject again, which
/// `preceding` daemons may do before it.
pub fn trial_delay(preceding: usize) -> Duration {
    TRIAL_INTERVAL * preceding.min(MAX_PRECEDING) as u32
}

/// A subject that was interrupted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Evidence by instance, with the time of the interruption.
    pub interruptions: BTreeMap<Instance, (Evidence, Instant)>,
    /// Whether the subject was suspected of several crashes at some time.
    pub is_repeated: bool,
    /// Whether an endpoint is known to have responded to the subject at some time.
    pub was_served: bool,
    /// When a daemon last sent a request that tries the subject again.
    pub tried_at: Option<Instant>,
}

impl Suspect {
    /// Adds an interruption. If there are more than `capacity`, the earliest one is removed.
    pub fn insert(&mut self, instance: Instance, evidence: Evidence, at: Instant, capacity: usize) {
        self.interruptions.insert(instance, (evidence, at));
        if self.interruptions.len() > capacity
            && let Some((earliest, _)) = self.interruptions.iter().min_by_key(|(_, (_, at))| *at)
        {
            let earliest = *earliest;
            self.interruptions.remove(&earliest);
        }
    }

    /// Merges the time at which a daemon tried the subject again. Returns whether it is new.
    pub fn merge_trial(&mut self, tried_at: Instant) -> bool {
        let is_new = self.tried_at.is_none_or(|it| tried_at > it + MIN_TRIAL_DISTANCE);
        self.tried_at = self.tried_at.max(Some(tried_at));
        is_new
    }

    /// Returns the number of instances that count as crashed.
    pub fn count(&self) -> usize {
        self.interruptions.values().filter(|(evidence, _)| evidence.counts()).count()
    }

    /// Returns the points of the crashes of instances that `counts` selects. Crashes within
    /// `min_interval` count as one.
    pub fn points(&self, min_interval: Duration, counts: impl Fn(Instance) -> bool) -> u32 {
        let mut crashes: Vec<(Instant, u32)> = self
            .interruptions
            .iter()
            .map(|(instance, (it, at))| (*at, if counts(*instance) { it.points() } else { 0 }))
            .collect();
        crashes.retain(|(_, points)| *points > 0);
        crashes.sort_unstable();
        let mut total = 0;
        let mut latest: Option<(Instant, u32)> = None;
        for (at, points) in crashes {
            match &mut latest {
                Some((began_at, counted)) if at < *began_at + min_interval => {
                    total += points.saturating_sub(*counted);
                    *counted = points.max(*counted);
                }
                _ => {
                    total += points;
                    latest = Some((at, points));
                }
            }
        }
        total
    }

    /// Returns what follows from this number of points. `is_distinct` says whether the request
    /// tells the subject apart from others which the same crashes interrupted.
    pub fn verdict(&self, points: u32, limit: &Limit, is_distinct: bool, now: Instant) -> Verdict {
        let Some(excess) = points.checked_sub(limit.points) else { return Verdict::Admitted };
        let Some(crashed_at) = self.crashed_at() else { return Verdict::Admitted };
        let steps = (excess / CRASH_POINTS).min(MAX_STEPS);
        let rejection_time = limit.rejection_time * limit.growth.pow(steps);
        let since = crashed_at + if is_distinct { DISTINCTION_TIME } else { rejection_time };
        let until = self.tried_at.map_or(since, |it| since.max(it + TRIAL_TIME));
        if now < until { Verdict::Rejected { until } } else { Verdict::Expired { since } }
    }

    /// Whether all interruptions are at least this old.
    pub fn is_older(&self, age: Duration, now: Instant) -> bool {
        self.interruptions.values().all(|(_, at)| now >= *at + age)
    }

    /// Returns when the latest instance crashed.
    fn crashed_at(&self) -> Option<Instant> {
        let counted = self.interruptions.values().filter(|(evidence, _)| evidence.counts());
        counted.map(|(_, at)| *at).max()
    }
}
