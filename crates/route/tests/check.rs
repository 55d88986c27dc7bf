//! Problems of configurations, and differences between them.

use route::check;
use route::check::Kind as FindingKind;
use route::config::Backend;
use route::config::Config;
use route::config::Engine;
use route::config::Kind;
use route::config::Quota;
use route::config::Route;
use route::config::Scale;
use route::config::Service;
use route::config::Unit;
use route::config::Workspace;
use route::config::ZonePrice;
use route::difference::differences;

#[test]
fn a_sound_configuration_has_no_findings() {
    let config = sound();

    let findings = check::check(&config);

    assert_eq!(findings, []);
}

#[test]
fn each_problem_is_reported_with_its_entry_and_remedy() {
    use FindingKind::Contradiction;
    use FindingKind::Error;
    use FindingKind::Unmatchable;
    use FindingKind::Warning;
    let check = |change: fn(&mut Config), kind: FindingKind, expected: &str| {
        let mut config = sound();
        change(&mut config);

        let findings = check::check(&config);

        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        let is_found =
            findings.iter().any(|it| it.kind == kind && it.to_string().contains(expected));
        assert!(is_found, "{expected:?} is not in {lines:?}");
    };

    check(|it| it.version = 0, Error, "configuration: version 0");
    check(|it| it.routes[1].name = "drafts".into(), Warning, "several routes have this name");
    check(|it| it.routes[1].prefix = "/drafts/".into(), Error, "[\"drafts\", \"lookups\"] have");
    check(|it| it.routes[0].prefix = "/drafts".into(), Unmatchable, "end it with a slash");
    check(|it| it.routes[0].prefix = "/a?b/".into(), Unmatchable, "without a query");
    check(|it| it.routes[0].host = "a.example:80".into(), Unmatchable, "without a port");
    check(|it| it.routes[0].backends.clear(), Error, "no service");
    check(|it| it.routes[0].backends[0].weight = 0, Error, "the weights are 0");
    check(|it| it.routes[0].backends[0].service = "x".into(), Error, "\"x\" doesn't exist");
    check(|it| it.routes[0].backends.push(backend("registry", 0)), Warning, "gets no request");
    check(|it| it.routes[0].backends.push(backend("registry", 5_000)), Warning, "\"engines\" gets");
    check(|it| it.routes[0].timeout_ms = 0, Error, "timeout 0");
    check(|it| it.routes[0].objective_ms = 9_000, Contradiction, "objective of 9000 ms");
    check(|it| it.routes[0].gap_ms = 9_000, Contradiction, "gap of 9000 ms");
    check(|it| it.routes[1].resumable = true, Contradiction, "not a stream");
    check(|it| it.services[1].name = "engines".into(), Error, "defined twice");
    check(|it| it.services[0].name = "unused".into(), Unmatchable, "no route uses it");
    check(|it| scale(it).min = 9, Contradiction, "at least 9 endpoints a zone, but at most 4");
    check(|it| scale(it).max = 0, Warning, "none is ordered");
    check(|it| scale(it).zones.clear(), Error, "no zone has a price");
    check(|it| scale(it).zones[0].price = -1.0, Error, "use one from 0");
    check(|it| it.workspaces[1].keys = vec!["k1".into()], Error, "workspace \"small\" too");
    check(|it| it.workspaces[0].keys.clear(), Unmatchable, "no key");
    check(|it| it.workspaces[0].keys[0] = " k1".into(), Unmatchable, "key 1 is empty, or has");
    check(|it| quota(it).burst = 100.0, Contradiction, "waits for the whole burst of 100");
    check(|it| quota(it).burst = 0.0, Warning, "one after the other");
    check(|it| quota(it).rate = f64::NAN, Error, "no number");
    check(|it| quota(it).unit = Unit::Tokens { default_tokens: 0.0 }, Warning, "charged none");
    check(|it| it.limits.body_bytes = 0, Warning, "only requests without one");
    check(|it| it.limits.idle_ms = 0, Error, "idle timeout is 0");
}

#[test]
fn valid_configurations_have_no_errors() {
    let check = |change: fn(&mut Config)| {
        let mut config = sound();
        change(&mut config);

        let findings = check::check(&config);

        assert!(findings.iter().all(|it| it.kind != FindingKind::Error), "{findings:?}");
    };

    check(|it| it.routes.iter_mut().for_each(|it| it.name = String::new()));
    check(|it| it.workspaces.clear());
    check(|it| quota(it).burst = 0.0);
    check(|it| it.limits.head_ms = 60_000);
    check(|it| it.routes[0].host = "[::1]".into());
    check(|it| it.services[0].max_connections = 1);
}

#[test]
fn a_change_of_version_and_keys_is_checked() {
    let in_force = sound();
    let check = |change: fn(&mut Config), expected: &[&str]| {
        let mut new = Config { version: in_force.version + 1, ..sound() };
        change(&mut new);

        let findings = check::check_change(&in_force, &new);

        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        assert_eq!(lines.len(), expected.len(), "{lines:?}");
        assert!(lines.iter().zip(expected).all(|(line, it)| line.contains(it)), "{lines:?}");
    };

    check(|_| (), &[]);
    check(|it| it.version = 3, &["version 3 doesn't replace version 3"]);
    check(|it| it.workspaces.clear(), &["anyone may call them"]);
}

#[test]
fn keys_are_not_repeated() {
    let mut config = sound();
    config.workspaces[1].keys = vec!["k1".into()];

    let lines: Vec<String> = check::check(&config).iter().map(ToString::to_string).collect();
    let changes: Vec<String> =
        differences(&sound(), &config).iter().map(ToString::to_string).collect();

    assert!(lines.iter().chain(&changes).all(|it| !it.contains("k1") && !it.contains("k2")));
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].starts_with("changed: workspace \"small\": keys 1 (hash "), "{changes:?}");
}

#[test]
fn differences_name_entries_and_fields() {
    let former = sound();
    let mut new = sound();
    new.routes[0].timeout_ms = 7_000;
    new.routes[1].name = "stock".into();
    new.limits.idle_ms = 1_000;

    let lines: Vec<String> = differences(&former, &new).iter().map(ToString::to_string).collect();

    assert_eq!(
        lines,
        [
            "changed: limits: idle_ms 15000 -> 1000",
            "changed: route \"drafts\": timeout_ms 8000 -> 7000",
            "removed: route \"lookups\"",
            "added: route \"stock\"",
        ]
    );
    assert_eq!(differences(&former, &former), []);
}

#[test]
fn entries_with_the_same_name_are_told_apart() {
    let mut former = sound();
    former.routes.iter_mut().for_each(|it| it.name = String::new());
    let mut new = former.clone();
    new.routes[0].prefix = "/a/".into();
    new.routes[1].prefix = "/b/".into();

    let lines: Vec<String> = differences(&former, &new).iter().map(ToString::to_string).collect();

    assert_eq!(
        lines,
        [
            "changed: route \"\": prefix \"/drafts/\" -> \"/a/\"",
            "changed: route \"\" (2): prefix \"/lookups/\" -> \"/b/\"",
        ]
    );
}

fn backend(service: &str, weight: u32) -> Backend {
    Backend { service: service.into(), weight }
}

fn scale(config: &mut Config) -> &mut Scale {
    config.services[0].scale.as_mut().unwrap()
}

fn quota(config: &mut Config) -> &mut Quota {
    config.workspaces[0].quota.as_mut().unwrap()
}

fn sound() -> Config {
    let mut drafts = route("drafts", "engines");
    drafts.kind = Kind::Stream;
    drafts.resumable = true;
    let zones = vec![ZonePrice { zone: "zone-a".into(), price: 0.8 }];
    let scale = Scale { min: 1, max: 4, boot_ms: 4_000, reclaimable_price: Some(0.2), zones };
    let engine = Engine { slots: 16, memory_tokens: 500_000, event_tokens: 4 };
    let unit = Unit::Tokens { default_tokens: 200.0 };
    let quota = Quota { unit, rate: 1_000.0, burst: 2_000.0 };
    Config {
        version: 3,
        routes: vec![drafts, route("lookups", "registry")],
        services: vec![
            Service { engine: Some(engine), scale: Some(scale), ..service("engines") },
            service("registry"),
        ],
        workspaces: vec![
            Workspace { quota: Some(quota), ..workspace("large", "k1") },
            workspace("small", "k2"),
        ],
        ..Config::default()
    }
}

fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/"),
        kind: Kind::Safe,
        timeout_ms: 8_000,
        objective_ms: 1_000,
        gap_ms: 600,
        priority: 0,
        backends: vec![Backend { service: service.into(), weight: 1 }],
        attempts: 2,
        public: false,
        resumable: false,
    }
}

fn service(name: &str) -> Service {
    Service { name: name.into(), max_connections: 100, engine: None, scale: None }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace { name: name.into(), keys: vec![key.into()], priority: None, quota: None }
}
