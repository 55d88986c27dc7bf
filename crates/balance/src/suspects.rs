//! Requests and prompt parts that may crash endpoints, recognized when they come again.
//!
//! Each interrupted attempt counts against its request, and against the parts that its prompt
//! shares with others, from the start, once per endpoint instance, until the instance turns
//! out to be alive or the subject is served. Waiting for the crash to be confirmed would take
//! longer than a request needs to crash the next endpoints.
//!
//! Sound parts are interrupted by the same crashes as the one that causes them. They are
//! served in between, so each service clears the crashes before it. A part to which endpoints
//! have responded has a higher limit, and crashes of instances at which a part over its limit
//! was interrupted, to which none has responded, don't count against it. If the same crashes
//! have brought several parts over their limits, the next request that contains only some of
//! them tells which one is the cause.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

use crate::endpoint::Instance;
use crate::services::Recent;
use crate::subject::Subject;
use crate::suspect::CRASH_POINTS;
use crate::suspect::Evidence;
use crate::suspect::Limit;
use crate::suspect::Suspect;
use crate::suspect::Verdict;

/// Number of crashed instances from which on all daemons are told of a subject.
const REPEATED: usize = 2;
/// Limit of parts to which no endpoint is known to have responded.
const PART_LIMIT: Limit = Limit {
    points: 3 * CRASH_POINTS,
    rejection_time: Duration::from_secs(8),
    growth: 3,
    min_interval: EVENT_TIME,
};
/// Limit of parts to which an endpoint has responded at some time. It is higher, since every
/// sound part of a crashing request is interrupted as often as the part that crashes.
const SERVED_PART_LIMIT: Limit = Limit { points: 5 * CRASH_POINTS, ..PART_LIMIT };
/// Time within which the ends of many endpoints may be a single event.
const EVENT_TIME: Duration = Duration::from_millis(400);
/// How long a subject is remembered after its last interruption.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Like [`RETENTION`], for a subject with a single interruption while memory is short.
const SHORT_RETENTION: Duration = Duration::from_secs(10);
/// How long an interruption is remembered that doesn't count any more.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of subjects remembered.
const MAX_SUBJECTS: usize = 4_096;
/// Maximum number of interruptions remembered per subject, the latest ones. The loss of an
/// availability zone interrupts popular parts at many instances.
const MAX_INTERRUPTIONS: usize = 16;

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

/// All known interruptions of a subject.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// The subject.
    pub subject: Subject,
    /// Interruptions, at most one per instance.
    pub interruptions: Vec<Interruption>,
    /// Whether an endpoint is known to have responded to the subject at some time.
    pub was_served: bool,
    /// Time since the subject was tried again after a rejection, in milliseconds.
    pub tried_age_ms: Option<u64>,
}

/// Interrupted requests and parts.
#[derive(Clone, Debug)]
pub struct Suspects {
    request_limit: Limit,
    by_subject: HashMap<Subject, Suspect>,
    /// Subjects that were interrupted at an instance from which nothing has been heard
    /// since.
    by_instance: HashMap<Instance, Vec<Subject>>,
    served_parts: Recent,
}

impl Suspects {
    /// Creates an empty set with the limit of requests.
    pub fn new(request_limit: Limit) -> Suspects {
        Suspects {
            request_limit,
            by_subject: HashMap::new(),
            by_instance: HashMap::new(),
            served_parts: Recent::default(),
        }
    }

    /// Records what this daemon has learned about an instance at which an attempt with the
    /// subject was interrupted. Returns whether it is new.
    pub fn record(
        &mut self,
        subject: Subject,
        instance: Instance,
        evidence: Evidence,
        now: Instant,
    ) -> bool {
        self.merge(subject, instance, evidence, now, now)
    }

    /// Records that an instance has responded to a request sent at `sent_at`. Returns
    /// the subjects whose interruptions at the instance don't count any more.
    pub fn record_response(&mut self, instance: Instance, sent_at: Instant) -> Vec<Subject> {
        let Some(subjects) = self.by_instance.get_mut(&instance) else { return Vec::new() };
        let mut refuted = Vec::new();
        subjects.retain(|subject| {
            let suspect = self.by_subject.get_mut(subject);
            let Some((evidence, at)) = suspect.and_then(|it| it.interruptions.get_mut(&instance))
            else {
                return false;
            };
            if sent_at < *at {
                return true;
            }
            if *evidence < Evidence::Responded {
                *evidence = Evidence::Responded;
                refuted.push(*subject);
            }
            false
        });
        if subjects.is_empty() {
            self.by_instance.remove(&instance);
        }
        refuted
    }

    /// Records that an endpoint has completed a response to a request with the subject at
    /// `at`. Returns whether it was suspected of a crash before.
    pub fn record_service(&mut self, subject: Subject, at: Instant) -> bool {
        if let Subject::Part(id) = subject {
            self.served_parts.record(id, Some(at));
        }
        let Some(suspect) = self.by_subject.get_mut(&subject) else { return false };
        suspect.was_served = true;
        let mut was_suspected = false;
        for (evidence, interrupted_at) in suspect.interruptions.values_mut() {
            if *interrupted_at <= at {
                was_suspected |= evidence.counts();
                *evidence = Evidence::Served;
            }
        }
        was_suspected
    }

    /// Records that an endpoint is responding to a request with the subject and has made
    /// progress. Returns whether the subject is suspected of a crash and no endpoint was known
    /// to have responded to it.
    pub fn record_progress(&mut self, subject: Subject) -> bool {
        let Subject::Part(id) = subject else { return false };
        self.served_parts.record(id, None);
        let Some(suspect) = self.by_subject.get_mut(&subject) else { return false };
        !std::mem::replace(&mut suspect.was_served, true)
    }

    /// Records that a request is sent. Returns whether it tries an
    /// [expired](Verdict::Expired) subject again.
    pub fn record_trial(&mut self, subject: Subject, subjects: &[Subject], now: Instant) -> bool {
        if let Verdict::Expired { .. } = self.verdict(subject, subjects, now)
            && let Some(suspect) = self.by_subject.get_mut(&subject)
        {
            suspect.tried_at = Some(now);
            return true;
        }
        false
    }

    /// Merges what another daemon knows about a subject. Returns whether daemons should be
    /// told: some of it is new, or the other daemon lacks what is known here.
    pub fn merge_remote(&mut self, report: &Report, now: Instant) -> bool {
        let mut has_news = false;
        for it in &report.interruptions {
            let at = now.checked_sub(Duration::from_millis(it.age_ms)).unwrap_or(now);
            has_news |= self.merge(report.subject, it.instance, it.evidence, at, now);
        }
        let Some(suspect) = self.by_subject.get_mut(&report.subject) else { return has_news };
        let counted = report.interruptions.iter().filter(|it| it.evidence.counts()).count();
        suspect.is_repeated |= counted >= REPEATED;
        has_news |= report.interruptions.iter().any(|it| {
            let known = suspect.interruptions.get(&it.instance);
            known.is_some_and(|(evidence, _)| *evidence > it.evidence)
        });
        has_news |= suspect.was_served != report.was_served;
        suspect.was_served |= report.was_served;
        let tried_age = report.tried_age_ms.map(Duration::from_millis);
        if let Some(tried_at) = tried_age.and_then(|it| now.checked_sub(it)) {
            has_news |= suspect.merge_trial(tried_at);
        }
        has_news
    }

    /// Returns those of a request's subjects to which its interruption is attributed: the
    /// ones over their limits if there are any.
    pub fn accused(&self, subjects: &[Subject]) -> Vec<Subject> {
        let known: Vec<Subject> =
            subjects.iter().filter(|it| self.is_over_limit(**it)).copied().collect();
        if known.is_empty() { subjects.to_vec() } else { known }
    }

    /// Returns whether a request with the subject may be sent. `subjects` are all subjects of
    /// the request.
    pub fn verdict(&self, subject: Subject, subjects: &[Subject], now: Instant) -> Verdict {
        let Some(suspect) = self.by_subject.get(&subject) else { return Verdict::Admitted };
        let (points, limit) = (self.points(subject, suspect), self.limit(subject, suspect));
        if points < limit.points {
            return Verdict::Admitted;
        }
        suspect.verdict(points, limit, self.is_distinct(subject, suspect, subjects), now)
    }

    /// Whether a request with these subjects must not be sent.
    pub fn is_rejected(&self, subjects: &[Subject], now: Instant) -> bool {
        let rejects =
            |it: &Subject| matches!(self.verdict(*it, subjects, now), Verdict::Rejected { .. });
        subjects.iter().any(rejects)
    }

    /// Whether the subject has more than half of the points from which on it is rejected,
    /// so that an interrupted request with it should not be sent to a further endpoint.
    pub fn is_doubtful(&self, subject: Subject) -> bool {
        let Some(suspect) = self.by_subject.get(&subject) else { return false };
        self.points(subject, suspect) * 2 > self.limit(subject, suspect).points
    }

    /// Returns up to `count` subjects over their limits, those with the most crashes first.
    pub fn over_limit(&self, count: usize, now: Instant) -> Vec<Report> {
        let mut over_limit = self.most_suspected(usize::MAX);
        over_limit.retain(|it| self.is_over_limit(*it));
        over_limit.truncate(count);
        over_limit.into_iter().filter_map(|it| self.report(it, now)).collect()
    }

    /// Returns the number of instances that the subject is suspected to have crashed.
    pub fn count(&self, subject: Subject) -> usize {
        self.by_subject.get(&subject).map_or(0, Suspect::count)
    }

    /// Whether the subject was suspected of several crashes at some time, so that all
    /// daemons should know about it.
    pub fn is_repeated(&self, subject: Subject) -> bool {
        self.by_subject.get(&subject).is_some_and(|it| it.is_repeated)
    }

    /// Returns up to `limit` suspected subjects, those with the most crashes first.
    pub fn most_suspected(&self, limit: usize) -> Vec<Subject> {
        let counts = self.by_subject.iter().map(|(it, suspect)| (suspect.count(), *it));
        let mut suspected: Vec<(usize, Subject)> = counts.filter(|(count, _)| *count > 0).collect();
        suspected.sort_unstable_by(|a, b| b.cmp(a));
        suspected.truncate(limit);
        suspected.into_iter().map(|(_, subject)| subject).collect()
    }

    /// Returns what is known about a subject, to be sent to other daemons.
    pub fn report(&self, subject: Subject, now: Instant) -> Option<Report> {
        let suspect = self.by_subject.get(&subject)?;
        let interruptions = suspect.interruptions.iter().map(|(instance, (evidence, at))| {
            let age_ms = now.saturating_duration_since(*at).as_millis() as u64;
            Interruption { instance: *instance, evidence: *evidence, age_ms }
        });
        let interruptions = interruptions.collect();
        let tried_age = suspect.tried_at.map(|it| now.saturating_duration_since(it));
        let tried_age_ms = tried_age.map(|it| it.as_millis() as u64);
        Some(Report { subject, interruptions, was_served: suspect.was_served, tried_age_ms })
    }

    /// Removes expired subjects.
    pub fn remove_expired(&mut self, now: Instant) {
        self.by_subject.retain(|_, it| {
            it.interruptions.retain(|_, (evidence, at)| {
                let is_retained = evidence.counts();
                now < *at + if is_retained { RETENTION } else { CLEARED_RETENTION }
            });
            !it.interruptions.is_empty()
        });
        self.remove_dangling();
    }

    fn limit(&self, subject: Subject, suspect: &Suspect) -> &Limit {
        match subject {
            Subject::Request(_) => &self.request_limit,
            Subject::Part(_) if suspect.was_served => &SERVED_PART_LIMIT,
            Subject::Part(_) => &PART_LIMIT,
        }
    }

    fn is_over_limit(&self, subject: Subject) -> bool {
        self.by_subject.get(&subject).is_some_and(|suspect| {
            self.points(subject, suspect) >= self.limit(subject, suspect).points
        })
    }

    /// Whether parts over their limits that are not among these subjects explain the crashes as
    /// well, so that a response to the request would tell them apart.
    fn is_distinct(&self, subject: Subject, suspect: &Suspect, subjects: &[Subject]) -> bool {
        let limit = self.limit(subject, suspect);
        let unexplained = suspect.points(limit.min_interval, |it| !self.is_explained(it, subjects));
        is_unserved_part(subject, suspect) && unexplained < limit.points
    }

    fn points(&self, subject: Subject, suspect: &Suspect) -> u32 {
        let limit = self.limit(subject, suspect);
        let all = suspect.points(limit.min_interval, |_| true);
        let may_be_explained = matches!(subject, Subject::Part(_)) && suspect.was_served;
        if all < limit.points || !may_be_explained {
            return all;
        }
        suspect.points(limit.min_interval, |it| !self.is_explained(it, &[]))
    }

    /// Whether a part over its limit, to which no endpoint has responded and which is not among
    /// `excluded`, was interrupted at the instance.
    fn is_explained(&self, instance: Instance, excluded: &[Subject]) -> bool {
        let subjects = self.by_instance.get(&instance).map_or(&[][..], Vec::as_slice);
        subjects.iter().filter(|it| !excluded.contains(it)).any(|subject| {
            let Some(suspect) = self.by_subject.get(subject) else { return false };
            is_unserved_part(*subject, suspect) && self.is_over_limit(*subject)
        })
    }

    /// Merges evidence on an instance. Returns whether it is new.
    fn merge(
        &mut self,
        subject: Subject,
        instance: Instance,
        evidence: Evidence,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !self.by_subject.contains_key(&subject) && !self.make_room(now) {
            return false;
        }
        let served_at = match subject {
            Subject::Part(id) => self.served_parts.completed_at(id),
            Subject::Request(_) => None,
        };
        let was_served = matches!(subject, Subject::Part(id) if self.served_parts.contains(id));
        let suspect = self.by_subject.entry(subject).or_default();
        suspect.was_served |= was_served;
        let is_cleared = served_at.is_some_and(|it| at <= it);
        let evidence = if is_cleared { Evidence::Served } else { evidence };
        if let Some((known, _)) = suspect.interruptions.get_mut(&instance) {
            let is_new = evidence > *known;
            *known = evidence.max(*known);
            suspect.is_repeated |= suspect.count() >= REPEATED;
            return is_new;
        }
        suspect.insert(instance, evidence, at, MAX_INTERRUPTIONS);
        suspect.is_repeated |= suspect.count() >= REPEATED;
        if evidence < Evidence::Responded {
            self.by_instance.entry(instance).or_default().push(subject);
        }
        true
    }

    /// Makes room for one more subject. Those with a single interruption give way,
    /// since most of them were interrupted by the crash of another. Returns whether
    /// there is room.
    fn make_room(&mut self, now: Instant) -> bool {
        for retention in [RETENTION, SHORT_RETENTION, Duration::ZERO] {
            if self.by_subject.len() < MAX_SUBJECTS {
                return true;
            }
            self.by_subject.retain(|_, it| {
                let is_retained = it.count() >= REPEATED;
                !it.is_older(if is_retained { RETENTION } else { retention }, now)
            });
            self.remove_dangling();
        }
        self.by_subject.len() < MAX_SUBJECTS
    }

    fn remove_dangling(&mut self) {
        let known = &self.by_subject;
        self.by_instance.retain(|_, subjects| {
            subjects.retain(|it| known.contains_key(it));
            !subjects.is_empty()
        });
    }
}

fn is_unserved_part(subject: Subject, suspect: &Suspect) -> bool {
    matches!(subject, Subject::Part(_)) && !suspect.was_served
}
