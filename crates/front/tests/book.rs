//! Content of the store row of orders.

use arbtest::arbtest;
use duty::book::Entry;
use duty::book::MAX_AGE;
use duty::book::Order;
use duty::order::Kind;
use front::book;

/// Unix time of the tests, in milliseconds.
const NOW_MS: i64 = 1_796_000_000_000;
/// Era of the store.
const ERA: u64 = 3;

#[test]
fn entries_are_read_with_the_age_of_their_orders() {
    let content = book::encode(&[entry(500)], ERA, NOW_MS);

    let read = book::decode(&content, ERA, NOW_MS + 1_000).unwrap();
    let read_by_a_slow_clock = book::decode(&content, ERA, NOW_MS - 60_000).unwrap();

    assert_eq!((read, read_by_a_slow_clock), (vec![entry(1_500)], vec![entry(0)]));
    assert_eq!(book::decode("", ERA, NOW_MS).unwrap(), []);
}

#[test]
fn rows_that_can_mislead_are_not_used() {
    let content = book::encode(&[entry(0)], ERA, NOW_MS);
    let check = |content: &str, era: u64, now_ms: i64, name: &str| {
        assert_eq!(book::decode(content, era, now_ms).unwrap_err().name(), name, "{content}");
    };

    check(&content, ERA + 1, NOW_MS, "earlier_era");
    check(&content, ERA, NOW_MS + MAX_AGE.as_millis() as i64 + 1, "outdated");
    check(&content[1..], ERA, NOW_MS, "malformed");
    check(&content.replace("40", "4000000"), ERA, NOW_MS, "malformed");
    check(&content.replace("12.5", "-1.0"), ERA, NOW_MS, "malformed");
    check(&content.replace("12.5", "1e300"), ERA, NOW_MS, "malformed");
}

#[test]
fn arbitrary_content_is_decoded_or_rejected() {
    for seed in 0..200 {
        arbtest(|u| {
            let content: String = u.arbitrary()?;
            let _ = book::decode(&content, u.arbitrary()?, u.arbitrary()?);
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

fn entry(age_ms: u64) -> Entry {
    let order = |zone: &str, kind, is_rejected| Order {
        zone: zone.to_owned(),
        kind,
        count: 40,
        granted: 9,
        age_ms,
        is_rejected,
    };
    let orders = vec![order("a", Kind::OnDemand, false), order("a", Kind::Reclaimable, true)];
    Entry { service: "pool".to_owned(), need: 12.5, need_age_ms: age_ms, orders }
}
