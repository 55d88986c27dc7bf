//! Tests of a single shard on one table, with simulated time.

mod store;

use std::time::Duration;

use ::store::objects::Objects;
use job::reply::Response;
use ledger::message::Input;
use ledger::message::Ticket;
use ledger::message::Verdict;
use ledger::record::Answer;
use ledger::record::COMMIT_INTERVAL;
use ledger::record::IDLE_TIMEOUT;
use ledger::record::MAX_STORED_BODY_BYTES;
use ledger::record::RETENTION_S;
use ledger::record::batch_key;
use ledger::record::head_key;
use store::SHARD;
use store::Store;

#[test]
fn invalid_stored_state_is_reported_and_grants_nothing() {
    let check = |damage: &str, corrupt: &dyn Fn(&Store)| {
        let mut store = Store::default();
        let mut first = store.shard("entry-1");
        (0..8).for_each(|it| store.run_one(&mut first, it, &format!("key {it}")));
        store.drive(&mut first, Input::Release);
        corrupt(&store);

        let mut second = store.shard("entry-2");
        let verdict = store.begin(&mut second, 20, "key 0");

        assert!(matches!(verdict, Some(Verdict::Unavailable { .. })), "{damage}: {verdict:?}");
        assert_eq!(store.reports.len(), 1, "{damage}: {:?}", store.reports);
    };
    let last = |store: &Store| batch_key(SHARD, store.head().next_batch - 1);
    let snapshot = |store: &Store| store.head().snapshot.unwrap().name;

    check("empty head", &|it| it.write(&head_key(SHARD), ""));
    check("head without fields", &|it| it.write(&head_key(SHARD), "{}"));
    check("batch of another type", &|it| it.write(&last(it), "[]"));
    check("batch missing", &|it| it.delete(&last(it)));
    check("extra batch", &|it| it.write(&batch_key(SHARD, 99), r#"{"records":[]}"#));
    check("snapshot missing", &|it| it.memory.delete(&snapshot(it)).unwrap());
    check("snapshot truncated", &|it| it.memory.put(&snapshot(it), b"{").unwrap());
}

#[test]
fn compaction_bounds_rows_and_objects_and_keeps_all_calls() {
    let mut store = Store::default();
    let mut first = store.shard("entry-1");

    (0..100).for_each(|it| store.run_one(&mut first, it, &format!("key {it}")));

    assert!(store.rows() <= 2 * store::COMPACTION_ROWS as usize + 1, "{} rows", store.rows());
    assert_eq!(store.objects_written - store.objects_deleted, 1);
    let mut second = store.shard("entry-2");
    store.drive(&mut first, Input::Release);
    for key in 0..100 {
        let verdict = store.begin(&mut second, 200 + key, &format!("key {key}"));
        assert!(matches!(verdict, Some(Verdict::Done(_))), "key {key}: {verdict:?}");
    }
}

#[test]
fn ended_calls_expire() {
    let check = |age_s: u64, expected: bool| {
        let mut store = Store::default();
        let mut first = store.shard("entry-1");
        store.run_one(&mut first, 1, "a");
        store.drive(&mut first, Input::Release);
        store.advance(Duration::from_secs(age_s));

        let mut second = store.shard("entry-2");
        let verdict = store.begin(&mut second, 2, "a");

        let is_retained = matches!(verdict, Some(Verdict::Done(_)));
        assert_eq!(is_retained, expected, "after {age_s} s: {verdict:?}");
    };

    check(RETENTION_S - 60, true);
    check(RETENTION_S + 60, false);
}

#[test]
fn a_key_belongs_to_its_first_request() {
    let mut store = Store::default();
    let mut first = store.shard("entry-1");
    (0..9).for_each(|it| store.run_one(&mut first, it, &format!("key {it}")));
    store.drive(&mut first, Input::Release);
    let mut second = store.shard("entry-2");
    let mut check = |ticket: u64, key: &str, request: u64, expected: fn(&Verdict) -> bool| {
        let claim = store::claim(key, request);
        store.drive(&mut second, Input::Begin(Ticket(ticket), claim));
        let verdict = store.verdict(ticket);
        assert!(verdict.as_ref().is_some_and(expected), "{key}, request {request}: {verdict:?}");
    };

    check(20, "key 0", 1, |it| matches!(it, Verdict::Done(_)));
    check(21, "key 0", 2, |it| matches!(it, Verdict::KeyReused));
    check(22, "key 8", 2, |it| matches!(it, Verdict::KeyReused));
}

#[test]
fn answers_are_stored_unchanged_up_to_the_size_limit() {
    let check = |body: Vec<u8>, stored: bool| {
        let response = Response { status: 200, media_type: "a/b".to_owned(), body };
        let row = serde_json::to_string(&Answer::from(&response)).unwrap();
        let decoded = serde_json::from_str::<Answer>(&row).unwrap().into_response();
        assert_eq!(decoded, stored.then_some(response));
    };

    check(Vec::new(), true);
    check("deposit \u{20b5} 5".as_bytes().to_vec(), true);
    check(vec![0, 159, 146, 150, 255], true);
    check(vec![b'x'; MAX_STORED_BODY_BYTES], true);
    check(vec![b'x'; MAX_STORED_BODY_BYTES + 1], false);
}

#[test]
fn commits_are_spaced_under_load_and_immediate_for_a_single_call() {
    let mut store = Store::default();
    let mut shard = store.shard("entry-1");
    let start = store.now();
    assert!(matches!(store.begin(&mut shard, 0, "lone"), Some(Verdict::Granted { .. })));
    assert_eq!(store.now(), start, "a single call had to wait");
    let commits = store.commits;

    for ticket in 1..=1000 {
        let claim = store::claim(&ticket.to_string(), 1);
        store.handle(&mut shard, Input::Begin(Ticket(ticket), claim));
        store.advance(Duration::from_millis(1));
        store.run_scheduled_tick(&mut shard);
    }

    let limit = 1000 / COMMIT_INTERVAL.as_millis() as u64 + 1;
    assert!(store.commits - commits <= limit, "{} commits", store.commits - commits);
}

#[test]
fn an_idle_holder_releases_its_lease_and_reacquires_it() {
    let mut store = Store::default();
    let mut shard = store.shard("entry-1");
    store.run_one(&mut shard, 1, "a");
    store.advance(IDLE_TIMEOUT);

    store.drive(&mut shard, Input::Tick);

    assert!(!shard.is_held());
    assert_eq!(store.head().holder.daemon, "");
    let verdict = store.begin(&mut shard, 2, "a");
    assert!(matches!(verdict, Some(Verdict::Done(_))), "{verdict:?}");
}
