//! What counts as a service of a prompt part.

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::services::Recent;
use balance::services::Response;
use balance::services::Unconfirmed;
use balance::subject::Subject;

#[test]
fn a_response_is_confirmed_by_one_to_a_later_request_of_the_same_instance() {
    let ended_at = Instant::now();
    let check = |instance: u64, sent_after_ms: i64, expected: usize| {
        let mut unconfirmed = Unconfirmed::default();
        let response = Response { at: ended_at, subjects: vec![Subject::Part(7)] };
        unconfirmed.push(Instance(1), response);
        let offset = Duration::from_millis(sent_after_ms.unsigned_abs());
        let sent_at = if sent_after_ms < 0 { ended_at - offset } else { ended_at + offset };

        let confirmed = unconfirmed.confirm(Instance(instance), sent_at);

        assert_eq!(confirmed.len(), expected, "{instance} {sent_after_ms}");
        assert!(unconfirmed.confirm(Instance(instance), sent_at).is_empty());
    };

    check(1, 10, 1);
    check(1, -10, 0);
    check(2, 10, 0);
}

#[test]
fn responses_that_wait_are_bounded() {
    let now = Instant::now();
    let mut unconfirmed = Unconfirmed::default();

    for _ in 0..100_000 {
        unconfirmed.push(Instance(1), Response { at: now, subjects: Vec::new() });
    }

    let confirmed = unconfirmed.confirm(Instance(1), now).len();
    assert!((1_000..10_000).contains(&confirmed), "{confirmed}");
}

#[test]
fn the_least_recently_served_parts_are_forgotten() {
    let now = Instant::now();
    let mut recent = Recent::default();
    recent.record(0, Some(now));

    for part in 1..100_000 {
        recent.record(part, None);
    }

    assert!(!recent.contains(0));
    assert!(recent.contains(99_999));
    assert_eq!(recent.completed_at(99_999), None);
}

#[test]
fn progress_does_not_undo_the_time_of_a_complete_response() {
    let now = Instant::now();
    let mut recent = Recent::default();

    recent.record(7, Some(now));
    recent.record(7, None);

    assert_eq!(recent.completed_at(7), Some(now));
}
