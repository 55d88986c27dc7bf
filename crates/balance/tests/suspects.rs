//! Requests that crash endpoints.

use std::time::Duration;
use std::time::Instant;

use balance::suspects::LIMIT;
use balance::suspects::Suspects;

#[test]
fn crashes_seen_by_all_daemons_count_together() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for _ in 1..LIMIT {
        suspects.count("a", 7, now);
    }
    assert!(!suspects.is_refused(7, now));

    suspects.hear("b", 7, 1, now);
    suspects.hear("b", 7, 1, now);

    assert!(suspects.is_refused(7, now));
    assert!(!suspects.is_refused(8, now));
    assert!(!suspects.is_refused(7, now + Duration::from_secs(600)));
}
