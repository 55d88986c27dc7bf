//! Which interrupted attempts count as crashes.

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::endpoint::Roster;
use balance::interruption;
use balance::interruption::Attempt;
use balance::interruption::End;
use balance::interruption::Reason;
use balance::pool::Pool;

/// Time from the start of a test until the attempt is sent.
const SENT_AFTER: Duration = Duration::from_secs(10);

#[test]
fn an_interruption_counts_unless_its_endpoint_explains_it() {
    let check = |end: End, after_ms: u64, happens: &dyn Fn(&mut Pool, Instant), expected| {
        let started = Instant::now();
        let mut pool = Pool::default();
        let roster = Roster { version: 1, endpoints: vec![endpoint(1)] };
        pool.replace(roster, started, started);
        let attempt =
            Attempt { instance: endpoint(1).instance(), end, sent_at: started + SENT_AFTER };
        let now = attempt.sent_at + Duration::from_millis(after_ms);

        happens(&mut pool, now);

        let reason = interruption::reason_not_to_count(&attempt, pool.member("a"), now);
        assert_eq!(reason, expected, "{end:?} {after_ms}");
    };
    let nothing: &dyn Fn(&mut Pool, Instant) = &|_, _| ();
    let responds: &dyn Fn(&mut Pool, Instant) = &|pool, now| {
        pool.member_mut("a").unwrap().responded_at = Some(now);
    };
    let leaves: &dyn Fn(&mut Pool, Instant) = &|pool, now| {
        let entry = Endpoint { leaving: true, ..endpoint(1) };
        pool.apply(vec![Change::Updated(entry)], 2, now, now);
    };
    let vanishes: &dyn Fn(&mut Pool, Instant) = &|pool, now| {
        pool.apply(vec![Change::Removed { id: "a".into(), version: 2 }], 2, now, now);
        pool.sweep(Duration::from_secs(1), now);
    };
    let restarts: &dyn Fn(&mut Pool, Instant) = &|pool, now| {
        pool.apply(vec![Change::Updated(endpoint(2))], 2, now, now);
        pool.member_mut("a").unwrap().responded_at = Some(now);
    };

    check(End::Broken, 0, nothing, None);
    check(End::Broken, 0, responds, None);
    check(End::Broken, 0, leaves, Some(Reason::EndpointLeaving));
    check(End::Broken, 0, vanishes, None);
    check(End::Broken, 0, restarts, None);
    check(End::GivenUp, 500, nothing, Some(Reason::EndpointResponds));
    check(End::GivenUp, 1_500, nothing, None);
    check(End::GivenUp, 1_500, responds, Some(Reason::EndpointResponds));
    check(End::GivenUp, 1_500, leaves, Some(Reason::EndpointLeaving));
    check(End::GivenUp, 1_500, vanishes, None);
    check(End::GivenUp, 1_500, restarts, None);
}

fn endpoint(started_at_ms: u64) -> Endpoint {
    Endpoint {
        id: "a".into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "z".into(),
        software: "v1".into(),
        slots: 1,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        started_at_ms,
    }
}
