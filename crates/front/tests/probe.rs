//! Tests of the bound on connections to the readiness probe.

use std::time::Duration;

use front::probe::Use;
use front::probe::surplus;
use tokio::time::Instant;

/// Number of connections at which a further one closes another.
const BOUND: usize = 64;

#[test]
fn the_connection_without_an_answered_request_for_the_longest_time_is_closed() {
    let start = Instant::now();
    let at = |seconds: usize| start + Duration::from_secs(seconds as u64);
    let check = |count: usize, answered: &[(usize, usize)], closed: Option<usize>| {
        let mut uses: Vec<Use> =
            (0..count).map(|it| Use { opened_at: at(it), answered_at: None }).collect();
        for (connection, seconds) in answered {
            uses[*connection].answered_at = Some(at(*seconds));
        }

        assert_eq!(surplus(&uses), closed, "{count}, {answered:?}");
    };
    let all: Vec<(usize, usize)> = (0..BOUND).map(|it| (it, 200 - it)).collect();

    check(BOUND - 1, &[], None);
    check(BOUND, &[], Some(0));
    // The balancer's connection is the first one.
    check(BOUND, &[(0, 1)], Some(1));
    check(BOUND, &[(0, 1), (1, 2)], Some(2));
    check(BOUND, &all, Some(BOUND - 1));
    // New connections keep their share beside answered ones.
    check(BOUND, &all[..32], Some(32));
    check(BOUND, &all[..33], Some(32));
    check(BOUND, &all[..40], Some(39));
}
