//! Rejection of requests that crash endpoints.

use std::time::Duration;
use std::time::Instant;

use balance::suspects::CRASH_LIMIT;
use balance::suspects::Suspects;

#[test]
fn crash_counts_add_up_over_all_daemons() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for _ in 1..CRASH_LIMIT {
        suspects.record_crash("a", 7, now);
    }
    assert!(!suspects.is_rejected(7, now));

    suspects.merge_remote("b", 7, 1, now);
    suspects.merge_remote("b", 7, 1, now);

    assert!(suspects.is_rejected(7, now));
    assert!(!suspects.is_rejected(8, now));
    assert!(!suspects.is_rejected(7, now + Duration::from_secs(600)));
}
