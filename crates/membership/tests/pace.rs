//! The number of gossip rounds, and how soon a change is sent.

use std::time::Duration;
use std::time::Instant;

use membership::pace::Pace;

/// Interval at which daemons look whether a round is due.
const TICK: Duration = Duration::from_millis(50);
/// Duration of the tests.
const DURATION: Duration = Duration::from_secs(10);

/// Guards against a round at each tick of all daemons while many endpoints crash.
#[test]
fn the_number_of_rounds_is_bounded_while_changes_are_urgent() {
    let check = |peers: usize, is_urgent: bool, max_per_s: usize| {
        let rounds = rounds(peers, |_| is_urgent).len();

        assert!(rounds <= max_per_s * DURATION.as_secs() as usize, "{peers} {is_urgent}: {rounds}");
    };

    check(6, false, 10);
    check(6, true, 20);
    check(62, false, 4);
    check(62, true, 8);
    check(419, true, 8);
}

#[test]
fn a_single_urgent_change_is_sent_soon() {
    let check = |peers: usize, max_delay: Duration| {
        for change in (0..40).map(|it| DURATION / 2 + it * TICK / 2) {
            let rounds = rounds(peers, |it| it >= change && it < change + DURATION / 10);

            let sent_at = rounds.into_iter().find(|it| *it >= change).unwrap();
            assert!(sent_at - change <= max_delay, "{peers}: {:?}", sent_at - change);
        }
    };

    check(6, TICK);
    check(62, TICK * 3);
}

/// Returns the times of the rounds.
fn rounds(peers: usize, is_urgent: impl Fn(Duration) -> bool) -> Vec<Duration> {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    let mut rounds = Vec::new();
    for tick in 1..=(DURATION.as_millis() / TICK.as_millis()) as u32 {
        let now = start + TICK * tick;
        if pace.is_due(peers, is_urgent(now - start), now) {
            pace.record(now);
            rounds.push(now - start);
        }
    }
    rounds
}
