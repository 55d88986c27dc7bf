//! Number of daemons that may be running, from the store's rows and from digests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::digest::Digest;
use membership::digest::Peers;
use membership::digest::RETENTION;
use membership::digest::Running;

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn daemons_known_from_rows_count_before_they_are_heard() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.discover("a#1", address(1), now);
    peers.discover("b#1", address(2), now);

    let running = peers.running(&[address(2), address(3)], WINDOW, now);

    assert_eq!(running, Running { daemons: 3, recent: 3 });
}

#[test]
fn daemons_that_have_run_for_the_window_are_not_recent() {
    let check = |age: Duration, since_heard: Duration, recent: usize| {
        let now = Instant::now();
        let mut peers = Peers::default();
        peers.merge_remote(digest("a#1", 1, age), now);

        let running = peers.running(&[], WINDOW, now + since_heard);

        assert_eq!(running, Running { daemons: 1, recent }, "{age:?} {since_heard:?}");
    };

    check(WINDOW, Duration::ZERO, 0);
    check(WINDOW - Duration::from_secs(1), Duration::ZERO, 1);
    check(WINDOW - Duration::from_secs(1), Duration::from_secs(1), 0);
    check(Duration::from_millis(u64::MAX), Duration::from_secs(1), 0);
    // Not heard for a while: it may have restarted.
    check(WINDOW * 2, Duration::from_secs(5), 1);
}

#[test]
fn a_daemon_that_replaced_another_at_its_address_counts_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.merge_remote(digest("a#1", 1, WINDOW), now);

    peers.discover("a#2", address(1), now + Duration::from_millis(500));
    let running = peers.running(&[], WINDOW, now + Duration::from_millis(600));

    assert_eq!(running, Running { daemons: 1, recent: 1 });
}

/// Guards against shares that shrink with each daemon that was ever replaced.
#[test]
fn rows_of_daemons_that_are_gone_count_only_for_a_while() {
    let start = Instant::now();
    let mut peers = Peers::default();
    let row_interval = Duration::from_secs(12);

    let counts: Vec<usize> = (0..20)
        .map(|round| {
            let now = start + row_interval * round;
            peers.remove_expired(now);
            peers.discover("gone#1", address(1), now);
            peers.running(&[], WINDOW, now).daemons
        })
        .collect();

    assert_eq!(counts[..3], [1, 1, 1]);
    assert!(counts[3..].iter().all(|it| *it == 0), "{counts:?}");
}

#[test]
fn a_daemon_that_was_cut_off_counts_until_it_is_removed_and_when_it_is_heard_again() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.merge_remote(digest("a#1", 1, WINDOW), start);
    let removed_at = start + RETENTION;

    let before = peers.running(&[], WINDOW, removed_at - Duration::from_millis(1));
    peers.remove_expired(removed_at);
    peers.discover("a#1", address(1), removed_at);
    let after = peers.running(&[], WINDOW, removed_at);
    peers.merge_remote(digest("a#1", 2, WINDOW), removed_at);
    let heard = peers.running(&[], WINDOW, removed_at);

    assert_eq!(before, Running { daemons: 1, recent: 1 });
    assert_eq!(after, Running { daemons: 0, recent: 0 });
    assert_eq!(heard, Running { daemons: 1, recent: 0 });
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8229))
}

/// Returns the digest of an instance whose name begins with its address's number as a
/// letter.
#[test]
fn a_daemon_is_expected_while_it_may_not_have_been_heard_yet() {
    let check = |is_heard: bool, after: Duration, expected: bool| {
        let now = Instant::now();
        let mut peers = Peers::default();
        peers.discover("a", "127.0.0.1:1".parse().unwrap(), now);
        if is_heard {
            peers.merge_remote(digest("a", 1, Duration::ZERO), now);
        }

        let is_expected = peers.expected(now + after).any(|(id, _)| id == "a");

        assert_eq!(is_expected, expected, "{is_heard} {after:?}");
    };
    let timeout = Peers::default().liveness_timeout();

    check(false, timeout / 2, true);
    check(false, timeout, false);
    check(true, timeout / 2, true);
    check(true, timeout, false);
}

fn digest(instance_id: &str, sequence: u64, age: Duration) -> Digest {
    let number = instance_id.as_bytes()[0] - b'a' + 1;
    Digest {
        instance_id: instance_id.to_owned(),
        address: address(number),
        sequence,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        now_ms: 0,
        config_version: 0,
        roster_version: 0,
        era: 0,
        era_age_ms: None,
        read_age_ms: None,
        uninterrupted_reads_ms: None,
        holder: None,
        stopping: false,
        loads: Vec::new(),
        quotas: Vec::new(),
        usage_report: None,
        suspects: Vec::new(),
        leaving: Vec::new(),
        removals: Vec::new(),
        responses: Vec::new(),
        unreached: Vec::new(),
        limits: Vec::new(),
        brittle: Vec::new(),
    }
}
