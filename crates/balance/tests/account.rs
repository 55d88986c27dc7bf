//! Questions, answers and reports between daemons that account for endpoints.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::account;
use balance::account::Answer;
use balance::account::Question;
use balance::account::Report;
use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::endpoint::Instance;
use balance::load::Load;
use balance::pool::Pool;

const LOAD: Load = Load { open_requests: 2, prefill_tokens: 9_000, held_tokens: 9_500 };
const MORE: Load = Load { open_requests: 1, prefill_tokens: 4_000, held_tokens: 4_100 };

#[test]
fn an_answer_contains_what_others_have_reported_but_not_the_asker() {
    let now = Instant::now();
    let mut pool = pool(1);
    account::merge_report(&mut pool, &report("front-1", 1, LOAD), now);
    account::merge_report(&mut pool, &report("front-2", 1, MORE), now);

    let answer = answer(&pool, "front-2", now + Duration::from_millis(40));

    assert_eq!(answer.states[0].load, LOAD);
    assert_eq!(answer.states[0].cached_ms, [40, 40]);
}

#[test]
fn a_report_replaces_the_former_one_and_the_digest() {
    let now = Instant::now();
    let mut pool = pool(1);
    pool.set_remote_loads("front-1", [("i-0".to_owned(), MORE)].into(), now);

    account::merge_report(&mut pool, &report("front-1", 1, LOAD), now);
    account::merge_report(&mut pool, &report("front-1", 1, LOAD), now);

    assert_eq!(pool.load("i-0"), LOAD);
    pool.set_remote_loads("front-1", [("i-0".to_owned(), MORE)].into(), now);
    assert_eq!(pool.load("i-0"), MORE);
}

#[test]
fn reports_of_a_daemon_that_is_gone_expire() {
    let now = Instant::now();
    let mut pool = pool(1);
    account::merge_report(&mut pool, &report("front-1", 1, LOAD), now);

    pool.sweep(Duration::from_secs(3), now + Duration::from_secs(3));

    assert_eq!(pool.load("i-0"), Load::default());
}

#[test]
fn an_answer_goes_before_digests_for_a_time() {
    let now = Instant::now();
    let mut asker = pool(1);
    asker.set_remote_loads("front-1", [("i-0".to_owned(), MORE)].into(), now);
    let mut accounting = pool(1);
    account::merge_report(&mut accounting, &report("front-1", 1, LOAD), now);

    account::merge_answer(&mut asker, &answer(&accounting, "front-2", now), &[7, 8], now);

    assert_eq!(asker.outstanding("i-0", now).load, LOAD);
    assert!(asker.member("i-0").unwrap().has_cached(8, now));
    let later = now + Duration::from_secs(1);
    assert_eq!(asker.outstanding("i-0", later).load, MORE);
    assert_eq!(asker.outstanding("i-0", later).age, None);
}

#[test]
fn nothing_is_learned_of_another_instance() {
    let now = Instant::now();
    let mut former = pool(1);
    account::merge_report(&mut former, &report("front-1", 1, LOAD), now);
    let mut replaced = pool(2);

    account::merge_report(&mut replaced, &report("front-1", 1, LOAD), now);
    account::merge_answer(&mut replaced, &answer(&former, "front-2", now), &[7, 8], now);

    assert_eq!(replaced.outstanding("i-0", now).load, Load::default());
    assert!(!replaced.member("i-0").unwrap().has_cached(7, now));
}

fn answer(pool: &Pool, daemon: &str, now: Instant) -> Answer {
    let question = Question {
        daemon: daemon.to_owned(),
        to: address(),
        number: 1,
        endpoints: vec!["i-0".to_owned(), "unknown".to_owned()],
        parts: vec![7, 8, 9],
    };
    account::answer(pool, &question, address(), now)
}

fn report(daemon: &str, started_at_ms: u64, load: Load) -> Report {
    Report {
        daemon: daemon.to_owned(),
        endpoint: "i-0".to_owned(),
        instance: instance(started_at_ms),
        load,
        parts: vec![7, 8],
    }
}

fn pool(started_at_ms: u64) -> Pool {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.apply(vec![Change::Updated(endpoint(started_at_ms))], 1, now, now);
    pool
}

fn instance(started_at_ms: u64) -> Instance {
    endpoint(started_at_ms).instance()
}

fn endpoint(started_at_ms: u64) -> Endpoint {
    Endpoint {
        id: "i-0".to_owned(),
        service: "pool".to_owned(),
        address: address(),
        zone: "a".to_owned(),
        software: "v1".to_owned(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        started_at_ms,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000))
}
