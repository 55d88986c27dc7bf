//! What a daemon makes of endpoints' descriptions.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::load::Load;
use balance::pool::Effect;
use balance::pool::LAPSE_GRACE;
use balance::pool::Pool;

const SILENCE: Duration = Duration::from_secs(1);

#[test]
fn an_endpoint_that_is_leaving_stays_so_for_its_life() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);

    pool.apply(vec![Change::Is(leaving(endpoint("a", 1)))], 2, false, now);
    pool.apply(vec![Change::Is(endpoint("a", 1))], 3, false, now);
    assert!(!is_usable(&pool, "a", now));

    let effects = pool.apply(vec![Change::Is(endpoint("a", 2))], 4, false, now);
    assert_eq!(effects, [("a".to_owned(), Effect::Joined)]);
    assert!(is_usable(&pool, "a", now));
}

#[test]
fn an_older_life_changes_nothing() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 5)]);

    let effects = pool.apply(vec![Change::Is(leaving(endpoint("a", 4)))], 2, false, now);

    assert_eq!(effects, []);
    assert!(is_usable(&pool, "a", now));
}

#[test]
fn a_removed_entry_ends_use_at_once_unless_the_store_was_away() {
    let check = |was_away: bool, after: Duration, expected: bool| {
        let now = Instant::now();
        let mut pool = pool(&[endpoint("a", 1)]);

        pool.apply(vec![gone("a", 2)], 2, was_away, now);

        assert_eq!(is_usable(&pool, "a", now + after), expected, "{was_away} {after:?}");
    };

    check(false, Duration::ZERO, false);
    check(true, Duration::ZERO, true);
    check(true, LAPSE_GRACE, false);
}

#[test]
fn a_lapsed_entry_that_is_not_written_again_is_told_as_gone() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1), endpoint("b", 1)]);
    pool.apply(vec![gone("a", 2)], 2, true, now);
    pool.apply(vec![gone("b", 2)], 2, true, now);
    pool.apply(vec![Change::Is(at(endpoint("b", 1), 3))], 3, true, now);

    let effects = pool.sweep(SILENCE, now + LAPSE_GRACE);

    assert_eq!(effects, [("a".to_owned(), Effect::Left)]);
    assert!(is_usable(&pool, "b", now + LAPSE_GRACE));
}

/// Daemons that took a list from each other with a stamp of their own pulled
/// lists without end.
#[test]
fn a_list_keeps_its_stamp_from_daemon_to_daemon() {
    let now = Instant::now();
    let mut reader = pool(&[endpoint("a", 1)]);
    reader.apply(vec![Change::Is(endpoint("b", 1))], 9, false, now);
    // Read the store itself before, and saw newer heartbeats.
    let mut second = pool(&[endpoint("a", 1)]);
    second.apply(vec![Change::Is(endpoint("a", 1))], 50, false, now);
    let mut third = Pool::default();

    second.replace(reader.roster(), false, now);
    third.replace(second.roster(), false, now);

    assert_eq!([second.stamp, third.stamp], [reader.stamp; 2]);
    assert_eq!(third.roster(), reader.roster());
}

#[test]
fn heartbeats_do_not_change_the_stamp() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    let before = pool.stamp;

    pool.apply(vec![Change::Is(endpoint("a", 1))], 50, false, now);

    assert_eq!(pool.stamp, before);
    assert_eq!(pool.version, 50);
}

fn pool(endpoints: &[Endpoint]) -> Pool {
    let mut pool = Pool::default();
    let changes = endpoints.iter().cloned().map(Change::Is).collect();
    pool.apply(changes, 1, false, Instant::now());
    pool
}

fn is_usable(pool: &Pool, id: &str, now: Instant) -> bool {
    pool.member(id).is_some_and(|it| it.is_usable(now))
}

/// A daemon that came back from a cut took a removal for a lapse, and its list
/// brought the endpoint back on all others.
#[test]
fn a_list_that_is_older_than_a_removal_brings_nothing_back() {
    let now = Instant::now();
    let mut returned = pool(&[endpoint("a", 1)]);
    returned.apply(vec![gone("a", 5), Change::Is(at(endpoint("b", 1), 6))], 6, true, now);
    let mut other = pool(&[endpoint("a", 1)]);
    other.apply(vec![gone("a", 5)], 5, false, now);

    other.replace(returned.roster(), false, now);
    assert!(!is_usable(&other, "a", now));
    assert!(is_usable(&other, "b", now));

    returned.replace(other.roster(), false, now);
    assert!(!is_usable(&returned, "a", now));

    other.apply(vec![Change::Is(at(endpoint("a", 1), 9))], 9, false, now);
    assert!(is_usable(&other, "a", now), "it was written again");
}

#[test]
fn the_load_of_an_endpoint_is_that_of_all_daemons() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    let load = |open| Load { open, unread: 10 * open, held: 100 * open };
    let loads = |open| HashMap::from([("a".to_owned(), load(open))]);
    let check = |pool: &Pool, open: u32| assert_eq!(pool.load("a"), load(open));
    pool.member_mut("a").unwrap().own = load(1);

    pool.hear_loads("x", loads(2), now);
    pool.hear_loads("y", loads(4), now);
    check(&pool, 7);

    pool.hear_loads("x", loads(1), now);
    check(&pool, 6);

    pool.hear_loads("x", HashMap::new(), now);
    pool.forget_daemon("y");
    check(&pool, 1);
}

/// Work of daemons that were killed kept requests away from its endpoints for
/// half a minute.
#[test]
fn the_work_of_a_silent_daemon_is_forgotten() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    let load = Load { open: 3, unread: 9_000, held: 9_000 };
    pool.hear_loads("x", HashMap::from([("a".to_owned(), load)]), now);

    pool.sweep(SILENCE, now + Duration::from_millis(500));
    assert_eq!(pool.load("a"), load);

    pool.sweep(SILENCE, now + Duration::from_millis(1_500));
    assert_eq!(pool.load("a"), Load::default());
}

fn gone(id: &str, version: u64) -> Change {
    Change::Gone { id: id.to_owned(), version }
}

fn at(endpoint: Endpoint, version: u64) -> Endpoint {
    Endpoint { version, ..endpoint }
}

fn leaving(endpoint: Endpoint) -> Endpoint {
    Endpoint { leaving: true, ..endpoint }
}

fn endpoint(id: &str, born_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 4,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        born_ms,
    }
}
