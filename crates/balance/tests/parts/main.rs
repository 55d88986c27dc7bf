//! Prompt parts that crash endpoints, among sound ones that the same crashes interrupt.

mod world;

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::subject::Subject;
use balance::suspect::CRASH_POINTS;
use balance::suspect::Evidence;
use balance::suspect::Limit;
use balance::suspect::Verdict;
use balance::suspects::Suspects;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::world::Plan;
use self::world::Record;

/// Number of random plans in a run, unless `LENTILHOOK_SEEDS` states another.
const PLANS: u64 = 40;
/// Number of crashes after which all daemons must learn to reject a part, and the time in
/// which they learn it.
const CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of requests with the part that may be sent after that.
const TOLERATED: usize = 3;
/// Least share of sound requests that are sent after twice the contact time, in percent.
const MIN_SENT_PERCENT: usize = 50;
/// Like [`MIN_SENT_PERCENT`], if no daemon restarts.
const MIN_SENT_WITHOUT_RESTARTS_PERCENT: usize = 90;
/// Like [`MIN_SENT_PERCENT`], if no part crashes endpoints.
const MIN_SENT_IN_CALM_PERCENT: usize = 98;
/// A part under test.
const PART: Subject = Subject::Part(7);
/// Another part.
const OTHER: Subject = Subject::Part(8);

/// Limit of requests, as that of forwarding daemons.
const REQUEST_LIMIT: Limit = Limit {
    points: 3 * CRASH_POINTS,
    rejection_time: Duration::from_secs(120),
    growth: 2,
    min_interval: Duration::ZERO,
};

#[test]
fn random_fleets_reject_the_part_that_crashes_endpoints_and_no_other() {
    let plans = std::env::var("LENTILHOOK_SEEDS").ok().and_then(|it| it.parse().ok());
    for seed in 0..plans.unwrap_or(PLANS) {
        let plan = random_plan(seed);

        let record = world::play(plan, seed);

        let late = deadly_sent_late(&record);
        assert!(late <= TOLERATED, "{late} sent late, seed {seed}, {plan:?}");
        let settled_at = record.crashes.get(CRASHES - 1).or(record.crashes.last());
        let from = settled_at.map_or(Duration::ZERO, |it| *it + CONTACT_TIME * 2);
        let least = match plan {
            Plan { deadly: None, .. } => MIN_SENT_IN_CALM_PERCENT,
            Plan { restarts: None, .. } => MIN_SENT_WITHOUT_RESTARTS_PERCENT,
            _ => MIN_SENT_PERCENT,
        };
        let sound: Vec<bool> =
            record.sound.iter().filter(|(at, _)| *at >= from).map(|(_, it)| *it).collect();
        let sent = sound.iter().filter(|it| **it).count();
        assert!(
            sent * 100 >= sound.len() * least,
            "{sent} of {} sound requests, seed {seed}, {plan:?}",
            sound.len()
        );
    }
}

#[test]
fn a_part_is_rejected_after_crashes_at_different_moments() {
    let check = |crashes_ms: &[u64], expected: bool| {
        let now = Instant::now();
        let mut suspects = Suspects::new(REQUEST_LIMIT);

        for (instance, ms) in crashes_ms.iter().enumerate() {
            let at = now + Duration::from_millis(*ms);
            suspects.record(PART, Instance(instance as u64), Evidence::Interrupted, at);
        }

        let after = now + Duration::from_secs(5);
        assert_eq!(suspects.is_rejected(&[PART], after), expected, "{crashes_ms:?}");
        assert!(!suspects.is_rejected(&[OTHER], after));
    };

    check(&[0, 1_000], false);
    check(&[0, 10, 20, 30, 40, 50], false);
    check(&[0, 1_000, 2_000], true);
}

/// Guards against dropping the moments that brought a part over its limit.
#[test]
fn many_crashes_in_a_short_time_do_not_readmit_a_part() {
    let now = Instant::now();
    let mut suspects = Suspects::new(REQUEST_LIMIT);

    for instance in 0..60 {
        let at = now + Duration::from_millis(25) * instance;
        suspects.record(PART, Instance(instance.into()), Evidence::Interrupted, at);
    }

    assert!(suspects.is_rejected(&[PART], now + Duration::from_secs(2)));
}

#[test]
fn a_response_clears_the_crashes_before_it_and_raises_the_limit() {
    let now = Instant::now();
    let at = |seconds: u64| now + Duration::from_secs(seconds);
    let mut suspects = crashed(&[0, 1, 2], now);

    assert!(suspects.record_service(PART, at(3)));
    let after_service = suspects.verdict(PART, &[PART], at(3));
    for second in 4..8 {
        suspects.record(PART, Instance(second), Evidence::Interrupted, at(second));
    }
    let after_four = suspects.verdict(PART, &[PART], at(8));
    suspects.record(PART, Instance(9), Evidence::Interrupted, at(9));

    assert_eq!(after_service, Verdict::Admitted);
    assert_eq!(after_four, Verdict::Admitted);
    assert!(suspects.is_rejected(&[PART], at(9)));
}

#[test]
fn a_response_that_this_daemon_completed_clears_crashes_that_it_hears_of_later() {
    let now = Instant::now();
    let later = now + Duration::from_secs(4);
    let mut suspects = Suspects::new(REQUEST_LIMIT);
    suspects.record_service(PART, now + Duration::from_secs(3));
    let report = crashed(&[0, 1, 2], now).report(PART, later).unwrap();

    let has_news = suspects.merge_remote(&report, later);

    assert!(has_news, "the other daemon must be told");
    assert_eq!(suspects.verdict(PART, &[PART], later), Verdict::Admitted);
    assert!(suspects.report(PART, later).unwrap().was_served);
}

#[test]
fn crashes_that_a_rejected_part_explains_do_not_count_against_parts_that_were_served() {
    let now = Instant::now();
    let mut suspects = crashed(&[0, 1, 2, 3, 4], now);
    suspects.record_progress(OTHER);
    for second in 0..5 {
        let at = now + Duration::from_secs(second);
        suspects.record(OTHER, Instance(second), Evidence::Interrupted, at);
    }
    let after = now + Duration::from_secs(5);

    let rejected = [PART, OTHER].map(|it| suspects.is_rejected(&[it], after));

    assert_eq!(rejected, [true, false]);
}

#[test]
fn crashes_that_a_rejected_part_explains_count_against_a_request() {
    let now = Instant::now();
    let mut suspects = crashed(&[0, 1, 2], now);
    let request = Subject::Request(1);
    for second in 0..3 {
        let at = now + Duration::from_secs(second);
        suspects.record(request, Instance(second), Evidence::Interrupted, at);
    }

    let after = now + Duration::from_secs(60);
    assert!(suspects.is_rejected(&[request, PART], after));
}

#[test]
fn an_interruption_is_attributed_to_the_part_that_is_already_rejected() {
    let now = Instant::now();
    let suspects = crashed(&[0, 1, 2], now);

    assert_eq!(suspects.accused(&[OTHER, PART]), [PART]);
    assert_eq!(suspects.accused(&[OTHER]), [OTHER]);
}

#[test]
fn one_request_tries_a_part_again_once_its_rejection_has_ended() {
    let now = Instant::now();
    let mut suspects = crashed(&[0, 1, 2], now);
    let since = now + Duration::from_secs(10);
    let before = suspects.verdict(PART, &[PART], since - Duration::from_millis(1));

    let at_end = suspects.verdict(PART, &[PART], since);
    suspects.record_trial(PART, &[PART], since);
    let during = suspects.verdict(PART, &[PART], since + Duration::from_secs(1));
    suspects.record_service(PART, since + Duration::from_secs(2));

    assert_eq!(before, Verdict::Rejected { until: since });
    assert_eq!(at_end, Verdict::Expired { since });
    assert!(matches!(during, Verdict::Rejected { .. }));
    assert_eq!(suspects.verdict(PART, &[PART], since + Duration::from_secs(2)), Verdict::Admitted);
}

#[test]
fn of_parts_that_the_same_crashes_interrupted_one_is_tried_without_the_other() {
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let mut suspects = crashed(&[0, 1, 2], now);
    for second in 0..3 {
        let crashed_at = now + Duration::from_secs(second);
        suspects.record(OTHER, Instance(second), Evidence::Interrupted, crashed_at);
    }

    let both = suspects.is_rejected(&[OTHER, PART], at(3_500));
    let one = suspects.verdict(OTHER, &[OTHER], at(3_500));
    suspects.record_service(OTHER, at(4_000));

    assert!(both);
    assert_eq!(one, Verdict::Expired { since: at(3_000) });
    assert!(suspects.is_rejected(&[OTHER, PART], at(4_000)));
    assert!(!suspects.is_rejected(&[OTHER], at(4_000)));
}

#[test]
fn the_last_part_of_a_prompt_is_no_subject() {
    let check = |parts: &[u64], expected: &[Subject]| {
        let subjects = Subject::of_request(1, parts.iter().copied());

        assert_eq!(subjects[0], Subject::Request(1));
        assert_eq!(&subjects[1..], expected, "{parts:?}");
    };

    check(&[], &[]);
    check(&[7], &[]);
    check(&[7, 8], &[PART]);
    check(&[7, 7, 8, 9], &[PART, OTHER]);
}

#[test]
fn subjects_are_read_from_their_text() {
    for subject in [Subject::Request(0), Subject::Request(u128::MAX), Subject::Part(0xbeef)] {
        assert_eq!(subject.to_string().parse(), Ok(subject));
    }
    assert!("part:".parse::<Subject>().is_err());
    assert!("none".parse::<Subject>().is_err());
}

/// Returns suspects with crashes of a part at these seconds, each of another instance.
fn crashed(seconds: &[u64], now: Instant) -> Suspects {
    let mut suspects = Suspects::new(REQUEST_LIMIT);
    for second in seconds {
        let at = now + Duration::from_secs(*second);
        suspects.record(PART, Instance(*second), Evidence::Interrupted, at);
    }
    suspects
}

fn deadly_sent_late(record: &Record) -> usize {
    let Some(fifth) = record.crashes.get(CRASHES - 1) else { return 0 };
    record.deadly_sent.iter().filter(|it| **it > *fifth + CONTACT_TIME).count()
}

fn random_plan(seed: u64) -> Plan {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut millis = |from: u64, to: u64| Duration::from_millis(rng.random_range(from..to));
    let deadly = (millis(2_000, 10_000), millis(100, 2_000));
    let sound_interval = millis(50, 250);
    let losses = millis(2_500, 9_000);
    let restarts = millis(500, 5_000);
    let restart_of_all = millis(3_000, 40_000);
    let max_delay = millis(20, 400);
    Plan {
        daemons: rng.random_range(2..9),
        endpoints: rng.random_range(8..40),
        duration: Duration::from_secs(60),
        deadly: rng.random_bool(0.75).then_some(deadly),
        crashes_after_start: rng.random_bool(0.3),
        sound_interval,
        sound_parts: rng.random_range(2..40),
        losses: rng.random_bool(0.5).then_some((losses, rng.random_range(10..60))),
        restarts: rng.random_bool(0.3).then_some(restarts),
        restart_of_all: rng.random_bool(0.3).then_some(restart_of_all),
        max_delay,
        is_neighbour_new: rng.random_bool(0.4),
    }
}
