//! Selection of endpoints under load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use balance::choose::Query;
use balance::choose::choose;
use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::health::Outcome;
use balance::pool::Pool;
use balance::software::Requirement;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::config::Engine;
use route::request::Attributes;
use route::request::Part;
use route::request::Size;

static NO_ENDPOINTS: BTreeSet<&str> = BTreeSet::new();
const ENGINE: Engine = Engine { slots: 64, memory_tokens: 560_000, event_tokens: 3 };
const SHARED_TOKENS: u32 = 13_000;
const UNSHARED_TOKENS: u32 = 3_000;

#[test]
fn all_daemons_prefer_the_same_endpoint_for_a_shared_part() {
    let mut endpoints_by_part: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for daemon in 0..5 {
        let pool = pool(8);
        let mut rng = SmallRng::seed_from_u64(daemon);
        for part in 0..40 {
            let attributes = prompt(part, daemon);
            let choice = choose(&pool, &query(&attributes, &[]), Instant::now(), &mut rng).unwrap();
            endpoints_by_part.entry(part).or_default().insert(choice.id);
        }
    }

    assert!(endpoints_by_part.values().all(|it| it.len() == 1), "{endpoints_by_part:?}");
    let used: BTreeSet<_> = endpoints_by_part.values().flatten().collect();
    assert!(used.len() >= 6, "{used:?}");
}

/// Guards against choosing the preferred endpoint by the first part: all prompts
/// of a route may share it, and one endpoint got all of them.
#[test]
fn sessions_that_share_only_their_first_part_are_spread() {
    let pool = pool(8);
    let mut rng = SmallRng::seed_from_u64(3);
    let endpoints: BTreeSet<String> = (0..40)
        .filter_map(|session| {
            let mut attributes = prompt(session, 1);
            attributes.parts.insert(0, Part { id: 9_999, tokens: 800 });
            choose(&pool, &query(&attributes, &[]), Instant::now(), &mut rng)
        })
        .map(|it| it.id)
        .collect();

    assert!(endpoints.len() >= 6, "{endpoints:?}");
}

#[test]
fn a_prompt_goes_elsewhere_when_queueing_costs_more_than_recomputing() {
    let mut pool = pool(4);
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::now();
    let mut chosen = Vec::new();
    for session in 0..12 {
        let attributes = prompt(7, session);
        let choice = choose(&pool, &query(&attributes, &[]), now, &mut rng).unwrap();
        let member = pool.member_mut(&choice.id).unwrap();
        member.own_load = member.own_load.plus(choice.load);
        chosen.push(choice.id);
    }

    let preferred = &chosen[0];
    let before_spill = chosen.iter().take_while(|it| *it == preferred).count();
    assert!((3..=8).contains(&before_spill), "{chosen:?}");
    assert!(chosen.iter().collect::<BTreeSet<_>>().len() >= 2, "{chosen:?}");
}

#[test]
fn an_endpoint_that_fails_requests_is_avoided() {
    let mut pool = pool(4);
    let now = Instant::now();
    (0..20).for_each(|_| pool.record_outcome("e0", Outcome::Failure, now));
    let mut rng = SmallRng::seed_from_u64(1);
    let attributes = Attributes::default();
    let query = Query {
        service: "pool",
        engine: None,
        attributes: &attributes,
        requirement: &Requirement::Any,
        tried: &[],
        exhausted: &NO_ENDPOINTS,
    };

    let chosen = (0..100).filter_map(|_| choose(&pool, &query, now, &mut rng));

    assert_eq!(chosen.filter(|it| it.id == "e0").count(), 0);
}

#[test]
fn a_paused_endpoint_is_used_only_when_all_others_were_tried() {
    let mut pool = pool(2);
    let now = Instant::now();
    pool.record_outcome("e0", Outcome::Unreachable, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let attributes = prompt(1, 1);
    let check = |tried: &[&str], at: Instant, rng: &mut SmallRng, expected: Option<&str>| {
        let tried: Vec<String> = tried.iter().map(|it| (*it).to_owned()).collect();

        let choice = choose(&pool, &query(&attributes, &tried), at, rng);

        assert_eq!(choice.as_ref().map(|it| it.id.as_str()), expected, "{tried:?}");
    };

    check(&[], now, &mut rng, Some("e1"));
    check(&["e1"], now, &mut rng, Some("e0"));
    check(&["e0", "e1"], now + Duration::from_secs(9), &mut rng, None);
}

#[test]
fn an_endpoint_with_an_unread_entry_gets_no_streams_that_need_a_version() {
    let mut pool = pool(2);
    let described = pool.member("e0").unwrap().endpoint.clone();
    pool.record_restart("e0", described.started_at_ms + 1);
    let software = described.software;
    let attributes = prompt(1, 1);
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut check = |requirement: Requirement, tried: &str, expected: Option<&str>| {
        let tried = [tried.to_owned()];
        let query = Query { requirement: &requirement, ..query(&attributes, &tried) };

        let choice = choose(&pool, &query, now, &mut rng);

        assert_eq!(choice.as_ref().map(|it| it.id.as_str()), expected, "{requirement:?}");
    };

    check(Requirement::Exactly(software.clone()), "", Some("e1"));
    check(Requirement::Exactly(software), "e1", None);
    check(Requirement::Any, "e1", Some("e0"));
}

fn query<'a>(attributes: &'a Attributes, tried: &'a [String]) -> Query<'a> {
    Query {
        service: "pool",
        engine: Some(&ENGINE),
        attributes,
        tried,
        requirement: &Requirement::Any,
        exhausted: &NO_ENDPOINTS,
    }
}

fn prompt(part: u64, session: u64) -> Attributes {
    Attributes {
        size: Some(Size { prompt: SHARED_TOKENS + UNSHARED_TOKENS, output: 120 }),
        parts: vec![
            Part { id: part, tokens: SHARED_TOKENS },
            Part { id: 1 << 40 | session, tokens: UNSHARED_TOKENS },
        ],
        ..Attributes::default()
    }
}

fn pool(count: usize) -> Pool {
    let endpoint = |index| Endpoint {
        id: format!("e{index}"),
        service: "pool".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        software: "v1".to_owned(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        started_at_ms: 1,
    };
    let mut pool = Pool::default();
    let changes = (0..count).map(|index| Change::Updated(endpoint(index))).collect();
    let now = Instant::now();
    pool.apply(changes, 1, now, now);
    pool
}
