//! Requests that may crash endpoints, recognized when they come again.
//!
//! Each interrupted attempt counts against its request from the start, once per
//! endpoint instance, until the instance turns out to be alive or the request is
//! served. Waiting for the crash to be confirmed would take longer than a request
//! needs to crash the next endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

use crate::endpoint::Instance;

/// Number of instances after which a request is rejected. Unrelated crashes can hit
/// a request more than once.
pub const CRASH_LIMIT: usize = 3;
/// Number of instances from which on all daemons are told of a request.
const SPREAD_THRESHOLD: usize = 2;
/// How long a request is rejected after the crash that reached the limit. Doubles
/// with each further crash.
const REJECTION_TIME: Duration = Duration::from_secs(120);
/// How long a request is remembered after its last interruption.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Like [`RETENTION`], for a request with a single interruption while memory is short.
const SHORT_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of requests remembered.
const MAX_REQUESTS: usize = 4_096;
/// Number of gossip rounds in which a changed request is sent.
const SPREAD_ROUNDS: u32 = 4;

/// What is known about an instance at which an attempt was interrupted. A later
/// variant overrides an earlier one, so that daemons agree whatever the order in
/// which they learn of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Evidence {
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
    fn counts(self) -> bool {
        matches!(self, Evidence::Interrupted | Evidence::Replaced)
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

/// Interrupted requests by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<u128, Suspect>,
    /// Requests that were interrupted at an instance from which nothing has been
    /// heard since.
    by_instance: HashMap<Instance, Vec<u128>>,
    /// Requests to be gossiped to all daemons, with the number of remaining rounds.
    spreading: VecDeque<(u128, u32)>,
    /// Requests of which something was learned here, to be reported to the daemons that
    /// count their interruptions.
    unreported: BTreeSet<u128>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    interruptions: BTreeMap<Instance, (Evidence, Instant)>,
    /// Whether all daemons were told of the request.
    is_spread: bool,
}

impl Suspect {
    fn count(&self) -> usize {
        self.interruptions.values().filter(|(evidence, _)| evidence.counts()).count()
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

impl Suspects {
    /// Records what this daemon has learned about an instance at which an attempt of
    /// the request was interrupted. Returns whether it is new.
    pub fn record(
        &mut self,
        fingerprint: u128,
        instance: Instance,
        evidence: Evidence,
        now: Instant,
    ) -> bool {
        let is_new = self.merge(fingerprint, instance, evidence, now, now);
        if is_new {
            self.publish(fingerprint, true);
        }
        is_new
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
        refuted.iter().for_each(|it| self.publish(*it, true));
        refuted
    }

    /// Records that an endpoint has served the request. Returns whether it was suspected.
    pub fn record_service(&mut self, fingerprint: u128) -> bool {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else { return false };
        let was_suspected = suspect.count() > 0;
        suspect.interruptions.values_mut().for_each(|it| it.0 = Evidence::Served);
        if was_suspected {
            self.publish(fingerprint, true);
        }
        was_suspected
    }

    /// Merges what another daemon knows about a request. Returns whether its number of
    /// crashes has grown.
    pub fn merge_remote(&mut self, report: &Report, now: Instant) -> bool {
        let before = self.count(report.fingerprint);
        let mut has_changed = false;
        for it in &report.interruptions {
            let at = now.checked_sub(Duration::from_millis(it.age_ms)).unwrap_or(now);
            has_changed |= self.merge(report.fingerprint, it.instance, it.evidence, at, now);
        }
        if has_changed {
            self.publish(report.fingerprint, false);
        }
        self.count(report.fingerprint) > before
    }

    /// Whether the request must be rejected.
    pub fn is_rejected(&self, fingerprint: u128, now: Instant) -> bool {
        let Some(suspect) = self.by_fingerprint.get(&fingerprint) else { return false };
        let Some(excess) = suspect.count().checked_sub(CRASH_LIMIT) else { return false };
        let duration = REJECTION_TIME * 2u32.saturating_pow(excess.min(8) as u32);
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

    /// Returns up to `limit` reports for the next gossip round to all daemons.
    pub fn take_spreading(&mut self, limit: usize, now: Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for _ in 0..self.spreading.len().min(limit) {
            let Some((fingerprint, rounds)) = self.spreading.pop_front() else { break };
            let Some(report) = self.report(fingerprint, now) else { continue };
            reports.push(report);
            if rounds > 1 {
                self.spreading.push_back((fingerprint, rounds - 1));
            }
        }
        reports
    }

    /// Returns reports of requests of which something was learned here, for the daemons
    /// that count the interruptions of each of them.
    pub fn take_unreported(&mut self, now: Instant) -> Vec<Report> {
        let fingerprints = std::mem::take(&mut self.unreported);
        fingerprints.into_iter().filter_map(|it| self.report(it, now)).collect()
    }

    /// Gossips the requests that all daemons should know again, since a daemon was
    /// heard that may not know them. At most `limit`, those with the most crashes
    /// first.
    pub fn spread_again(&mut self, limit: usize) {
        let is_known_to_all = |it: &(&u128, &Suspect)| it.1.count() >= SPREAD_THRESHOLD;
        let mut known: Vec<(usize, u128)> = self
            .by_fingerprint
            .iter()
            .filter(is_known_to_all)
            .map(|(fingerprint, it)| (it.count(), *fingerprint))
            .collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        known.truncate(limit);
        known.into_iter().for_each(|(_, it)| self.enqueue(it));
    }

    /// Whether a change waits to be gossiped that brings a request close to the limit.
    pub fn has_urgent_changes(&self) -> bool {
        self.spreading.iter().any(|(_, rounds)| *rounds == SPREAD_ROUNDS)
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
            return is_new;
        }
        suspect.interruptions.insert(instance, (evidence, at));
        if evidence == Evidence::Interrupted {
            self.by_instance.entry(instance).or_default().push(fingerprint);
        }
        true
    }

    /// Queues a changed request for the daemons that must learn of the change.
    fn publish(&mut self, fingerprint: u128, is_own: bool) {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else { return };
        if suspect.is_spread || suspect.count() >= SPREAD_THRESHOLD {
            suspect.is_spread = true;
            self.enqueue(fingerprint);
        } else if is_own && self.unreported.len() < MAX_REQUESTS {
            self.unreported.insert(fingerprint);
        }
    }

    fn enqueue(&mut self, fingerprint: u128) {
        match self.spreading.iter_mut().find(|(it, _)| *it == fingerprint) {
            Some((_, rounds)) => *rounds = SPREAD_ROUNDS,
            None => self.spreading.push_back((fingerprint, SPREAD_ROUNDS)),
        }
    }

    fn report(&self, fingerprint: u128, now: Instant) -> Option<Report> {
        let suspect = self.by_fingerprint.get(&fingerprint)?;
        let interruptions = suspect.interruptions.iter().map(|(instance, (evidence, at))| {
            let age_ms = now.saturating_duration_since(*at).as_millis() as u64;
            Interruption { instance: *instance, evidence: *evidence, age_ms }
        });
        Some(Report { fingerprint, interruptions: interruptions.collect() })
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
                let is_retained = it.count() >= SPREAD_THRESHOLD;
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
