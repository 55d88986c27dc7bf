//! Requests that may crash endpoints, recognized when they come again.
//!
//! Each interrupted attempt counts against its request from the start, once per
//! endpoint instance, until the instance turns out to be alive or the request is
//! served. Waiting for the crash to be confirmed would take longer than a request
//! needs to crash the next endpoints.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;
use xxhash_rust::xxh3::Xxh3;

use crate::endpoint::Instance;

/// Number of crashed instances from which on all daemons are told of a request.
const REPEATED: usize = 2;
/// How long a request is remembered after its last interruption.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Like [`RETENTION`], for a request with a single interruption while memory is short.
const SHORT_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of requests remembered.
const MAX_REQUESTS: usize = 4_096;
/// Points for a crash of which the request may be the cause.
pub const CRASH_POINTS: u32 = 2;
/// Points for a crash of which another request is more likely the cause.
const UNLIKELY_POINTS: u32 = 1;

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
    /// An endpoint has served the request, so it was not the cause.
    Served,
}

impl Evidence {
    /// Whether the instance counts as crashed by the request.
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

/// An interruption as it is sent to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Interruption {
    /// Instance that executed the request.
    pub instance: Instance,
    /// What is known about it.
    pub evidence: Evidence,
    /// Time since the interruption, in milliseconds.
    pub age_ms: u64,
}

/// All known interruptions of a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Interruptions, at most one per instance.
    pub interruptions: Vec<Interruption>,
}

/// When and how long a request is rejected.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Number of points from which on it is rejected.
    pub points: u32,
    /// How long it is rejected after the crash that reached the limit. Doubles with each
    /// further crash.
    pub rejection_time: Duration,
}

/// Interrupted requests by fingerprint.
#[derive(Clone, Debug)]
pub struct Suspects {
    limit: Limit,
    by_fingerprint: HashMap<u128, Suspect>,
    /// Requests that were interrupted at an instance from which nothing has been
    /// heard since.
    by_instance: HashMap<Instance, Vec<u128>>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    interruptions: BTreeMap<Instance, (Evidence, Instant)>,
    /// Whether the request was suspected of several crashes at some time.
    is_repeated: bool,
}

impl Suspect {
    fn count(&self) -> usize {
        self.interruptions.values().filter(|(evidence, _)| evidence.counts()).count()
    }

    fn points(&self) -> u32 {
        self.interruptions.values().map(|(evidence, _)| evidence.points()).sum()
    }

    /// Returns when the latest instance crashed.
    fn crashed_at(&self) -> Option<Instant> {
        let counted = self.interruptions.values().filter(|(evidence, _)| evidence.counts());
        counted.map(|(_, at)| *at).max()
    }

    fn is_older(&self, age: Duration, now: Instant) -> bool {
        self.interruptions.values().all(|(_, at)| now >= *at + age)
    }
}

/// Returns the fingerprint of a request's content, of which two parts never run into
/// each other.
pub fn fingerprint(parts: &[&[u8]]) -> u128 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest128()
}

impl Suspects {
    /// Creates an empty set.
    pub fn new(limit: Limit) -> Suspects {
        Suspects { limit, by_fingerprint: HashMap::new(), by_instance: HashMap::new() }
    }

    /// Records what this daemon has learned about an instance at which an attempt of
    /// the request was interrupted. Returns whether it is new.
    pub fn record(
        &mut self,
        fingerprint: u128,
        instance: Instance,
        evidence: Evidence,
        now: Instant,
    ) -> bool {
        self.merge(fingerprint, instance, evidence, now, now)
    }

    /// Records that an instance has responded to a request sent at `sent_at`. Returns
    /// the requests whose interruptions at the instance don't count any more.
    pub fn record_response(&mut self, instance: Instance, sent_at: Instant) -> Vec<u128> {
        let Some(fingerprints) = self.by_instance.get_mut(&instance) else { return Vec::new() };
        let mut refuted = Vec::new();
        fingerprints.retain(|fingerprint| {
            let suspect = self.by_fingerprint.get_mut(fingerprint);
            let Some((evidence, at)) = suspect.and_then(|it| it.interruptions.get_mut(&instance))
            else {
                return false;
            };
            if sent_at < *at {
                return true;
            }
            if *evidence < Evidence::Responded {
                *evidence = Evidence::Responded;
                refuted.push(*fingerprint);
            }
            false
        });
        if fingerprints.is_empty() {
            self.by_instance.remove(&instance);
        }
        refuted
    }

    /// Records that an endpoint has served the request. Returns whether it was suspected.
    pub fn record_service(&mut self, fingerprint: u128) -> bool {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else { return false };
        let was_suspected = suspect.count() > 0;
        suspect.interruptions.values_mut().for_each(|it| it.0 = Evidence::Served);
        was_suspected
    }

    /// Merges what another daemon knows about a request. Returns whether any of it is new.
    pub fn merge_remote(&mut self, report: &Report, now: Instant) -> bool {
        let mut is_new = false;
        for it in &report.interruptions {
            let at = now.checked_sub(Duration::from_millis(it.age_ms)).unwrap_or(now);
            is_new |= self.merge(report.fingerprint, it.instance, it.evidence, at, now);
        }
        is_new
    }

    /// Whether the request must be rejected.
    pub fn is_rejected(&self, fingerprint: u128, now: Instant) -> bool {
        let Some(suspect) = self.by_fingerprint.get(&fingerprint) else { return false };
        let Some(excess) = suspect.points().checked_sub(self.limit.points) else { return false };
        let duration =
            self.limit.rejection_time * 2u32.saturating_pow((excess / CRASH_POINTS).min(8));
        suspect.crashed_at().is_some_and(|it| now < it + duration.min(RETENTION))
    }

    /// Returns up to `limit` requests that are rejected now.
    pub fn rejected(&self, limit: usize, now: Instant) -> Vec<Report> {
        let rejected = self.by_fingerprint.keys().filter(|it| self.is_rejected(**it, now));
        rejected.take(limit).filter_map(|it| self.report(*it, now)).collect()
    }

    /// Returns the number of instances that the request is suspected to have crashed.
    pub fn count(&self, fingerprint: u128) -> usize {
        self.by_fingerprint.get(&fingerprint).map_or(0, Suspect::count)
    }

    /// Whether the request was suspected of several crashes at some time, so that all
    /// daemons should know about it.
    pub fn is_repeated(&self, fingerprint: u128) -> bool {
        self.by_fingerprint.get(&fingerprint).is_some_and(|it| it.is_repeated)
    }

    /// Returns up to `limit` suspected requests, those with the most crashes first.
    pub fn most_suspected(&self, limit: usize) -> Vec<u128> {
        let counts = self.by_fingerprint.iter().map(|(it, suspect)| (suspect.count(), *it));
        let mut suspected: Vec<(usize, u128)> = counts.filter(|(count, _)| *count > 0).collect();
        suspected.sort_unstable_by(|a, b| b.cmp(a));
        suspected.truncate(limit);
        suspected.into_iter().map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Returns what is known about a request, to be sent to other daemons.
    pub fn report(&self, fingerprint: u128, now: Instant) -> Option<Report> {
        let suspect = self.by_fingerprint.get(&fingerprint)?;
        let interruptions = suspect.interruptions.iter().map(|(instance, (evidence, at))| {
            let age_ms = now.saturating_duration_since(*at).as_millis() as u64;
            Interruption { instance: *instance, evidence: *evidence, age_ms }
        });
        Some(Report { fingerprint, interruptions: interruptions.collect() })
    }

    /// Removes expired requests.
    pub fn remove_expired(&mut self, now: Instant) {
        self.by_fingerprint.retain(|_, it| !it.is_older(RETENTION, now));
        self.remove_dangling();
    }

    /// Merges evidence on an instance. Returns whether it is new.
    fn merge(
        &mut self,
        fingerprint: u128,
        instance: Instance,
        evidence: Evidence,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !self.by_fingerprint.contains_key(&fingerprint) && !self.make_room(now) {
            return false;
        }
        let suspect = self.by_fingerprint.entry(fingerprint).or_default();
        if let Some((known, _)) = suspect.interruptions.get_mut(&instance) {
            let is_new = evidence > *known;
            *known = evidence.max(*known);
            suspect.is_repeated |= suspect.count() >= REPEATED;
            return is_new;
        }
        suspect.interruptions.insert(instance, (evidence, at));
        suspect.is_repeated |= suspect.count() >= REPEATED;
        if evidence == Evidence::Interrupted {
            self.by_instance.entry(instance).or_default().push(fingerprint);
        }
        true
    }

    /// Makes room for one more request. Requests with a single interruption give way,
    /// since most of them were interrupted by the crash of another. Returns whether
    /// there is room.
    fn make_room(&mut self, now: Instant) -> bool {
        for retention in [RETENTION, SHORT_RETENTION, Duration::ZERO] {
            if self.by_fingerprint.len() < MAX_REQUESTS {
                return true;
            }
            self.by_fingerprint.retain(|_, it| {
                let is_retained = it.count() >= REPEATED;
                !it.is_older(if is_retained { RETENTION } else { retention }, now)
            });
            self.remove_dangling();
        }
        self.by_fingerprint.len() < MAX_REQUESTS
    }

    fn remove_dangling(&mut self) {
        let known = &self.by_fingerprint;
        self.by_instance.retain(|_, fingerprints| {
            fingerprints.retain(|it| known.contains_key(it));
            !fingerprints.is_empty()
        });
    }
}
