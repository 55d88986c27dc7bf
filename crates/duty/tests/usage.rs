//! Usage windows over daemons, and true time.

use std::time::Duration;

use duty::clock::Clock;
use duty::usage::Usage;

const LENGTH_MS: i64 = 5_000;

#[test]
fn a_window_is_due_when_all_live_daemons_have_told_it() {
    let mut leader = usage();
    let mut other = usage();
    leader.count("acme", 10_100);
    other.count("acme", 14_900);
    other.count("beta", 15_100);
    let live = vec!["other".to_owned()];

    assert_eq!(leader.due(&live, 15_300), None);
    leader.hear("other", &other.told(15_300), other.settled(15_300));
    let (window, counts) = leader.due(&live, 15_300).expect("told");

    assert_eq!(window, 2);
    assert_eq!(counts.into_iter().collect::<Vec<_>>(), [("acme".to_owned(), 2)]);
}

#[test]
fn a_daemon_that_tells_nothing_is_not_waited_for_beyond_the_report_time() {
    let mut leader = usage();
    leader.count("acme", 10_100);
    let live = vec!["silent".to_owned()];

    assert_eq!(leader.due(&live, 19_000), None);
    let (window, _) = leader.due(&live, 22_000).expect("it is late");

    assert_eq!(window, 2);
}

/// A new holder reported what it had counted itself, as the window was late
/// when it took the lease; the others told it theirs a second later.
#[test]
fn a_new_holder_hears_the_others_before_it_reports_a_late_window() {
    let mut leader = usage();
    leader.count("acme", 10_100);
    let live = vec!["other".to_owned()];
    leader.begin(21_000);

    assert_eq!(leader.due(&live, 21_100), None);
    assert!(leader.due(&live, 23_600).is_some(), "others had the time to tell");
    leader.begin(23_900);
    assert!(leader.due(&live, 24_100).is_some(), "the report is due soon");
}

#[test]
fn a_reported_window_is_not_due_again() {
    let mut leader = usage();
    leader.count("acme", 10_100);
    leader.reported(2);

    let due = leader.due(&[], 20_300).map(|(window, _)| window);

    assert_eq!(due, Some(3));
}

#[test]
fn counts_of_an_ended_life_stay_in_the_report() {
    let mut leader = usage();
    let mut ended = usage();
    ended.count("acme", 10_100);
    leader.hear("daemon#1", &ended.told(10_200), ended.settled(10_200));
    leader.hear("daemon#2", &[], 2);

    let (_, counts) = leader.due(&["daemon#2".to_owned()], 15_300).expect("told");

    assert_eq!(counts["acme"], 1);
}

#[test]
fn a_step_of_the_time_of_day_is_not_followed_and_a_slew_is() {
    let boot = Duration::from_secs;
    let mut clock = Clock::new(1_000_000, boot(10));

    assert_eq!(clock.observe(1_003_400, boot(11)), Some(2_400));
    assert_eq!(clock.now_ms(boot(11)), 1_001_000);
    assert_eq!(clock.observe(1_001_050, boot(11)), None);
    assert_eq!(clock.now_ms(boot(11)), 1_001_050);
}

#[test]
fn a_clock_that_started_stepped_follows_the_other_daemons() {
    let check = |ahead: &mut [i64], expected: Option<i64>| {
        let mut clock = Clock::new(1_000_000, Duration::ZERO);

        assert_eq!(clock.agree(ahead), expected);

        assert_eq!(clock.now_ms(Duration::ZERO), 1_000_000 + expected.unwrap_or(0));
    };

    check(&mut [-2_400, -2_390, -2_410], Some(-2_400));
    check(&mut [2_400, 0, 5, -3], None);
    check(&mut [2_400], None);
}

/// Counts of a daemon that knows the second window to be reported.
fn usage() -> Usage {
    let mut usage = Usage::new(Duration::from_millis(LENGTH_MS as u64));
    usage.reported(1);
    usage
}
