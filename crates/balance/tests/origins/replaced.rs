//! Which instance an endpoint's entry has replaced, also after the entry was removed.

use std::time::Instant;

use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::endpoint::Roster;
use balance::pool::Effect;
use balance::pool::Pool;

use crate::SECOND;
use crate::world;

/// What happens to the former entry before the next one is read.
#[derive(Clone, Copy, Debug)]
enum Former {
    Kept,
    Removed,
    /// Removed in an outage of the store, so that it is used for some more time.
    Lapsed,
    /// Removed while a request of this daemon is open there.
    RemovedInUse,
}

#[test]
fn the_former_instance_is_known_when_an_endpoint_comes_back_under_its_id() {
    let check = |former: Former, before: (&str, u64), next: (&str, u64), is_replaced: bool| {
        let now = Instant::now();
        let mut pool = pool(before);
        let instance = pool.member("e1").unwrap().instance;

        remove(&mut pool, former, now);
        pool.apply(vec![Change::Updated(endpoint(next, 3))], 3, now, now);

        let expected = is_replaced.then(|| (instance, before.0.to_owned()));
        let member = pool.member("e1").unwrap();
        assert_eq!(member.replaced, expected, "{former:?}, {before:?}, {next:?}");
        assert_eq!(member.endpoint.software, next.0);
    };

    for former in [Former::Kept, Former::Removed, Former::Lapsed, Former::RemovedInUse] {
        check(former, ("v1", 1), ("v2", 2), true);
        check(former, ("v1", 1), ("v1", 2), true);
        check(former, ("v1", 1), ("v1", 1), false);
        check(former, ("", 1), ("v1", 1), false);
        check(former, ("", 1), ("v2", 2), true);
        // Without a start, only the version tells them apart.
        check(former, ("v1", 0), ("v2", 0), true);
        check(former, ("v1", 0), ("v1", 0), false);
    }
}

#[test]
fn an_endpoint_that_joins_has_replaced_nothing() {
    let now = Instant::now();
    let mut pool = pool(("v1", 1));
    let other = Endpoint { id: "e2".into(), ..world::endpoint("e2", "v2", 2) };

    let effects = pool.apply(vec![Change::Updated(other)], 2, now, now);

    assert_eq!(effects, [("e2".to_owned(), Effect::Joined)]);
    assert_eq!(pool.member("e2").unwrap().replaced, None);
}

fn pool(software: (&str, u64)) -> Pool {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.replace(Roster { version: 1, endpoints: vec![endpoint(software, 1)] }, now, now);
    pool
}

fn remove(pool: &mut Pool, former: Former, now: Instant) {
    let settles_at = match former {
        Former::Kept => return,
        Former::Removed | Former::RemovedInUse => now,
        Former::Lapsed => now + SECOND,
    };
    if matches!(former, Former::RemovedInUse) {
        pool.member_mut("e1").unwrap().own_load.open_requests = 1;
    }
    let removed = Change::Removed { id: "e1".into(), version: 2 };
    pool.apply(vec![removed], 2, settles_at, now);
    pool.sweep(SECOND, now);
    assert_eq!(pool.member("e1").is_none(), matches!(former, Former::Removed));
}

fn endpoint((software, started_at_ms): (&str, u64), version: u64) -> Endpoint {
    Endpoint { version, started_at_ms, ..world::endpoint("e1", software, started_at_ms) }
}
