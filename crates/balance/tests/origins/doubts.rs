//! Doubts about streams at instances that were replaced, whatever becomes known first.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::origin::Key;
use balance::origin::Origin;
use balance::origin::Origins;

use crate::SECOND;
use crate::orders;
use crate::origin;

/// Time since the former instance was replaced.
const REPLACED_AGE: Duration = Duration::from_secs(5);
const MILLISECOND: Duration = Duration::from_millis(1);

/// What a daemon comes to know of a stream at [`former`].
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Its version at that instance, from a daemon for which it is settled or not.
    Told { software: Option<&'static str>, is_settled: bool },
    /// The instance was replaced by one of another version.
    Replaced,
    /// The instance was replaced by one of the same version.
    Restarted,
}

#[test]
fn streams_that_began_after_the_replacement_are_in_doubt_whatever_is_known_first() {
    let check = |age: Duration, expected: Option<&str>| {
        for is_settled in [false, true] {
            let told = Step::Told { software: Some("v1"), is_settled };
            for order in orders(&[told, Step::Replaced]) {
                assert_eq!(outcome(&order, age).as_deref(), expected, "{order:?}, {age:?}");
            }
        }
    };

    check(Duration::ZERO, None);
    check(REPLACED_AGE, None);
    check(REPLACED_AGE + origin::MAX_CLOCK_SKEW, None);
    check(REPLACED_AGE + origin::MAX_CLOCK_SKEW + MILLISECOND, Some("v1"));
    check(4 * REPLACED_AGE, Some("v1"));
}

#[test]
fn notices_that_come_before_and_after_the_replacement_have_one_outcome() {
    let told = |software: &'static str, is_settled: bool| Step::Told {
        software: Some(software),
        is_settled,
    };
    let doubt = Step::Told { software: None, is_settled: true };
    let check = |steps: &[Step], expected: Option<&str>| {
        for order in orders(steps) {
            assert_eq!(outcome(&order, SECOND).as_deref(), expected, "{order:?}");
        }
    };

    check(&[told("v1", false), told("v1", true), Step::Replaced], None);
    check(&[told("v1", false), told("", false), Step::Replaced], None);
    check(&[doubt, told("v1", false), Step::Replaced], None);
    check(&[doubt, told("v1", true), Step::Restarted], None);
    check(&[told("v1", false), Step::Restarted], Some("v1"));
    check(&[told("v1", false), told("v1", true), Step::Restarted], Some("v1"));
}

/// Guards against an instance whose replacement by another version is forgotten when a second one
/// becomes known.
#[test]
fn a_later_replacement_does_not_take_back_an_earlier_one() {
    let told = Step::Told { software: Some("v1"), is_settled: false };

    for steps in [
        [Step::Replaced, Step::Restarted, told],
        [Step::Restarted, Step::Replaced, told],
        [told, Step::Replaced, Step::Restarted],
    ] {
        assert_eq!(outcome(&steps, SECOND), None, "{steps:?}");
    }
}

#[test]
fn a_stream_at_the_next_instance_is_not_in_doubt() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.doubt(former(), now);

    origins.record(key(), origin("v2", 2), false, SECOND, now);

    assert_eq!(origins.get(key(), now).unwrap().origin, origin("v2", 2));
    assert_eq!(origins.unsettled().count(), 1);
}

/// Guards against an endpoint that states no start, and has the same identity after it restarted
/// at its address: its later streams must not be in doubt for good.
#[test]
fn streams_that_begin_at_an_instance_after_it_was_described_anew_are_not_in_doubt() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.record(key(), origin("v1", 1), false, 60 * SECOND, now);
    origins.doubt_all(former());
    let later = Key::of(None, "r", "later");

    origins.record(later, origin("v2", 1), false, 60 * SECOND, now + SECOND);

    let version = |it: Key| origins.get(it, now + SECOND).unwrap().origin.software.clone();
    assert_eq!([key(), later].map(version), [None, Some("v2".into())]);
    assert!(!origins.is_replaced(former()));
}

#[test]
fn other_daemons_are_told_of_an_own_stream_that_is_in_doubt_from_the_start() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.doubt(former(), now);

    origins.record(key(), origin("v1", 1), false, SECOND, now);

    let told = origins.take_unsent(10, now);
    assert_eq!(told.iter().map(|it| &it.origin.software).collect::<Vec<_>>(), [&None]);
    assert_eq!(origins.take_changed(), [key()]);
    // Its process may state its start later.
    assert_eq!(origins.unsettled().count(), 1);
}

#[test]
fn the_number_of_replaced_instances_is_bounded() {
    let now = Instant::now();
    let mut origins = Origins::default();

    (0..20_000).for_each(|it| origins.record_replacement(Instance(it)));

    let known = (0..20_000).filter(|it| origins.is_replaced(Instance(*it))).count();
    assert_eq!(known, 8_192);
    assert!(origins.is_replaced(Instance(19_999)));
    assert_eq!(origins.doubt(Instance(19_999), now), 0);
}

/// Returns the software version of a stream that began `age` ago, after the steps.
fn outcome(steps: &[Step], age: Duration) -> Option<String> {
    let now = Instant::now() + 60 * SECOND;
    let age_ms = age.as_millis() as u64;
    let mut origins = Origins::default();
    for step in steps {
        match *step {
            Step::Told { software, is_settled } => {
                let software = software.map(str::to_owned);
                let origin = Origin { software, ..origin("", former().0) };
                let notice = origin::Notice { key: key(), origin, age_ms, lifetime_ms: 1_000 };
                origins.merge_remote(&notice, &Rc::from("d"), is_settled, now);
            }
            Step::Replaced => {
                origins.doubt(former(), now - REPLACED_AGE);
            }
            Step::Restarted => origins.record_replacement(former()),
        }
    }
    origins.get(key(), now).unwrap().origin.software.clone()
}

fn former() -> Instance {
    Instance(1)
}

fn key() -> Key {
    Key::of(None, "r", "id")
}
