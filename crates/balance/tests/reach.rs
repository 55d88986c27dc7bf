//! When a daemon counts as cut off from endpoints, and when it uses its own links again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use balance::reach::Reach;
use balance::reach::State;

const SECOND: Duration = Duration::from_secs(1);
const HALF: Duration = Duration::from_millis(500);

#[test]
fn links_are_cut_if_endpoints_fail_in_a_row_that_serve_others_meanwhile() {
    let now = Instant::now();
    let check = |failed: &[&str], served_at: Option<Instant>, expected: State| {
        let mut reach = Reach::default();
        failed.iter().for_each(|it| reach.record_failure("pool", it, now));

        reach.update(&others(served_at), now + SECOND);

        assert_eq!(reach.state("pool"), expected, "{failed:?} {served_at:?}");
    };

    check(&["a", "b", "c"], Some(now + SECOND), State::Cut);
    check(&["a", "b"], Some(now + SECOND), State::Sound);
    check(&["a", "a", "a"], Some(now + SECOND), State::Sound);
    check(&["a", "b", "c"], Some(now - SECOND), State::Sound);
    check(&["a", "b", "c"], Some(now), State::Sound);
    check(&["a", "b", "c"], None, State::Sound);
}

#[test]
fn only_responses_on_new_connections_refute_a_cut() {
    let now = Instant::now();
    let check = |is_fresh: bool, expected: State| {
        let mut reach = Reach::default();
        reach.record_failure("pool", "a", now);
        reach.record_failure("pool", "b", now);
        reach.record_response("pool", is_fresh, now);
        reach.record_failure("pool", "c", now);

        reach.update(&others(Some(now + SECOND)), now + SECOND);

        assert_eq!(reach.state("pool"), expected, "{is_fresh}");
    };

    check(true, State::Sound);
    check(false, State::Cut);
}

#[test]
fn old_failures_do_not_count() {
    let now = Instant::now();
    let mut reach = Reach::default();
    for (index, endpoint) in ["a", "b", "c"].iter().enumerate() {
        reach.record_failure("pool", endpoint, now + 3 * SECOND * index as u32);
    }

    reach.update(&others(Some(now + 9 * SECOND)), now + 9 * SECOND);

    assert_eq!(reach.state("pool"), State::Sound);
}

#[test]
fn one_failure_is_enough_for_a_second_service_of_a_daemon_that_is_cut_off() {
    let now = Instant::now();
    let mut reach = cut(now);
    reach.record_failure("other", "x", now);
    let served = now + SECOND;
    let services = BTreeMap::from([("pool", served), ("other", served), ("third", served)]);

    assert_eq!(reach.update(&services, now + SECOND), ["other"]);
    assert_eq!(reach.state("third"), State::Sound);
}

#[test]
fn requests_return_step_by_step_after_probes_and_one_response() {
    let now = Instant::now() + SECOND;
    let mut reach = cut(now);
    assert!(!reach.goes_directly("pool", true, 0, now));

    assert_eq!(reach.due_probes(now + 2 * SECOND), ["pool"]);
    (0..2).for_each(|_| reach.record_probe("pool", true, now));

    assert_eq!(reach.state("pool"), State::Trial);
    assert!(!reach.goes_directly("pool", false, 0, now), "not one that must not be repeated");
    assert!(reach.goes_directly("pool", true, 99, now));
    assert!(!reach.goes_directly("pool", true, 0, now), "one at a time");
    reach.record_response("pool", true, now);
    let mut percents = Vec::new();
    while let State::Returning { percent } = reach.state("pool") {
        percents.push(percent);
        reach.record_probe("pool", true, now);
    }
    assert_eq!(percents, [20, 40, 60, 80]);
    assert_eq!(reach.state("pool"), State::Sound);
}

#[test]
fn failed_trials_are_repeated_more_and_more_slowly() {
    let now = Instant::now();
    let mut reach = cut(now);
    let mut at = now;
    let mut pauses = Vec::new();
    for _ in 0..4 {
        let begun_at = at;
        while reach.due_probes(at).is_empty() {
            at += HALF / 10;
        }
        pauses.push((at - begun_at).as_millis());
        (0..2).for_each(|_| reach.record_probe("pool", true, at));
        assert!(reach.goes_directly("pool", true, 0, at));
        reach.record_failure("pool", "a", at);
        assert_eq!(reach.state("pool"), State::Cut);
    }

    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses.iter().all(|it| *it <= 2_000), "{pauses:?}");
}

#[test]
fn sound_links_are_never_probed() {
    let now = Instant::now();
    let mut reach = Reach::default();
    for second in 0..60 {
        let at = now + SECOND * second;
        reach.record_response("pool", true, at);
        reach.record_failure("pool", "a", at);
        reach.update(&others(Some(at)), at);

        assert!(reach.due_probes(at).is_empty());
    }
}

fn others(served_at: Option<Instant>) -> BTreeMap<&'static str, Instant> {
    served_at.map(|it| ("pool", it)).into_iter().collect()
}

/// Returns the links of a daemon that is cut off from the service `pool`.
fn cut(now: Instant) -> Reach {
    let mut reach = Reach::default();
    ["a", "b", "c"].iter().for_each(|it| reach.record_failure("pool", it, now));
    reach.update(&others(Some(now + SECOND)), now);
    assert_eq!(reach.state("pool"), State::Cut);
    reach
}
