//! Rejection of requests that crash endpoints.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use balance::endpoint::Instance;
use balance::spread::Spread;
use balance::subject;
use balance::subject::Subject;
use balance::suspect::CRASH_POINTS;
use balance::suspect::Evidence;
use balance::suspect::Limit;
use balance::suspects::Report;
use balance::suspects::Suspects;

/// Fingerprint of the request under test.
const REQUEST: Subject = Subject::Request(7);
/// Another request.
const OTHER: Subject = Subject::Request(8);
/// Number of random exchanges.
const SEEDS: u64 = 500;
/// Length of the random data of an exchange.
const RANDOM_BYTES: u64 = 512;
/// Number of crashed instances at which a request is rejected.
const CRASH_LIMIT: usize = 3;
/// Maximum number of reports taken at once.
const MANY: usize = 1_000;

#[test]
fn a_request_is_rejected_after_crashes_of_different_instances() {
    let now = Instant::now();
    let check = |instances: &[u64], is_rejected: bool| {
        let mut suspects = new_suspects();

        for instance in instances {
            suspects.record(REQUEST, Instance(*instance), Evidence::Interrupted, now);
        }

        assert_eq!(suspects.is_rejected(&[REQUEST], now), is_rejected, "{instances:?}");
        assert!(!suspects.is_rejected(&[OTHER], now));
    };

    check(&[1, 2], false);
    check(&[1, 1, 1, 1, 2, 2], false);
    check(&[1, 2, 3], true);
}

#[test]
fn fingerprints_differ_where_parts_are_split_differently() {
    let fingerprints =
        [subject::fingerprint(&[b"poison"]), subject::fingerprint(&[b"pois", b"on"])];

    assert_ne!(fingerprints[0], fingerprints[1]);
    assert_eq!(fingerprints[0], subject::fingerprint(&[b"poison"]));
}

#[test]
fn an_interruption_counts_until_it_is_refuted() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let check = |is_rejected: bool, learn: &dyn Fn(&mut Suspects)| {
        let mut suspects = interrupted(now, CRASH_LIMIT);

        learn(&mut suspects);

        assert_eq!(suspects.is_rejected(&[REQUEST], later), is_rejected);
    };

    check(true, &|_| ());
    check(false, &|it| assert_eq!(it.record_response(Instance(1), later), [REQUEST]));
    check(true, &|it| assert!(it.record_response(Instance(9), later).is_empty()));
    // The response is to a request sent before the interruption.
    check(true, &|it| {
        assert!(it.record_response(Instance(1), now - Duration::from_secs(1)).is_empty());
    });
    check(false, &|it| assert!(it.record_service(REQUEST, later)));
    check(true, &|it| assert!(!it.record_service(OTHER, later)));
    // A restart under the same id may respond before the daemon knows of the restart.
    check(true, &|it| {
        it.record_response(Instance(1), later);
        it.record(REQUEST, Instance(1), Evidence::Replaced, later);
    });
    check(false, &|it| {
        it.record_service(REQUEST, later);
        it.record(REQUEST, Instance(1), Evidence::Replaced, later);
    });
}

#[test]
fn a_rejected_request_is_tried_again_ever_more_rarely() {
    let now = Instant::now();
    let mut suspects = interrupted(now, CRASH_LIMIT);
    let after = |seconds: u64| now + Duration::from_secs(seconds);

    assert!(suspects.is_rejected(&[REQUEST], after(119)));
    assert!(!suspects.is_rejected(&[REQUEST], after(121)));
    suspects.record(REQUEST, Instance(100), Evidence::Interrupted, after(121));

    assert!(suspects.is_rejected(&[REQUEST], after(121 + 239)));
    assert!(!suspects.is_rejected(&[REQUEST], after(121 + 241)));
}

#[test]
fn a_request_with_several_crashes_outlasts_many_with_one() {
    let now = Instant::now();
    let mut suspects = interrupted(now, CRASH_LIMIT);

    for other in 1_000..20_000 {
        suspects.record(
            Subject::Request(other),
            Instance(other as u64),
            Evidence::Interrupted,
            now,
        );
    }
    suspects.record(OTHER, Instance(1), Evidence::Interrupted, now);

    assert!(suspects.is_rejected(&[REQUEST], now));
    assert_eq!(suspects.count(OTHER), 1);
}

#[test]
fn a_crash_after_progress_counts_half() {
    let now = Instant::now();
    let mut suspects = interrupted(now, CRASH_LIMIT - 1);

    suspects.record(REQUEST, Instance(10), Evidence::Progressed, now);
    let after_one = suspects.is_rejected(&[REQUEST], now);
    suspects.record(REQUEST, Instance(11), Evidence::Progressed, now);

    assert!(!after_one);
    assert!(suspects.is_rejected(&[REQUEST], now));
}

#[test]
fn a_single_interruption_goes_to_its_counters_and_further_ones_to_all() {
    let now = Instant::now();
    let mut daemon = Daemon::new();
    daemon.record(REQUEST, 1, Evidence::Interrupted, now);

    let first = daemon.spread.take_unreported(&daemon.suspects, now);
    let gossip = daemon.spread.take_gossip(&daemon.suspects, MANY, now);
    daemon.record(REQUEST, 2, Evidence::Interrupted, now);
    let rounds = daemon.gossip_rounds(now);

    assert_eq!(first.len(), 1);
    assert!(gossip.is_empty());
    assert!((2..20).contains(&rounds), "{rounds}");
    assert!(daemon.spread.take_unreported(&daemon.suspects, now).is_empty());
}

#[test]
fn requests_with_the_most_crashes_are_told_to_new_daemons_first() {
    let now = Instant::now();
    let mut daemon = Daemon::new();
    for (subject, instances) in
        [(REQUEST, 3), (Subject::Request(1), 2), (Subject::Request(2), 2), (OTHER, 1)]
    {
        (0..instances).for_each(|it| daemon.record(subject, it, Evidence::Interrupted, now));
    }
    daemon.gossip_rounds(now);

    daemon.spread.push_again(&daemon.suspects, 2);

    let told = daemon.spread.take_gossip(&daemon.suspects, MANY, now);
    assert_eq!(
        told.iter().map(|it| it.subject).collect::<Vec<_>>(),
        [REQUEST, Subject::Request(2)]
    );
}

#[test]
fn daemons_that_exchange_reports_in_any_order_agree() {
    for seed in 0..SEEDS {
        arbtest(exchange_reports).seed((seed << 32) | RANDOM_BYTES).run();
    }
}

fn exchange_reports(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let now = Instant::now();
    let mut daemons = [Daemon::new(), Daemon::new(), Daemon::new()];
    let mut reports: Vec<Report> = Vec::new();
    for _ in 0..u.int_in_range(1..=30)? {
        let daemon = u.choose_index(daemons.len())?;
        daemons[daemon].observe(now, u)?;
        reports.extend(daemons[daemon].take_reports(now));
        if !reports.is_empty() && u.ratio(1, 2)? {
            let report = u.choose(&reports)?.clone();
            daemons[u.choose_index(3)?].merge(&report, now);
        }
    }

    deliver_all(&mut daemons, &reports, now);

    let counts: Vec<usize> = daemons.iter().map(|it| it.suspects.count(REQUEST)).collect();
    assert!(counts.iter().all(|it| *it == counts[0]), "{counts:?}");
    Ok(())
}

/// Delivers all reports, and those that result, to all daemons.
fn deliver_all(daemons: &mut [Daemon], reports: &[Report], now: Instant) {
    let mut reports = reports.to_vec();
    while !reports.is_empty() {
        let batch = std::mem::take(&mut reports);
        for daemon in &mut *daemons {
            batch.iter().for_each(|it| daemon.merge(it, now));
        }
        for daemon in &mut *daemons {
            reports.extend(daemon.take_reports(now));
        }
    }
}

struct Daemon {
    suspects: Suspects,
    spread: Spread,
}

impl Daemon {
    fn new() -> Daemon {
        Daemon { suspects: new_suspects(), spread: Spread::default() }
    }

    fn record(&mut self, subject: Subject, instance: u64, evidence: Evidence, now: Instant) {
        if self.suspects.record(subject, Instance(instance), evidence, now) {
            self.spread.push(&self.suspects, subject, true);
        }
    }

    /// Makes a random observation.
    fn observe(
        &mut self,
        now: Instant,
        u: &mut Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<()> {
        let instance = u.int_in_range(0..=4)?;
        match u.int_in_range(0..=6)? {
            0 => {
                for it in self.suspects.record_response(Instance(instance), now) {
                    self.spread.push(&self.suspects, it, true);
                }
            }
            1 => {
                if self.suspects.record_service(REQUEST, now) {
                    self.spread.push(&self.suspects, REQUEST, true);
                }
            }
            2 => self.record(REQUEST, instance, Evidence::Replaced, now),
            3 => self.record(REQUEST, instance, Evidence::Progressed, now),
            _ => self.record(REQUEST, instance, Evidence::Interrupted, now),
        }
        Ok(())
    }

    fn merge(&mut self, report: &Report, now: Instant) {
        if self.suspects.merge_remote(report, now) {
            self.spread.push(&self.suspects, report.subject, false);
        }
    }

    fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let mut reports = self.spread.take_unreported(&self.suspects, now);
        reports.extend(self.spread.take_gossip(&self.suspects, MANY, now));
        reports
    }

    fn gossip_rounds(&mut self, now: Instant) -> usize {
        (0..100)
            .take_while(|_| !self.spread.take_gossip(&self.suspects, MANY, now).is_empty())
            .count()
    }
}

fn new_suspects() -> Suspects {
    Suspects::new(Limit {
        points: CRASH_LIMIT as u32 * CRASH_POINTS,
        rejection_time: Duration::from_secs(120),
        growth: 2,
        min_interval: Duration::ZERO,
    })
}

/// Returns suspects with a request interrupted at this number of instances.
fn interrupted(now: Instant, count: usize) -> Suspects {
    let mut suspects = new_suspects();
    for instance in 1..=count as u64 {
        suspects.record(REQUEST, Instance(instance), Evidence::Interrupted, now);
    }
    suspects
}
