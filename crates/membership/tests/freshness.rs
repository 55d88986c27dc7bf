//! Daemons that are cut off, paused or behind.

use std::time::Duration;

use membership::freshness::Freshness;

const TICK_MS: u64 = 50;
const READ_MS: u64 = 100;

/// Guards against conclusions from a list that others have replaced meanwhile.
#[test]
fn a_list_is_fresh_while_it_is_read_and_the_daemon_runs() {
    let check = |read_age_ms: Option<u64>, pause_ms: u64, since_ms: u64, expected: bool| {
        let mut freshness = Freshness::new(Duration::ZERO);
        let paused_at = ticks(&mut freshness, 0, 1_000);
        let resumed_at = paused_at + pause_ms;
        let now = ticks(&mut freshness, resumed_at, resumed_at + since_ms);

        let read_age = read_age_ms.map(Duration::from_millis);
        let is_fresh = freshness.is_fresh(7, read_age, Duration::from_millis(now));

        assert_eq!(is_fresh, expected, "{read_age_ms:?}, {pause_ms} ms, {since_ms} ms");
    };

    check(Some(READ_MS), 0, 0, true);
    check(Some(1_900), 0, 0, true);
    check(Some(2_000), 0, 0, false);
    check(None, 0, 0, false);
    check(Some(READ_MS), 500, 0, true);
    check(Some(READ_MS), 1_500, 0, false);
    check(Some(READ_MS), 1_500, 500, false);
    check(Some(READ_MS), 1_500, 1_200, true);
}

/// Guards against requests that are handled before the first tick after a pause.
#[test]
fn a_pause_counts_before_the_next_tick() {
    let mut freshness = Freshness::new(Duration::ZERO);
    let paused_at = ticks(&mut freshness, 0, 1_000);
    let check = |pause_ms: u64, expected: bool| {
        let now = Duration::from_millis(paused_at + pause_ms);
        let read_age = Some(Duration::from_millis(READ_MS));

        assert_eq!(freshness.is_fresh(7, read_age, now), expected, "{pause_ms} ms");
    };

    check(900, true);
    check(1_100, false);
}

/// Guards against a daemon that hears of newer lists but doesn't get them.
#[test]
fn a_daemon_that_does_not_get_a_newer_list_is_behind() {
    let mut freshness = Freshness::new(Duration::ZERO);
    freshness.observe_list(8, 7, Duration::ZERO);
    let check = |own: u64, at_ms: u64, expected: bool| {
        let mut freshness = freshness;
        let now = ticks_with(&mut freshness, own, 0, at_ms);
        let read_age = Some(Duration::from_millis(READ_MS));
        let is_fresh = freshness.is_fresh(own, read_age, Duration::from_millis(now));

        assert_eq!(is_fresh, expected, "{own}, {at_ms} ms");
    };

    check(7, 500, true);
    check(7, 1_500, false);
    check(8, 1_500, true);
}

fn ticks(freshness: &mut Freshness, from_ms: u64, until_ms: u64) -> u64 {
    ticks_with(freshness, 7, from_ms, until_ms)
}

/// Lets a daemon run that has the list of this version. Returns the time of the last tick.
fn ticks_with(freshness: &mut Freshness, version: u64, from_ms: u64, until_ms: u64) -> u64 {
    let mut at_ms = from_ms;
    loop {
        freshness.tick(version, Duration::from_millis(at_ms));
        if at_ms + TICK_MS > until_ms {
            return at_ms;
        }
        at_ms += TICK_MS;
    }
}
