//! Deaths of endpoints counted by content.

use std::time::Duration;
use std::time::Instant;

use policy::suspects::Death;
use policy::suspects::Fingerprint;
use policy::suspects::Suspects;

#[test]
fn two_early_deaths_refuse_a_request_until_they_are_forgotten() {
    let now = Instant::now();
    let print = Fingerprint::of("assistant", &[b"poison"]);
    let other = Fingerprint::of("assistant", &[b"pois", b"on"]);
    let mut suspects = Suspects::default();

    suspects.count(now, "entry-1", print, Death::Early);
    let after_one = suspects.is_refused(now, print);
    suspects.count(now, "entry-1", print, Death::Early);

    assert!(!after_one);
    assert!(suspects.is_refused(now, print));
    assert!(!suspects.is_refused(now, other));
    assert!(!suspects.is_refused(now + Duration::from_secs(3600), print));
}

#[test]
fn counts_of_daemons_add_up_however_often_they_are_told() {
    let now = Instant::now();
    let print = Fingerprint::of("assistant", &[b"poison"]);
    let mut suspects = Suspects::default();
    suspects.count(now, "entry-1", print, Death::Late);

    for points in [2, 1, 2, 2] {
        suspects.merge(now, "entry-2", print, points);
    }
    let below = suspects.is_refused(now, print);
    suspects.merge(now, "entry-3", print, 1);

    assert!(!below);
    assert!(suspects.is_refused(now, print));
}
