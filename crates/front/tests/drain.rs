//! Decisions of a stopping daemon.

use std::time::Duration;
use std::time::Instant;

use front::drain::Cause;
use front::drain::Drain;
use front::drain::Remaining;
use front::drain::Step;
use front::durations::Durations;
use relay::server::Phase;

const GRACE: Duration = Duration::from_secs(8);

#[test]
fn a_daemon_without_exchanges_exits_once_the_balancer_has_removed_it() {
    let steps = run(GRACE, |_| 0);

    assert_eq!(phase_at(&steps, 2_250), Phase::Closing);
    assert_eq!(phase_at(&steps, 2_300), Phase::Closed);
    assert_eq!(phase_at(&steps, 2_350), Phase::Ending);
    assert_eq!(steps.last(), Some(&(2_400, Step::Exit(Cause::Drained))));
}

#[test]
fn a_daemon_waits_for_exchanges_within_the_grace_period() {
    let check = |open_until: u64, exit_at: u64, cause: Cause| {
        let steps = run(GRACE, |at| usize::from(at < open_until));

        assert_eq!(steps.last(), Some(&(exit_at, Step::Exit(cause))), "{open_until}");
    };

    check(1_000, 2_400, Cause::Drained);
    check(5_000, 5_050, Cause::Drained);
    check(7_200, 7_200, Cause::Drained);
    check(60_000, 7_600, Cause::GraceOver);
}

#[test]
fn an_exchange_that_begins_while_the_daemon_ends_is_waited_for() {
    let steps = run(GRACE, |at| usize::from((2_360..3_000).contains(&at)));

    assert_eq!(phase_at(&steps, 2_350), Phase::Ending);
    assert_eq!(steps.last(), Some(&(3_000, Step::Exit(Cause::Drained))));
}

#[test]
fn a_short_grace_period_ends_before_sigkill() {
    let check = |grace_ms: u64, exit_at: u64| {
        let steps = run(Duration::from_millis(grace_ms), |_| 1);

        assert_eq!(steps.last(), Some(&(exit_at, Step::Exit(Cause::GraceOver))), "{grace_ms}");
    };

    check(2_000, 1_600);
    check(300, 0);
}

#[test]
fn only_requests_that_end_before_the_exit_are_admitted() {
    let start = Instant::now();
    let drain = Drain::new(start);
    let check = |at_ms: u64, limit_ms: u64, expected_ms: Option<u64>, is_admitted: bool| {
        let expected = expected_ms.map(Duration::from_millis);
        let remaining = Remaining { limit: Duration::from_millis(limit_ms), expected };

        let admits = drain.admits(remaining, GRACE, start + Duration::from_millis(at_ms));

        assert_eq!(admits, is_admitted, "{at_ms} ms: {remaining:?}");
    };

    check(0, 7_400, None, true);
    check(0, 7_401, None, false);
    check(0, 30_000, Some(3_000), true);
    check(4_000, 3_400, None, true);
    check(4_000, 8_000, None, false);
    check(2_250, 8_000, Some(5_150), true);
    check(2_250, 8_000, Some(5_151), false);
    check(2_300, 8_000, Some(100), false);
    check(4_000, 8_000, Some(100), false);
    check(4_000, 1_000, Some(5_000), true);
    check(7_500, 8_000, Some(1), false);
}

#[test]
fn a_route_exceeds_the_upper_estimate_of_its_durations_rarely() {
    let mut durations = Durations::default();
    assert_eq!(durations.upper("r"), None);
    let took = |at: u64| Duration::from_millis(1_000 + at * 7_919 % 1_000);

    (0..100).for_each(|at| durations.record("r", took(at)));

    let upper = durations.upper("r").unwrap();
    let exceeding = (0..1_000).filter(|at| took(*at) > upper).count();
    assert!(exceeding <= 10, "{exceeding} of 1000 above {upper:?}");
    assert!(upper < Duration::from_secs(4), "{upper:?}");
    durations.retain(|_| false);
    assert_eq!(durations.upper("r"), None);
}

/// Returns the steps of a daemon that checks every 50 ms, by milliseconds since SIGTERM.
fn run(grace: Duration, open: impl Fn(u64) -> usize) -> Vec<(u64, Step)> {
    let start = Instant::now();
    let mut drain = Drain::new(start);
    let mut steps = Vec::new();
    for at in (0..10_000).step_by(50) {
        let step = drain.step(open(at), grace, start + Duration::from_millis(at));
        steps.push((at, step));
        if matches!(step, Step::Exit(_)) {
            break;
        }
    }
    steps
}

fn phase_at(steps: &[(u64, Step)], at_ms: u64) -> Phase {
    let step = steps.iter().find(|(at, _)| *at == at_ms).map(|(_, step)| *step);
    match step {
        Some(Step::Continue(phase)) => phase,
        other => panic!("{other:?} at {at_ms}"),
    }
}
