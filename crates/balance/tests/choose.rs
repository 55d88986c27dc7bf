//! Where requests go under a load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use balance::choose::Need;
use balance::choose::choose;
use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::health::Outcome;
use balance::pool::Pool;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::config::Engine;
use route::request::Asked;
use route::request::Part;
use route::request::Size;

const ENGINE: Engine = Engine { slots: 64, memory_tokens: 560_000, event_tokens: 3 };
const SHARED_TOKENS: u32 = 13_000;
const OWN_TOKENS: u32 = 3_000;

#[test]
fn requests_with_a_shared_part_meet_at_one_endpoint_on_all_daemons() {
    let mut homes: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for daemon in 0..5 {
        let pool = pool(8);
        let mut rng = SmallRng::seed_from_u64(daemon);
        for part in 0..40 {
            let asked = dossier(part, daemon);
            let choice = choose(&pool, &need(&asked, &[]), Instant::now(), &mut rng).unwrap();
            homes.entry(part).or_default().insert(choice.id);
        }
    }

    assert!(homes.values().all(|it| it.len() == 1), "{homes:?}");
    let used: BTreeSet<_> = homes.values().flatten().collect();
    assert!(used.len() >= 6, "{used:?}");
}

/// The first part was that of every prompt of a route, and one endpoint was
/// home to all of them.
#[test]
fn sessions_that_share_their_first_part_have_homes_of_their_own() {
    let pool = pool(8);
    let mut rng = SmallRng::seed_from_u64(3);
    let homes: BTreeSet<String> = (0..40)
        .filter_map(|session| {
            let mut asked = dossier(session, 1);
            asked.parts.insert(0, Part { id: 9_999, tokens: 800 });
            choose(&pool, &need(&asked, &[]), Instant::now(), &mut rng)
        })
        .map(|it| it.id)
        .collect();

    assert!(homes.len() >= 6, "{homes:?}");
}

#[test]
fn prompts_go_elsewhere_when_those_ahead_cost_more_than_reading_again() {
    let mut pool = pool(4);
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::now();
    let mut chosen = Vec::new();
    for session in 0..12 {
        let asked = dossier(7, session);
        let choice = choose(&pool, &need(&asked, &[]), now, &mut rng).unwrap();
        let member = pool.member_mut(&choice.id).unwrap();
        member.own = member.own.plus(choice.load);
        chosen.push(choice.id);
    }

    let home = &chosen[0];
    let first = chosen.iter().take_while(|it| *it == home).count();
    assert!((3..=8).contains(&first), "{chosen:?}");
    assert!(chosen.iter().collect::<BTreeSet<_>>().len() >= 2, "{chosen:?}");
}

#[test]
fn endpoints_that_fail_requests_get_few() {
    let mut pool = pool(4);
    let now = Instant::now();
    (0..20).for_each(|_| pool.note("e0", Outcome::Bad, now));
    let mut rng = SmallRng::seed_from_u64(1);
    let asked = Asked::default();
    let plain = Need { service: "pool", engine: None, asked: &asked, tried: &[] };

    let chosen = (0..100).filter_map(|_| choose(&pool, &plain, now, &mut rng));

    assert_eq!(chosen.filter(|it| it.id == "e0").count(), 0);
}

#[test]
fn a_paused_endpoint_is_used_only_when_all_others_were_tried() {
    let mut pool = pool(2);
    let now = Instant::now();
    pool.note("e0", Outcome::Dead, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let asked = dossier(1, 1);
    let check = |tried: &[&str], at: Instant, rng: &mut SmallRng, expected: Option<&str>| {
        let tried: Vec<String> = tried.iter().map(|it| (*it).to_owned()).collect();

        let choice = choose(&pool, &need(&asked, &tried), at, rng);

        assert_eq!(choice.as_ref().map(|it| it.id.as_str()), expected, "{tried:?}");
    };

    check(&[], now, &mut rng, Some("e1"));
    check(&["e1"], now, &mut rng, Some("e0"));
    check(&["e0", "e1"], now + Duration::from_secs(9), &mut rng, None);
}

fn need<'a>(asked: &'a Asked, tried: &'a [String]) -> Need<'a> {
    Need { service: "pool", engine: Some(&ENGINE), asked, tried }
}

fn dossier(part: u64, session: u64) -> Asked {
    Asked {
        size: Some(Size { prompt: SHARED_TOKENS + OWN_TOKENS, output: 120 }),
        parts: vec![
            Part { id: part, tokens: SHARED_TOKENS },
            Part { id: 1 << 40 | session, tokens: OWN_TOKENS },
        ],
        ..Asked::default()
    }
}

fn pool(count: usize) -> Pool {
    let endpoint = |at| Endpoint {
        id: format!("e{at}"),
        service: "pool".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        born_ms: 1,
    };
    let mut pool = Pool::default();
    pool.apply((0..count).map(|at| Change::Is(endpoint(at))).collect(), 1, false, Instant::now());
    pool
}
