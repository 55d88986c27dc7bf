//! Routing: candidate selection, scoring, the baseline modes and replay of logged
//! decisions.

use std::time::Duration;

use policy::blocks;
use policy::hints::Event;
use policy::hints::Hints;
use policy::hints::Kind;
use policy::pool::Pool;
use policy::pool::Query;
use policy::pool::Report;
use policy::route::Candidate;
use policy::route::Decision;
use policy::route::Mode;
use policy::route::Pace;
use policy::route::Reason;
use policy::route::Request;
use policy::route::choose;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn scoring_weighs_cache_price_and_queue() {
    let idle = candidate("idle", 1.0, 0.0, 0);
    let check = |other: Candidate<'_>, chosen: &str, reason: Reason| {
        let decision = choose(&request(Mode::Scored), &[idle.clone(), other]).unwrap();
        assert_eq!((decision.chosen, decision.reason), (chosen, reason));
    };

    check(candidate("cached", 1.0, 0.0, 2000), "cached", Reason::Cached);
    check(candidate("cheap", 0.5, 0.0, 0), "cheap", Reason::Cheaper);
    check(candidate("cheap_but_full", 0.5, 200.0, 0), "idle", Reason::Sooner);
    check(candidate("cached_but_full", 1.0, 200.0, 2000), "idle", Reason::Sooner);
    check(candidate("same", 1.0, 0.0, 0), "idle", Reason::Prefix);
}

#[test]
fn baseline_modes_use_a_single_criterion() {
    let candidates = [
        candidate("nearest", 2.0, 50.0, 0),
        candidate("least_loaded", 2.0, 1.0, 0),
        candidate("cheapest", 0.1, 9.0, 2000),
    ];
    let check = |mode: Mode, chosen: &str| {
        assert_eq!(choose(&request(mode), &candidates).unwrap().chosen, chosen);
    };

    check(Mode::PrefixHash, "nearest");
    check(Mode::LeastLoaded, "least_loaded");
    check(Mode::Scored, "cheapest");
}

#[test]
fn own_requests_count_immediately_and_not_again_in_a_lagging_report() {
    let mut pool = pool(2);
    let report = Report { running: 3, waiting: 0, capacity: 8 };
    (0..4).for_each(|_| pool.record_sent("vm-0", &[], NOW));

    pool.record_report("vm-0", report, NOW);

    assert_eq!(busy(&pool, NOW), 7.0, "the report cannot include requests sent just now");
    let later = NOW + Duration::from_secs(60);
    pool.record_report("vm-0", Report { running: 4, ..report }, later);
    let others = busy(&pool, later) - 4.0;
    assert!(others < 1.5, "all four were this daemon's own: {others}");
    pool.record_ended("vm-0", later);
    assert_eq!(busy(&pool, later) - 3.0, others);
}

#[test]
fn other_daemons_are_assumed_to_start_as_much_as_this_one_between_reports() {
    let check = |daemons: usize, sends: usize, free: f64| {
        let mut pool = pool(1);
        pool.record_report("vm-0", Report { running: 0, waiting: 0, capacity: 20 }, NOW);
        (0..sends).for_each(|_| pool.record_sent("vm-0", &[], NOW));
        assert_eq!(pool.slots(daemons, NOW), (free, 20.0));
    };

    check(1, 6, 14.0);
    check(3, 6, 2.0);
    check(7, 6, 0.0);
}

#[test]
fn first_tokens_show_whether_an_endpoint_was_full() {
    let report = Report { running: 4, waiting: 0, capacity: 8 };
    let check = |min_ms: f64, max_ms: f64, expected: std::ops::RangeInclusive<f64>| {
        let mut pool = pool(2);
        pool.record_report("vm-0", report, NOW);
        pool.record_sent("vm-0", &[], NOW);
        pool.record_queueing("vm-0", min_ms, max_ms, 1000.0, NOW);
        assert!(expected.contains(&busy(&pool, NOW)), "{}", busy(&pool, NOW));
    };

    check(500.0, 600.0, 8.0..=13.0);
    check(-300.0, 10.0, 5.0..=5.0);
    check(-300.0, 200.0, 5.0..=5.0);
}

#[test]
fn daemons_agree_on_the_nearest_endpoint_and_skip_unusable_ones() {
    let mut first = pool(40);
    let mut second = pool(40);
    let blocks = blocks::chain(&"a long history of the kennel ".repeat(50));
    let nearest = |pool: &Pool| pool.candidates(&query(&blocks))[0].id.to_owned();

    let chosen = nearest(&first);

    assert_eq!(chosen, nearest(&second));
    first.set(&chosen, 1.0, false);
    second.set(&chosen, 1.0, false);
    first.refresh();
    second.refresh();
    assert_ne!(nearest(&first), chosen);
    assert_eq!(nearest(&first), nearest(&second));
    let avoided = [chosen];
    let query = Query { avoid: &avoided, ..query(&blocks) };
    assert!(first.all_candidates(&query).iter().all(|it| it.id != avoided[0]));
}

#[test]
fn few_of_many_endpoints_are_scored_unless_they_are_full() {
    let mut pool = pool(500);
    let blocks = blocks::chain(&"dossier ".repeat(200));
    let scored = pool.candidates(&query(&blocks)).len();

    for number in 0..500 {
        let full = Report { running: 64, waiting: 9, capacity: 64 };
        pool.record_report(&format!("vm-{number}"), full, NOW);
    }

    assert!(scored <= 9, "{scored}");
    assert!(pool.candidates(&query(&blocks)).len() > scored);
}

#[test]
fn a_gap_discards_reported_blocks_and_keeps_predictions() {
    let mut hints = Hints::default();
    let stored = |sequence, block| Event { sequence, kind: Kind::Stored, block };
    hints.predict(&[1, 2], NOW);
    hints.apply(&[stored(1, 3), stored(2, 4)], NOW);
    assert_eq!(hints.cached(&[1, 2, 3, 4], NOW), 4);

    hints.apply(&[stored(4, 9)], NOW);

    assert_eq!(hints.cached(&[1, 2, 3, 4], NOW), 2);
    hints.apply(&[Event { sequence: 5, kind: Kind::Evicted, block: 1 }], NOW);
    assert_eq!(hints.cached(&[1, 2], NOW), 0);
    assert_eq!(hints.cached(&[9], NOW), 1);
    assert_eq!(hints.cached(&[9], NOW + Duration::from_secs(3600)), 0, "hints expire");
}

#[test]
fn a_decision_replayed_from_its_logged_input_is_the_same() {
    let properties = |input: &mut arbtest::arbitrary::Unstructured<'_>| {
        let mut request = request(Mode::Scored);
        request.prompt_tokens = input.int_in_range(0..=9000)?;
        request.cost_weight = f64::from(input.int_in_range(0..=40)?) / 10.0;
        let mut candidates = Vec::new();
        for id in ["a", "b", "c", "d"] {
            let price = f64::from(input.int_in_range(1..=30)?) / 7.0;
            let busy = f64::from(input.int_in_range(0..=90)?) / 3.0;
            candidates.push(candidate(id, price, busy, input.int_in_range(0..=9000)?));
        }
        let decision = choose(&request, &candidates).unwrap();

        let line = serde_json::to_string(&(&request, &candidates)).unwrap();
        let (request, candidates): (Request, Vec<Candidate<'_>>) =
            serde_json::from_str(&line).unwrap();
        let replayed: Decision<'_> = choose(&request, &candidates).unwrap();

        assert_eq!(replayed, decision);
        Ok(())
    };
    arbtest::arbtest(properties).seed(0x5eed_0000_0040).run();
    arbtest::arbtest(properties).seed(0x5eed_0001_0080).run();
}

fn candidate(id: &str, price: f64, busy: f64, cached_tokens: u32) -> Candidate<'_> {
    Candidate { id, price, busy, capacity: 64.0, cached_tokens, home: 0.0 }
}

fn request(mode: Mode) -> Request {
    Request {
        mode,
        seed: 1,
        prompt_tokens: 2000,
        output_tokens: 100,
        target_ms: 670.0,
        cost_weight: 1.0,
        recompute_weight: 1.0,
        pace: Pace { prefill_ms: 0.1, token_ms: 10.0, hold_ms: 2000.0 },
    }
}

fn pool(size: usize) -> Pool {
    let mut pool = Pool::default();
    (0..size).for_each(|number| pool.set(&format!("vm-{number}"), 1.0, true));
    pool.refresh();
    pool
}

fn query(blocks: &[u64]) -> Query<'_> {
    Query { blocks, name: "assistant", avoid: &[], now: NOW }
}

fn busy(pool: &Pool, now: Duration) -> f64 {
    let all = pool.all_candidates(&Query { now, ..query(&[]) });
    all.iter().find(|it| it.id == "vm-0").unwrap().busy
}
