//! Retry budgets stay within the limit shared by all daemons.

use std::time::Duration;
use std::time::Instant;

use quota::retry::Budget;
use quota::retry::Limit;

const LIMIT: Limit = Limit { ratio: 0.2, extra: 54.0, window: Duration::from_secs(10) };

#[test]
fn daemons_together_stay_within_the_limit() {
    let check = |daemons: usize, requests: usize| {
        let now = Instant::now();
        let mut retries = 0;
        for _ in 0..daemons {
            let mut budget = Budget::new(LIMIT);
            (0..requests).for_each(|_| budget.count_request(now));
            while budget.take_retry(daemons, now).is_granted {
                retries += 1;
            }
        }

        let limit = LIMIT.ratio * (daemons * requests) as f64 + LIMIT.extra;
        assert!(f64::from(retries) <= limit, "{retries} of {limit}");
        assert!(f64::from(retries) >= limit * 0.6 - daemons as f64, "{retries} of {limit}");
    };

    check(1, 0);
    check(7, 0);
    check(7, 100);
    check(85, 20);
}

#[test]
fn requests_and_retries_outside_the_window_are_evicted() {
    let start = Instant::now();
    let mut budget = Budget::new(LIMIT);
    while budget.take_retry(1, start).is_granted {}

    let later = start + LIMIT.window + Duration::from_millis(1);

    assert!(!budget.take_retry(1, start + LIMIT.window).is_granted);
    assert!(budget.take_retry(1, later).is_granted);
}
