//! Budgets for control traffic.

use std::time::Duration;

use policy::budget::Budget;
use policy::budget::Remainder;

#[test]
fn load_polls_get_the_rate_that_gossip_leaves() {
    let check = |gossip_per_second: u64, expected: f64| {
        let mut remainder = Remainder::new(2600.0, 200.0, 1800.0);

        for tenth in 1..=1000_u64 {
            let now = Duration::from_millis(tenth * 100);
            remainder.observe(now, gossip_per_second * tenth / 10);
        }

        let available = remainder.per_second();
        assert!((available - expected).abs() < 15.0, "{gossip_per_second}: {available}");
    };

    check(0, 1800.0);
    check(500, 1800.0);
    check(1500, 1100.0);
    check(2448, 200.0);
    check(9000, 200.0);
}

#[test]
fn the_rate_recovers_after_a_burst_of_gossip() {
    let mut remainder = Remainder::new(2600.0, 200.0, 1800.0);
    let mut observe = |from_s: u64, until_s: u64, used: &dyn Fn(u64) -> u64| {
        (from_s..until_s)
            .for_each(|second| remainder.observe(Duration::from_secs(second), used(second)));
        remainder.per_second()
    };

    let during = observe(1, 4, &|second| second * 100_000);
    let after = observe(4, 90, &|_| 300_000);

    assert_eq!((during, after), (200.0, 1800.0));
}

#[test]
fn spending_follows_the_rate() {
    let mut budget = Budget::new(1800.0);
    let mut spent = 0.0;
    let mut spend_for = |from_s: u64, until_s: u64, rate: f64| {
        budget.set_rate(rate);
        let before = spent;
        for eighth in from_s * 8..until_s * 8 {
            if budget.is_open(Duration::from_millis(eighth * 125)) {
                budget.spend(350.0);
                spent += 350.0;
            }
        }
        (spent - before) / (until_s - from_s) as f64
    };

    let fast = spend_for(10, 60, 1800.0);
    let slow = spend_for(60, 160, 200.0);

    assert!((1700.0..1950.0).contains(&fast), "{fast}");
    assert!((150.0..260.0).contains(&slow), "{slow}");
}
