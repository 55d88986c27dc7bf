//! Rejection of requests that crash endpoints.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use balance::endpoint::Instance;
use balance::suspects::CRASH_LIMIT;
use balance::suspects::Evidence;
use balance::suspects::Report;
use balance::suspects::Suspects;

/// Fingerprint of the request under test.
const REQUEST: u128 = 7;
/// Number of random exchanges.
const SEEDS: u64 = 500;
/// Length of the random data of an exchange.
const RANDOM_BYTES: u64 = 512;
/// Maximum number of reports taken at once.
const MANY: usize = 1_000;

#[test]
fn a_request_is_rejected_after_crashes_of_different_instances() {
    let now = Instant::now();
    let check = |instances: &[u64], is_rejected: bool| {
        let mut suspects = Suspects::default();

        for instance in instances {
            suspects.record(REQUEST, Instance(*instance), Evidence::Interrupted, now);
        }

        assert_eq!(suspects.is_rejected(REQUEST, now), is_rejected, "{instances:?}");
        assert!(!suspects.is_rejected(REQUEST + 1, now));
    };

    check(&[1, 2], false);
    check(&[1, 1, 1, 1, 2, 2], false);
    check(&[1, 2, 3], true);
}

#[test]
fn an_interruption_counts_until_it_is_refuted() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let check = |is_rejected: bool, learn: &dyn Fn(&mut Suspects)| {
        let mut suspects = interrupted(now, CRASH_LIMIT);

        learn(&mut suspects);

        assert_eq!(suspects.is_rejected(REQUEST, later), is_rejected);
    };

    check(true, &|_| ());
    check(false, &|it| assert_eq!(it.record_response(Instance(1), later), [REQUEST]));
    check(true, &|it| assert!(it.record_response(Instance(9), later).is_empty()));
    // The response is to a request sent before the interruption.
    check(true, &|it| {
        assert!(it.record_response(Instance(1), now - Duration::from_secs(1)).is_empty());
    });
    check(false, &|it| assert!(it.record_service(REQUEST)));
    check(true, &|it| assert!(!it.record_service(REQUEST + 1)));
    // A restart under the same id may respond before the daemon knows of the restart.
    check(true, &|it| {
        it.record_response(Instance(1), later);
        it.record(REQUEST, Instance(1), Evidence::Replaced, later);
    });
    check(false, &|it| {
        it.record_service(REQUEST);
        it.record(REQUEST, Instance(1), Evidence::Replaced, later);
    });
}

#[test]
fn a_rejected_request_is_tried_again_ever_more_rarely() {
    let now = Instant::now();
    let mut suspects = interrupted(now, CRASH_LIMIT);
    let after = |seconds: u64| now + Duration::from_secs(seconds);

    assert!(suspects.is_rejected(REQUEST, after(119)));
    assert!(!suspects.is_rejected(REQUEST, after(121)));
    suspects.record(REQUEST, Instance(100), Evidence::Interrupted, after(121));

    assert!(suspects.is_rejected(REQUEST, after(121 + 239)));
    assert!(!suspects.is_rejected(REQUEST, after(121 + 241)));
}

#[test]
fn a_request_with_several_crashes_outlasts_many_with_one() {
    let now = Instant::now();
    let mut suspects = interrupted(now, CRASH_LIMIT);

    for other in 1_000..20_000 {
        suspects.record(other, Instance(other as u64), Evidence::Interrupted, now);
    }
    suspects.record(REQUEST + 1, Instance(1), Evidence::Interrupted, now);

    assert!(suspects.is_rejected(REQUEST, now));
    assert_eq!(suspects.count(REQUEST + 1), 1);
}

#[test]
fn a_single_interruption_goes_to_its_counters_and_further_ones_to_all() {
    let now = Instant::now();
    let mut suspects = interrupted(now, 1);

    let first = suspects.take_unreported(now);
    let spread_first = suspects.take_spreading(MANY, now);
    suspects.record(REQUEST, Instance(2), Evidence::Interrupted, now);
    let rounds = (0..20).take_while(|_| !suspects.take_spreading(MANY, now).is_empty()).count();

    assert_eq!(first.len(), 1);
    assert!(spread_first.is_empty());
    assert!((2..20).contains(&rounds), "{rounds}");
    assert!(suspects.take_unreported(now).is_empty());
}

#[test]
fn requests_with_the_most_crashes_are_told_to_new_daemons_first() {
    let now = Instant::now();
    let mut suspects = interrupted(now, CRASH_LIMIT);
    for other in [1, 2] {
        suspects.record(other, Instance(1), Evidence::Interrupted, now);
        suspects.record(other, Instance(2), Evidence::Interrupted, now);
    }
    suspects.record(3, Instance(1), Evidence::Interrupted, now);
    while !suspects.take_spreading(MANY, now).is_empty() {}

    suspects.spread_again(2);

    let told: Vec<u128> =
        suspects.take_spreading(MANY, now).iter().map(|it| it.fingerprint).collect();
    assert_eq!(told, [REQUEST, 2]);
}

#[test]
fn daemons_that_exchange_reports_in_any_order_agree() {
    for seed in 0..SEEDS {
        arbtest(exchange_reports).seed((seed << 32) | RANDOM_BYTES).run();
    }
}

fn exchange_reports(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let now = Instant::now();
    let mut daemons = vec![Suspects::default(); 3];
    let mut reports: Vec<Report> = Vec::new();
    for _ in 0..u.int_in_range(1..=30)? {
        let daemon = u.choose_index(daemons.len())?;
        change(&mut daemons[daemon], now, u)?;
        reports.extend(daemons[daemon].take_unreported(now));
        reports.extend(daemons[daemon].take_spreading(MANY, now));
        if !reports.is_empty() && u.ratio(1, 2)? {
            let report = u.choose(&reports)?.clone();
            daemons[u.choose_index(3)?].merge_remote(&report, now);
        }
    }

    deliver_all(&mut daemons, &reports, now);

    let counts: Vec<usize> = daemons.iter().map(|it| it.count(REQUEST)).collect();
    assert!(counts.iter().all(|it| *it == counts[0]), "{counts:?}");
    Ok(())
}

/// Makes a random observation.
fn change(
    suspects: &mut Suspects,
    now: Instant,
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let instance = Instance(u.int_in_range(0..=4)?);
    match u.int_in_range(0..=5)? {
        0 => {
            suspects.record_response(instance, now);
        }
        1 => {
            suspects.record_service(REQUEST);
        }
        2 => {
            suspects.record(REQUEST, instance, Evidence::Replaced, now);
        }
        _ => {
            suspects.record(REQUEST, instance, Evidence::Interrupted, now);
        }
    }
    Ok(())
}

/// Delivers all reports, and those that result, to all daemons.
fn deliver_all(daemons: &mut [Suspects], reports: &[Report], now: Instant) {
    let mut reports = reports.to_vec();
    while !reports.is_empty() {
        let batch = std::mem::take(&mut reports);
        for daemon in &mut *daemons {
            for report in &batch {
                daemon.merge_remote(report, now);
            }
        }
        for daemon in &mut *daemons {
            reports.extend(daemon.take_unreported(now));
            reports.extend(daemon.take_spreading(MANY, now));
        }
    }
}

/// Returns suspects with a request interrupted at this number of instances.
fn interrupted(now: Instant, count: usize) -> Suspects {
    let mut suspects = Suspects::default();
    for instance in 1..=count as u64 {
        suspects.record(REQUEST, Instance(instance), Evidence::Interrupted, now);
    }
    suspects
}
