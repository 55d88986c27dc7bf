//! Crashes of endpoints counted by request content.

use std::time::Duration;
use std::time::Instant;

use policy::suspects::Crash;
use policy::suspects::Fingerprint;
use policy::suspects::Suspects;

#[test]
fn a_request_is_rejected_after_two_early_crashes_until_they_expire() {
    let now = Instant::now();
    let fingerprint = Fingerprint::of("assistant", &[b"poison"]);
    let other = Fingerprint::of("assistant", &[b"pois", b"on"]);
    let mut suspects = Suspects::default();

    suspects.record_crash(now, "entry-1", fingerprint, Crash::Early);
    let after_one = suspects.is_rejected(now, fingerprint);
    suspects.record_crash(now, "entry-1", fingerprint, Crash::Early);

    assert!(!after_one);
    assert!(suspects.is_rejected(now, fingerprint));
    assert!(!suspects.is_rejected(now, other));
    assert!(!suspects.is_rejected(now + Duration::from_secs(3600), fingerprint));
}

#[test]
fn points_of_daemons_add_up_however_often_they_are_sent() {
    let now = Instant::now();
    let fingerprint = Fingerprint::of("assistant", &[b"poison"]);
    let mut suspects = Suspects::default();
    suspects.record_crash(now, "entry-1", fingerprint, Crash::Late);

    for points in [2, 1, 2, 2] {
        suspects.merge_remote(now, "entry-2", fingerprint, points);
    }
    let before_limit = suspects.is_rejected(now, fingerprint);
    suspects.merge_remote(now, "entry-3", fingerprint, 1);

    assert!(!before_limit);
    assert!(suspects.is_rejected(now, fingerprint));
}
