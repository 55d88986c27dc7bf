//! Content of the store rows of streams.

use arbtest::arbtest;
use balance::endpoint::Instance;
use balance::origin::Key;
use balance::origin::Notice;
use balance::origin::Origin;
use front::origin_rows;
use front::origin_rows::Stream;
use serde::Deserialize;

/// Content of a row as builds read it that know of no version that is not known yet.
#[derive(Deserialize)]
struct Former {
    origins: Vec<FormerPlace>,
    streams: Vec<FormerRecord>,
}

#[derive(Deserialize)]
struct FormerPlace {
    service: String,
    software: Option<String>,
    instance: String,
    is_settled: bool,
}

#[derive(Deserialize)]
struct FormerRecord {
    k: String,
    o: usize,
    b: i64,
    u: i64,
}

/// Unix time of the tests, in milliseconds.
const NOW_MS: i64 = 1_796_000_000_000;
/// Maximum size of a row, in bytes before the store's encoding.
const ROW_BYTES: usize = 48 * 1_024;

#[test]
fn streams_are_read_with_their_age() {
    let streams =
        [stream(u128::MAX, Some("v1"), true), stream(1, Some("v2"), false), stream(0, None, true)];
    let content = origin_rows::encode(&streams, NOW_MS);

    let read = origin_rows::decode(&content, NOW_MS + 1_000).unwrap();
    let read_late = origin_rows::decode(&content, NOW_MS + 30_000).unwrap();

    let later = streams.map(|it| {
        let (age_ms, lifetime_ms) = (it.notice.age_ms + 1_000, it.notice.lifetime_ms - 1_000);
        Stream { notice: Notice { age_ms, lifetime_ms, ..it.notice }, ..it }
    });
    assert_eq!((read, read_late), (later.to_vec(), Vec::new()));
}

#[test]
fn streams_whose_version_is_not_known_yet_are_told_from_those_in_doubt() {
    let check = |software: Option<&str>, is_settled: bool| {
        let stream = stream(1, software, is_settled);
        let content = origin_rows::encode(std::slice::from_ref(&stream), NOW_MS);

        assert_eq!(origin_rows::decode(&content, NOW_MS).unwrap(), [stream], "{content}");
    };

    for is_settled in [false, true] {
        check(Some(""), is_settled);
        check(Some("v1"), is_settled);
        check(None, is_settled);
    }
}

/// Guards against rows that other builds take for malformed.
#[test]
fn former_builds_read_a_version_that_is_not_known_yet_as_a_doubt() {
    let streams = [stream(1, Some("v1"), true), stream(2, Some(""), true), stream(3, None, true)];

    let content = origin_rows::encode(&streams, NOW_MS);

    let rows: Former = serde_json::from_str(&content).unwrap();
    let softwares: Vec<Option<&str>> =
        rows.streams.iter().map(|it| rows.origins[it.o].software.as_deref()).collect();
    assert_eq!(softwares, [Some("v1"), None, None]);
    assert!(rows.origins.iter().all(|it| it.is_settled && it.service == "pool"));
    assert!(rows.origins.iter().all(|it| it.instance == "7"));
    assert!(rows.streams.iter().all(|it| it.b < it.u && !it.k.is_empty()));
}

/// Guards against streams of former builds that are taken for ones whose version becomes known.
#[test]
fn rows_of_former_builds_are_read() {
    let content = origin_rows::encode(&[stream(1, None, false)], NOW_MS);
    assert!(!content.contains("is_unread"), "{content}");

    let read = origin_rows::decode(&content, NOW_MS).unwrap();

    assert_eq!(read, [stream(1, None, false)]);
}

#[test]
fn a_row_names_the_daemon_that_wrote_it() {
    let check = |key: &str, daemon: &str| assert_eq!(origin_rows::writer(key), daemon);

    check(&origin_rows::row_key("front-1#0a", 12), "front-1#0a");
    check(&origin_rows::row_key("zone/front", 0), "zone/front");
    check("streams/odd", "odd");
    check("streams/", "");
    check("", "");
}

#[test]
fn odd_rows_are_not_used() {
    let content = origin_rows::encode(&[stream(0xabc, Some("v1"), true)], NOW_MS);
    let check = |content: &str| assert!(origin_rows::decode(content, NOW_MS).is_err(), "{content}");

    check("");
    check("{}");
    check("[]");
    check(&content[1..]);
    check(&content.replace("\"o\":0", "\"o\":1"));
    check(&content.replace("\"o\":0", "\"o\":-1"));
    check(&content.replace("\"v1\"", "\"\""));
    check(&content.replace("\"v1\"", "1"));
    check(&content.replace("abc", "xyz"));
    check(&content.replace("abc", &"f".repeat(33)));
    check(&content.replace("\"7\"", "\"-7\""));
    check(&content.replace(&(NOW_MS + 20_000).to_string(), "9223372036854775807"));
    check(&content.replace(&(NOW_MS + 20_000).to_string(), "1e9"));
}

#[test]
fn a_full_row_fits_into_the_store() {
    let streams: Vec<Stream> = (0..245)
        .map(|it| {
            let mut stream = stream(u128::MAX - it, Some("v1"), true);
            stream.notice.origin.instance = Instance(u64::MAX - it as u64);
            stream
        })
        .collect();

    let content = origin_rows::encode(&streams, NOW_MS);

    assert!(content.len() <= ROW_BYTES, "{}", content.len());
}

#[test]
fn a_version_that_is_stated_counts_whether_or_not_it_is_called_unknown() {
    let check = |software: &str, is_unread: bool, expected: Option<&str>| {
        let content = origin_rows::encode(&[stream(1, Some("v1"), true)], NOW_MS);
        let place = format!("\"software\":{software},\"is_unread\":{is_unread}");
        let content = content.replace("\"software\":\"v1\"", &place);

        let read = origin_rows::decode(&content, NOW_MS).unwrap();

        assert_eq!(read, [stream(1, expected, true)], "{content}");
    };

    check("\"v1\"", true, Some("v1"));
    check("\"v1\"", false, Some("v1"));
    check("null", true, Some(""));
    check("null", false, None);
}

#[test]
fn arbitrary_content_is_decoded_or_rejected() {
    for seed in 0..200 {
        arbtest(|u| {
            let content: String = u.arbitrary()?;
            let _ = origin_rows::decode(&content, u.arbitrary()?);
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

fn stream(key: u128, software: Option<&str>, is_settled: bool) -> Stream {
    let origin = Origin {
        service: "pool".to_owned(),
        software: software.map(str::to_owned),
        instance: Instance(7),
    };
    let notice = Notice { key: Key(key), origin, age_ms: 500, lifetime_ms: 20_000 };
    Stream { notice, is_settled }
}
