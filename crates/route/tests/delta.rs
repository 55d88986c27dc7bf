//! Replicas that follow the configuration by its changes.

use std::ops::Range;

use arbtest::arbtest;
use route::config::Config;
use route::config::Kind;
use route::config::Route;
use route::delta::Changes;
use route::delta::Delta;
use xxhash_rust::xxh3::xxh3_64;

const ROUTES: u64 = 2_000;
const VERSIONS: u64 = 300;
/// Seed numbers. The lower half of an arbtest seed is the size of the input in bytes.
const SEEDS: u64 = 300;
const REPLICAS: usize = 5;
/// What a link of 10 Mbit/s carries in a millisecond.
const MAX_DELTA_BYTES: usize = 10_000_000 / 8 / 1_000;

#[test]
fn a_change_of_one_route_takes_few_bytes() {
    let first = config(1, 0..ROUTES);
    let second = Config { version: 2, ..changed(&first, 77) };
    let mut changes = Changes::default();
    changes.record(&Config::default(), &first);
    changes.record(&first, &second);

    let delta = changes.since(1, &second).expect("the change is known");

    assert!(size(&delta) <= MAX_DELTA_BYTES, "{} bytes", size(&delta));
    assert_eq!(sorted(delta.apply(&first).unwrap()), sorted(second));
}

#[test]
fn replicas_that_skip_versions_agree_with_the_sender_or_pull_all() {
    let mut wholes = 0;
    let mut pulls = 0;
    for seed in 0..20 {
        let mut replicas: Vec<(Config, Changes)> = vec![Default::default(); REPLICAS];
        let mut config = config(1, 0..20);
        for step in 0..VERSIONS {
            config = next(&config, draw(seed, step));
            for replica in 0..REPLICAS {
                // The first replica reads the store, and the others pull from each other.
                let at = draw(seed, step * 100 + replica as u64);
                let newer = if replica == 0 {
                    at.is_multiple_of(2).then(|| config.clone())
                } else {
                    let sender = replicas[at as usize % replica].clone();
                    pulls += 1;
                    pull(&sender, &replicas[replica].0, &mut wholes)
                };
                if let Some(newer) = newer {
                    let (current, changes) = &mut replicas[replica];
                    changes.record(current, &newer);
                    *current = newer;
                }
            }
            for (replica, _) in &replicas {
                assert!(replica.version <= config.version);
            }
        }
        let reference = sorted(replicas[0].0.clone());
        for (replica, _) in replicas.iter().filter(|(it, _)| it.version == reference.version) {
            assert_eq!(sorted(replica.clone()), reference, "seed {seed}");
        }
    }
    assert!(wholes * 10 <= pulls, "{wholes} whole configurations in {pulls} pulls");
}

#[test]
fn a_delta_is_rejected_unless_it_leads_to_the_senders_configuration() {
    let first = config(1, 0..20);
    let second = Config { version: 2, ..changed(&first, 7) };
    let mut changes = Changes::default();
    changes.record(&Config::default(), &first);
    changes.record(&first, &second);
    let delta = changes.since(1, &second).unwrap();
    let check = |base: &Config| assert_eq!(delta.clone().apply(base), None);

    check(&Config { version: 0, ..first.clone() });
    check(&Config { version: 3, ..first.clone() });
    check(&changed(&first, 8));
    check(&config(1, 0..21));
}

#[test]
fn routes_without_a_name_or_with_the_same_one_lead_to_the_senders_configuration_or_to_none() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut configs = Vec::new();
            for version in 1..=4 {
                let numbers: Vec<u8> = u.arbitrary()?;
                let routes = numbers.iter().map(|it| Route {
                    name: ["", "a", "b"][usize::from(it % 3)].to_owned(),
                    ..route(u64::from(it % 12))
                });
                configs.push(Config { version, routes: routes.collect(), ..Config::default() });
            }
            let mut changes = Changes::default();
            changes.record(&Config::default(), &configs[0]);
            configs.windows(2).for_each(|it| changes.record(&it[0], &it[1]));
            let latest = &configs[3];

            for base in &configs[..3] {
                let delta = changes.since(base.version, latest).expect("the changes are known");
                if let Some(applied) = delta.apply(base) {
                    assert_eq!(distinct(&applied), distinct(latest));
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 128);
    }
}

/// Returns the routes in a certain order, and copies of a route only once.
fn distinct(config: &Config) -> Vec<Route> {
    let mut routes = config.routes.clone();
    routes.sort_by(|a, b| (&a.name, &a.prefix).cmp(&(&b.name, &b.prefix)));
    routes.dedup();
    routes
}

#[test]
fn nothing_is_sent_to_daemons_whose_version_is_unknown_or_not_older() {
    let first = config(5, 0..20);
    let second = Config { version: 6, ..changed(&first, 7) };
    let mut changes = Changes::default();
    changes.record(&Config::default(), &first);
    changes.record(&first, &second);

    let check = |since: u64| assert_eq!(changes.since(since, &second), None, "{since}");

    check(0);
    check(4);
    check(6);
    check(7);
}

/// Returns the sender's configuration as a daemon with `current` gets it, if it is newer.
fn pull(sender: &(Config, Changes), current: &Config, wholes: &mut u64) -> Option<Config> {
    let (config, changes) = sender;
    if config.version <= current.version {
        return None;
    }
    let applied = changes.since(current.version, config).and_then(|it| it.apply(current));
    *wholes += u64::from(applied.is_none());
    Some(applied.unwrap_or_else(|| config.clone()))
}

/// Returns the next version, in which a route was changed, added or removed.
fn next(config: &Config, draw: u64) -> Config {
    let mut next = Config { version: config.version + 1, ..config.clone() };
    let index = (draw >> 8) as usize % next.routes.len();
    match draw % 4 {
        0 => next.routes.push(route(1_000 + next.version)),
        1 if next.routes.len() > 10 => drop(next.routes.swap_remove(index)),
        _ => next.routes[index].timeout_ms += 1,
    }
    next
}

fn changed(config: &Config, index: usize) -> Config {
    let mut config = config.clone();
    config.routes[index].timeout_ms += 1;
    config
}

fn config(version: u64, routes: Range<u64>) -> Config {
    Config { version, routes: routes.map(route).collect(), ..Config::default() }
}

fn route(number: u64) -> Route {
    Route {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 40),
        prefix: format!("/path-{number}/"),
        kind: Kind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_ms: 0,
        priority: 1,
        backends: Vec::new(),
        attempts: 2,
        public: false,
        resumable: false,
    }
}

fn sorted(mut config: Config) -> Config {
    config.routes.sort_by(|a, b| a.name.cmp(&b.name));
    config
}

fn size(delta: &Delta) -> usize {
    bincode::encode_to_vec(delta, bincode::config::standard()).unwrap().len()
}

fn draw(seed: u64, step: u64) -> u64 {
    xxh3_64(format!("{seed} {step}").as_bytes())
}
