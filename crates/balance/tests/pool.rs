//! Maintenance of the endpoint list from descriptions, rosters and load reports.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::endpoint::Roster;
use balance::load::Load;
use balance::pool::Effect;
use balance::pool::Pool;
use balance::settling::EXPIRY_GRACE;
use balance::settling::Settling;
use store::position;

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// The users' bound on requests that reach an endpoint after it left.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

#[test]
fn a_leaving_endpoint_stays_leaving_until_its_next_instance() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);

    pool.apply(vec![Change::Updated(leaving(endpoint("a", 1)))], 2, now, now);
    pool.apply(vec![Change::Updated(endpoint("a", 1))], 3, now, now);
    assert!(!is_usable(&pool, "a", now));

    let effects = pool.apply(vec![Change::Updated(endpoint("a", 2))], 4, now, now);
    assert_eq!(effects, [("a".to_owned(), Effect::Joined)]);
    assert!(is_usable(&pool, "a", now));
}

#[test]
fn an_older_instance_has_no_effect() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 5)]);

    let effects = pool.apply(vec![Change::Updated(leaving(endpoint("a", 4)))], 2, now, now);

    assert_eq!(effects, []);
    assert!(is_usable(&pool, "a", now));
}

#[test]
fn a_removed_endpoint_is_unusable_at_once_unless_the_store_was_unreachable() {
    let check = |was_unreachable: bool, after: Duration, expected: bool| {
        let now = Instant::now();
        let mut pool = pool(&[endpoint("a", 1)]);

        let settles_at = if was_unreachable { now + EXPIRY_GRACE } else { now };
        pool.apply(vec![removed("a", 2)], 2, settles_at, now);

        assert_eq!(is_usable(&pool, "a", now + after), expected, "{was_unreachable} {after:?}");
    };

    check(false, Duration::ZERO, false);
    check(true, Duration::ZERO, true);
    check(true, EXPIRY_GRACE, false);
}

#[test]
fn an_expired_entry_that_is_not_written_again_is_reported_as_left() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1), endpoint("b", 1)]);
    pool.apply(vec![removed("a", 2)], 2, now + EXPIRY_GRACE, now);
    pool.apply(vec![removed("b", 2)], 2, now + EXPIRY_GRACE, now);
    pool.apply(
        vec![Change::Updated(with_version(endpoint("b", 1), 3))],
        3,
        now + EXPIRY_GRACE,
        now,
    );

    let effects = pool.sweep(REPORT_TIMEOUT, now + EXPIRY_GRACE);

    assert_eq!(effects, [("a".to_owned(), Effect::Left)]);
    assert!(is_usable(&pool, "b", now + EXPIRY_GRACE));
}

/// Guards against daemons that assign a version of their own to a list received
/// from another daemon: they pulled lists from each other forever.
#[test]
fn a_roster_keeps_its_version_from_daemon_to_daemon() {
    let now = Instant::now();
    let mut reader = pool(&[endpoint("a", 1)]);
    reader.apply(vec![Change::Updated(endpoint("b", 1))], 9, now, now);
    // This daemon has read the store itself, including later heartbeats.
    let mut second = pool(&[endpoint("a", 1)]);
    second.apply(vec![Change::Updated(endpoint("a", 1))], 50, now, now);
    let mut third = Pool::default();

    second.replace(reader.roster(), now, now);
    third.replace(second.roster(), now, now);

    assert_eq!([second.roster_version, third.roster_version], [reader.roster_version; 2]);
    assert_eq!(third.roster(), reader.roster());
}

#[test]
fn heartbeats_do_not_change_the_roster_version() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    let before = pool.roster_version;

    pool.apply(vec![Change::Updated(endpoint("a", 1))], 50, now, now);

    assert_eq!(pool.roster_version, before);
    assert_eq!(pool.store_version, 50);
}

/// Guards against requests to the former instance at an address, which the present one
/// rejects.
#[test]
fn an_endpoint_whose_address_another_has_taken_is_unusable() {
    let check = |versions: [u64; 2], expected: [bool; 2]| {
        let now = Instant::now();
        let mut pool = Pool::default();
        let change = |id, version| Change::Updated(with_version(endpoint(id, 1), version));

        pool.apply(vec![change("a", versions[0])], versions[0], now, now);
        let effects = pool.apply(vec![change("b", versions[1])], versions[1], now, now);

        let are_usable = [is_usable(&pool, "a", now), is_usable(&pool, "b", now)];
        assert_eq!(are_usable, expected, "{versions:?}");
        let is_reported = effects.contains(&("a".to_owned(), Effect::Superseded));
        assert_eq!(is_reported, !expected[0], "{versions:?}");
    };

    check([1, 2], [false, true]);
    check([2, 1], [true, false]);
    check([1, 1], [true, true]);
}

#[test]
fn an_endpoint_that_has_an_address_for_itself_again_is_usable() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    pool.apply(vec![Change::Updated(with_version(endpoint("b", 1), 2))], 2, now, now);

    let is_usable_before = is_usable(&pool, "a", now);
    pool.apply(vec![Change::Updated(with_version(endpoint("a", 1), 3))], 3, now, now);

    assert!(!is_usable_before);
    assert!(is_usable(&pool, "a", now), "it has written its entry again");
    assert!(!is_usable(&pool, "b", now));
}

fn pool(endpoints: &[Endpoint]) -> Pool {
    let mut pool = Pool::default();
    let changes = endpoints.iter().cloned().map(Change::Updated).collect();
    let now = Instant::now();
    pool.apply(changes, 1, now, now);
    pool
}

fn is_usable(pool: &Pool, id: &str, now: Instant) -> bool {
    pool.member(id).is_some_and(|it| it.is_usable(now))
}

/// Guards against a daemon that returns from a network partition and treats a
/// removal as an expiry: its list restored the endpoint on all other daemons.
#[test]
fn a_roster_older_than_a_removal_does_not_restore_the_endpoint() {
    let now = Instant::now();
    let mut returned = pool(&[endpoint("a", 1)]);
    returned.apply(
        vec![removed("a", 5), Change::Updated(with_version(endpoint("b", 1), 6))],
        6,
        now + EXPIRY_GRACE,
        now,
    );
    let mut other = pool(&[endpoint("a", 1)]);
    other.apply(vec![removed("a", 5)], 5, now, now);

    other.replace(returned.roster(), now, now);
    assert!(!is_usable(&other, "a", now));
    assert!(is_usable(&other, "b", now));

    returned.replace(other.roster(), now, now);
    assert!(!is_usable(&returned, "a", now));

    other.apply(vec![Change::Updated(with_version(endpoint("a", 1), 9))], 9, now, now);
    assert!(is_usable(&other, "a", now), "the entry was written again");
}

#[test]
fn the_load_of_an_endpoint_is_the_sum_over_all_daemons() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    let load =
        |open| Load { open_requests: open, prefill_tokens: 10 * open, held_tokens: 100 * open };
    let loads = |open| HashMap::from([("a".to_owned(), load(open))]);
    let check = |pool: &Pool, open: u32| assert_eq!(pool.load("a"), load(open));
    pool.member_mut("a").unwrap().own_load = load(1);

    pool.set_remote_loads("x", loads(2), now);
    pool.set_remote_loads("y", loads(4), now);
    check(&pool, 7);

    pool.set_remote_loads("x", loads(1), now);
    check(&pool, 6);

    pool.set_remote_loads("x", HashMap::new(), now);
    pool.remove_remote_loads("y");
    check(&pool, 1);
}

/// Guards against keeping the load reports of killed daemons: they kept requests
/// away from the endpoints for half a minute.
#[test]
fn the_load_report_of_a_silent_daemon_expires() {
    let now = Instant::now();
    let mut pool = pool(&[endpoint("a", 1)]);
    let load = Load { open_requests: 3, prefill_tokens: 9_000, held_tokens: 9_000 };
    pool.set_remote_loads("x", HashMap::from([("a".to_owned(), load)]), now);

    pool.sweep(REPORT_TIMEOUT, now + Duration::from_millis(500));
    assert_eq!(pool.load("a"), load);

    pool.sweep(REPORT_TIMEOUT, now + Duration::from_millis(1_500));
    assert_eq!(pool.load("a"), Load::default());
}

#[test]
fn entries_are_followed_after_the_store_returned_from_a_copy() {
    let now = Instant::now();
    let mut pool = Pool::default();
    let before = endpoint("a", 1);
    pool.replace(
        roster(1, 900, vec![with_version(before.clone(), position::join(1, 900))]),
        now,
        now,
    );

    let restored = with_version(leaving(before), position::join(2, 850));
    let effects = pool.replace(roster(2, 860, vec![restored]), now, now);

    assert_eq!(effects, [("a".to_owned(), Effect::Left)]);
    assert_eq!(pool.roster_version, position::join(2, 860));
}

#[test]
fn a_removed_endpoint_that_a_copy_contains_stays_removed_until_it_writes_again() {
    let now = Instant::now();
    let mut pool = Pool::default();
    let gone =
        |era: u64, version: u64| with_version(endpoint("a", 5), position::join(era, version));
    pool.replace(roster(1, 900, vec![gone(1, 890)]), now, now);
    pool.apply(vec![removed("a", position::join(1, 910))], position::join(1, 910), now, now);

    pool.replace(roster(2, 895, vec![gone(2, 890)]), now, now);
    let is_usable_in_copy = is_usable(&pool, "a", now);
    pool.replace(roster(3, 893, vec![gone(3, 890)]), now, now);
    let is_usable_in_next_copy = is_usable(&pool, "a", now);
    pool.apply(vec![Change::Updated(gone(3, 900))], position::join(3, 900), now, now);

    assert!(!is_usable_in_copy);
    assert!(!is_usable_in_next_copy);
    assert!(is_usable(&pool, "a", now), "it has written its entry again");
}

#[test]
fn a_daemon_that_reads_a_copy_learns_from_others_which_endpoints_had_left() {
    let check = |was_leaving: bool, later: Endpoint, expected: bool| {
        let now = Instant::now();
        let entry =
            |era: u64, version: u64| with_version(endpoint("a", 5), position::join(era, version));
        let gone = if was_leaving { leaving(entry(1, 905)) } else { entry(1, 905) };
        let mut witness = Pool::default();
        witness.replace(roster(1, 905, vec![gone]), now, now);
        witness.apply(vec![removed("a", position::join(1, 910))], position::join(1, 910), now, now);
        witness.replace(roster(2, 895, vec![entry(2, 890)]), now, now);
        let mut started = Pool::default();
        started.replace(roster(2, 895, vec![entry(2, 890)]), now, now);

        for notice in witness.removal_notices(1) {
            started.merge_removal(&notice, now);
        }
        let is_usable_in_copy = is_usable(&started, "a", now);
        let version = later.version;
        started.apply(vec![Change::Updated(later)], version, now, now);
        for notice in witness.removal_notices(1) {
            started.merge_removal(&notice, now);
        }

        assert!(!is_usable_in_copy);
        assert_eq!(is_usable(&started, "a", now), expected, "{was_leaving}");
    };

    let written_again =
        |started_at_ms: u64| with_version(endpoint("a", started_at_ms), position::join(2, 897));
    check(false, written_again(5), true);
    check(true, written_again(5), false);
    check(true, written_again(6), true);
}

#[test]
fn a_new_instance_is_used_at_once_although_a_copy_contains_the_removed_one() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.replace(roster(1, 900, vec![with_version(endpoint("a", 5), 890)]), now, now);
    pool.apply(vec![removed("a", position::join(1, 910))], position::join(1, 910), now, now);

    let reborn = with_version(endpoint("a", 6), position::join(2, 880));
    pool.replace(roster(2, 895, vec![reborn]), now, now);

    assert!(is_usable(&pool, "a", now));
}

#[test]
fn an_endpoint_that_a_copy_lacks_is_used_while_it_writes_its_entry_again() {
    let now = Instant::now();
    let mut pool = Pool::default();
    let joined = with_version(endpoint("a", 5), position::join(1, 890));
    pool.replace(roster(1, 900, vec![joined]), now, now);

    pool.replace(roster(2, 880, Vec::new()), settled_after_return(now), now);

    assert!(is_usable(&pool, "a", now + EXPIRY_GRACE / 2));
    pool.sweep(REPORT_TIMEOUT, now + EXPIRY_GRACE);
    assert!(!is_usable(&pool, "a", now + EXPIRY_GRACE));
}

#[test]
fn a_removal_after_a_return_reaches_a_chain_of_daemons_within_the_bound() {
    let start = Instant::now();
    let entry = |era, version| with_version(endpoint("a", 5), position::join(era, version));
    let settles_at = settled_after_return(start);
    let mut pools = vec![Pool::default(); 4];
    for pool in &mut pools {
        pool.replace(roster(1, 900, vec![entry(1, 890)]), start, start);
        pool.replace(roster(2, 895, vec![entry(2, 890)]), settles_at, start);
    }
    let removed_at = start + Duration::from_millis(100);
    let read_at = start + Duration::from_millis(500);
    let removal = position::join(2, 896);

    let mut used_until = [start; 4];
    for step in 0..80 {
        let now = start + Duration::from_millis(100) * step;
        if now == read_at {
            pools[0].apply(vec![removed("a", removal)], removal, settles_at, now);
        }
        for index in 0..pools.len() {
            pools[index].sweep(REPORT_TIMEOUT, now);
            if index > 0 && pools[index - 1].roster_version > pools[index].roster_version {
                let roster = pools[index - 1].roster();
                pools[index].replace(roster, settles_at, now);
            }
            if is_usable(&pools[index], "a", now) {
                used_until[index] = now;
            }
        }
    }

    let used = used_until.map(|it| it.saturating_duration_since(removed_at));
    assert!(used.iter().all(|it| *it < DRAIN_BOUND), "{used:?}");
}

/// Returns the time until which entries may be missing after a return of the store.
fn settled_after_return(at: Instant) -> Instant {
    let mut settling = Settling::default();
    settling.observe(1, at);
    settling.observe(2, at);
    settling.ends_at(Some(at), at)
}

fn roster(era: u64, version: u64, endpoints: Vec<Endpoint>) -> Roster {
    Roster { version: position::join(era, version), endpoints }
}

fn removed(id: &str, version: u64) -> Change {
    Change::Removed { id: id.to_owned(), version }
}

fn with_version(endpoint: Endpoint, version: u64) -> Endpoint {
    Endpoint { version, ..endpoint }
}

fn leaving(endpoint: Endpoint) -> Endpoint {
    Endpoint { leaving: true, ..endpoint }
}

fn endpoint(id: &str, started_at_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        software: "v1".to_owned(),
        slots: 4,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        started_at_ms,
    }
}
