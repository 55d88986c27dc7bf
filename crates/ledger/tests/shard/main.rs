//! One shard over one table, step by step on paused time.

mod store;

use std::time::Duration;

use ::store::objects::Objects;
use job::reply::Response;
use ledger::message::Input;
use ledger::message::Ticket;
use ledger::message::Verdict;
use ledger::record::Answer;
use ledger::record::COMMIT_PACE;
use ledger::record::IDLE_AFTER;
use ledger::record::KEPT_BODY_BYTES;
use ledger::record::RETENTION_S;
use ledger::record::batch_key;
use ledger::record::head_key;
use store::SHARD;
use store::Store;

#[test]
fn what_cannot_be_read_is_refused() {
    let check = |broken: &str, spoil: &dyn Fn(&Store)| {
        let mut store = Store::default();
        let mut first = store.shard("entry-1");
        (0..8).for_each(|it| store.run_one(&mut first, it, &format!("key {it}")));
        store.drive(&mut first, Input::Release);
        spoil(&store);

        let mut second = store.shard("entry-2");
        let told = store.begin(&mut second, 20, "key 0");

        assert!(matches!(told, Some(Verdict::NotNow { .. })), "{broken}: {told:?}");
        assert_eq!(store.reports.len(), 1, "{broken}: {:?}", store.reports);
    };
    let last = |store: &Store| batch_key(SHARD, store.head().next_batch - 1);
    let snapshot = |store: &Store| store.head().snapshot.unwrap().name;

    check("empty head", &|it| it.write(&head_key(SHARD), ""));
    check("head without fields", &|it| it.write(&head_key(SHARD), "{}"));
    check("batch of another form", &|it| it.write(&last(it), "[]"));
    check("batch missing", &|it| it.delete(&last(it)));
    check("batch too many", &|it| it.write(&batch_key(SHARD, 99), r#"{"records":[]}"#));
    check("snapshot missing", &|it| it.memory.delete(&snapshot(it)).unwrap());
    check("snapshot cut", &|it| it.memory.put(&snapshot(it), b"{").unwrap());
}

#[test]
fn rows_and_objects_stay_bounded_and_nothing_is_forgotten() {
    let mut store = Store::default();
    let mut first = store.shard("entry-1");

    (0..100).for_each(|it| store.run_one(&mut first, it, &format!("key {it}")));

    assert!(store.rows() <= 2 * store::COMPACT_ROWS as usize + 1, "{} rows", store.rows());
    assert_eq!(store.objects_written - store.objects_deleted, 1);
    let mut second = store.shard("entry-2");
    store.drive(&mut first, Input::Release);
    for key in 0..100 {
        let told = store.begin(&mut second, 200 + key, &format!("key {key}"));
        assert!(matches!(told, Some(Verdict::Done(_))), "key {key}: {told:?}");
    }
}

#[test]
fn ended_calls_expire() {
    let check = |age_s: u64, expected: bool| {
        let mut store = Store::default();
        let mut first = store.shard("entry-1");
        store.run_one(&mut first, 1, "a");
        store.drive(&mut first, Input::Release);
        store.pass(Duration::from_secs(age_s));

        let mut second = store.shard("entry-2");
        let told = store.begin(&mut second, 2, "a");

        let is_known = matches!(told, Some(Verdict::Done(_)));
        assert_eq!(is_known, expected, "after {age_s} s: {told:?}");
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
        let told = store.told(ticket);
        assert!(told.as_ref().is_some_and(expected), "{key}, request {request}: {told:?}");
    };

    check(20, "key 0", 1, |it| matches!(it, Verdict::Done(_)));
    check(21, "key 0", 2, |it| matches!(it, Verdict::Reused));
    check(22, "key 8", 2, |it| matches!(it, Verdict::Reused));
}

#[test]
fn answers_are_kept_byte_by_byte_up_to_a_size() {
    let check = |body: Vec<u8>, kept: bool| {
        let response = Response { status: 200, media_type: "a/b".to_owned(), body };
        let row = serde_json::to_string(&Answer::from(&response)).unwrap();
        let again = serde_json::from_str::<Answer>(&row).unwrap().into_response();
        assert_eq!(again, kept.then_some(response));
    };

    check(Vec::new(), true);
    check("deposit \u{20b5} 5".as_bytes().to_vec(), true);
    check(vec![0, 159, 146, 150, 255], true);
    check(vec![b'x'; KEPT_BODY_BYTES], true);
    check(vec![b'x'; KEPT_BODY_BYTES + 1], false);
}

#[test]
fn a_busy_shard_commits_at_its_pace_and_a_lone_call_at_once() {
    let mut store = Store::default();
    let mut shard = store.shard("entry-1");
    let start = store.now();
    assert!(matches!(store.begin(&mut shard, 0, "lone"), Some(Verdict::Granted { .. })));
    assert_eq!(store.now(), start, "a lone call waited");
    let commits = store.commits;

    for ticket in 1..=1000 {
        let claim = store::claim(&ticket.to_string(), 1);
        store.start(&mut shard, Input::Begin(Ticket(ticket), claim));
        store.pass(Duration::from_millis(1));
        store.wake(&mut shard);
    }

    let most = 1000 / COMMIT_PACE.as_millis() as u64 + 1;
    assert!(store.commits - commits <= most, "{} commits", store.commits - commits);
}

#[test]
fn an_idle_holder_gives_its_lease_up_and_takes_it_again() {
    let mut store = Store::default();
    let mut shard = store.shard("entry-1");
    store.run_one(&mut shard, 1, "a");
    store.pass(IDLE_AFTER);

    store.drive(&mut shard, Input::Tick);

    assert!(!shard.is_held());
    assert_eq!(store.head().holder.daemon, "");
    let told = store.begin(&mut shard, 2, "a");
    assert!(matches!(told, Some(Verdict::Done(_))), "{told:?}");
}
