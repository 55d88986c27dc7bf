//! Content of the store row of rejected requests.

use arbtest::arbtest;
use balance::endpoint::Instance;
use balance::subject::Subject;
use balance::suspect::Evidence;
use balance::suspects::Interruption;
use balance::suspects::Report;
use front::rejected;

/// Unix time of the tests, in milliseconds.
const NOW_MS: i64 = 1_796_000_000_000;

#[test]
fn stored_requests_are_read_with_the_age_of_their_crashes() {
    let reports = [report(7, &[(u64::MAX, 0), (1, 500)]), report(u128::MAX, &[(3, 10)])];

    let content = rejected::encode(&reports, NOW_MS);
    let read = rejected::decode(&content, NOW_MS + 1_000).unwrap();

    assert_eq!(
        read,
        [report(7, &[(u64::MAX, 1_000), (1, 1_500)]), report(u128::MAX, &[(3, 1_010)])]
    );
}

#[test]
fn parts_and_the_rows_of_earlier_versions_are_read() {
    let part = Report { subject: Subject::Part(0xbeef), was_served: true, ..report(0, &[(1, 0)]) };
    let earlier = r#"[{"fingerprint":"00ff","crashes":[[1,1796000000000]]}]"#;

    let parts =
        rejected::decode(&rejected::encode(std::slice::from_ref(&part), NOW_MS), NOW_MS).unwrap();
    let requests = rejected::decode(earlier, NOW_MS).unwrap();

    assert_eq!(parts, [part]);
    assert_eq!(requests, [report(0xff, &[(1, 0)])]);
}

#[test]
fn only_crashes_that_count_are_stored() {
    let mut with_response = report(7, &[(1, 0), (2, 0)]);
    with_response.interruptions[1].evidence = Evidence::Responded;

    let read = rejected::decode(&rejected::encode(&[with_response], NOW_MS), NOW_MS).unwrap();

    assert_eq!(read, [report(7, &[(1, 0)])]);
}

#[test]
fn the_latest_crashes_of_many_requests_fit_in_a_row() {
    let crashes: Vec<(u64, u64)> = (0..200).map(|it| (u64::MAX - it, it)).collect();
    let reports: Vec<Report> = (0..64).map(|it| report(it, &crashes)).collect();

    let content = rejected::encode(&reports, NOW_MS);
    let read = rejected::decode(&content, NOW_MS).unwrap();

    // The platform stores at most 64 KiB in a row, encoded as base64.
    assert!(content.len() * 4 / 3 < 65_536, "{}", content.len());
    assert_eq!(read[0].interruptions[..3], reports[0].interruptions[..3]);
}

#[test]
fn crashes_that_seem_to_be_in_the_future_have_no_age() {
    let content = rejected::encode(&[report(7, &[(1, 0)])], NOW_MS);

    let read = rejected::decode(&content, NOW_MS - 60_000).unwrap();

    assert_eq!(read, [report(7, &[(1, 0)])]);
}

#[test]
fn arbitrary_content_is_decoded_or_rejected() {
    assert_eq!(rejected::decode("", NOW_MS).unwrap(), []);
    for seed in 0..200 {
        arbtest(|u| {
            let content: String = u.arbitrary()?;
            let _ = rejected::decode(&content, u.arbitrary()?);
            let _ =
                rejected::decode(&format!(r#"[{{"fingerprint":"{content}","crashes":[]}}]"#), 0);
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

fn report(fingerprint: u128, crashes: &[(u64, u64)]) -> Report {
    let interruptions = crashes.iter().map(|(instance, age_ms)| Interruption {
        instance: Instance(*instance),
        evidence: Evidence::Interrupted,
        age_ms: *age_ms,
    });
    let interruptions = interruptions.collect();
    Report {
        subject: Subject::Request(fingerprint),
        interruptions,
        was_served: false,
        tried_age_ms: None,
    }
}
