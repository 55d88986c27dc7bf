//! Accepted completions survive reclaims of their endpoints.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::MODEL_SERVICE;
use harness::cluster::wait_for;
use harness::load::Load;
use serde_json::json;
use standins::engine::protocol::Execution;

const NOTICE: Duration = Duration::from_millis(2500);
const NO_FAILURES: [String; 0] = [];

#[test]
fn streams_survive_the_reclaim_of_an_engine() -> io::Result<()> {
    let mut cluster = deployment(&["e1"])?;
    let load = open_streams(&cluster, 9, 800)?;
    add_engines(&mut cluster, &["e2", "e3"])?;

    let deadline = issue_notice(&cluster, &["e1"])?;
    sleep_until(deadline);
    cluster.kill_engines(&["e1"])?;

    assert_eq!(load.failures(), NO_FAILURES);
    assert_eq!(logged_plans(&cluster), 9);
    Ok(())
}

#[test]
fn streams_survive_the_reclaim_of_a_zone_and_a_second_wave() -> io::Result<()> {
    let mut cluster = deployment(&["e1", "e2"])?;
    let load = open_streams(&cluster, 15, 900)?;
    add_engines(&mut cluster, &["e3", "e4", "e5"])?;

    let first = issue_notice(&cluster, &["e1", "e2"])?;
    wait_for("the first plan", || logged_plans(&cluster) >= 15)?;
    let second = issue_notice(&cluster, &["e3", "e4"])?;
    sleep_until(first);
    cluster.kill_engines(&["e1", "e2"])?;
    sleep_until(second);
    cluster.kill_engines(&["e3", "e4"])?;

    assert_eq!(load.failures(), NO_FAILURES);
    assert!(logged_plans(&cluster) > 15, "the second wave affected no stream");
    Ok(())
}

#[test]
fn streams_survive_engines_killed_before_their_notice_ends() -> io::Result<()> {
    let mut cluster = deployment(&["e1", "e2"])?;
    let load = open_streams(&cluster, 10, 800)?;
    add_engines(&mut cluster, &["e3", "e4"])?;

    issue_notice(&cluster, &["e1", "e2"])?;
    wait_for("a plan", || logged_plans(&cluster) > 0)?;
    cluster.kill_engines(&["e1", "e2"])?;

    assert_eq!(load.failures(), NO_FAILURES);
    assert!(!cluster.logs()?.contains("endpoint died"), "a reclaim was counted as a crash");
    Ok(())
}

#[test]
fn accepted_streams_wait_for_an_engine() -> io::Result<()> {
    let mut cluster = deployment(&["e1"])?;
    let load = open_streams(&cluster, 6, 400)?;

    let deadline = issue_notice(&cluster, &["e1"])?;
    sleep_until(deadline);
    cluster.kill_engines(&["e1"])?;
    add_engines(&mut cluster, &["e2"])?;

    assert_eq!(load.failures(), NO_FAILURES);
    assert!(
        !cluster.logs()?.contains("unexpected event"),
        "a request received an event that its state chart does not allow"
    );
    Ok(())
}

#[test]
fn the_plan_recomputes_less_than_always_recomputing() -> io::Result<()> {
    let weights = [("always recompute", 0.0), ("plan", 1.0), ("always move", 1e9)];

    let mut token_counts = Vec::new();
    for (name, weight) in weights {
        let tokens = recomputed_tokens(weight)?;
        println!("{name}: {tokens} tokens recomputed");
        token_counts.push(tokens);
    }

    assert!(token_counts[1] * 2 < token_counts[0], "{token_counts:?}");
    Ok(())
}

/// Returns the tokens that the surviving engines recompute after one wave,
/// according to their own record.
fn recomputed_tokens(weight: f64) -> io::Result<usize> {
    let mut cluster = deployment(&["e1", "e2"])?;
    let catalog = cluster.admin("GetCatalog", &json!({}))?;
    let services = catalog["services"].as_array().cloned().unwrap_or_default();
    let model = services.iter().find(|it| it["name"] == MODEL_SERVICE);
    let revision = model.map_or(0, |it| it["revision"].as_u64().unwrap_or(0));
    let service = json!({ "expected_revision": revision, "service": {
        "name": MODEL_SERVICE, "kind": "model", "priority": 0,
        "first_token_target_ms": 670, "token_target_ms": 31,
        "cost_weight": 1.0, "recompute_weight": weight,
    }});
    cluster.admin("PutService", &service)?;
    cluster.wait_until_settled()?;
    let prompts: Vec<String> = (0..12)
        .map(|it| format!("{it}: {}", "history ".repeat(if it % 2 == 0 { 20 } else { 1000 })))
        .collect();
    let load = Load::open(&addresses(&cluster), &prompts, 800);
    load.wait_for_tokens(20)?;
    // The other engines start only now, so that all streams run on the engines to be
    // reclaimed, whichever endpoints routing would prefer.
    add_engines(&mut cluster, &["e3", "e4"])?;

    let deadline = issue_notice(&cluster, &["e1", "e2"])?;
    sleep_until(deadline);
    cluster.kill_engines(&["e1", "e2"])?;

    assert_eq!(load.failures(), NO_FAILURES);
    let mut tokens = 0;
    for engine in &cluster.engines {
        let record: Vec<Execution> = cluster::get(&engine.address, "/fake/record")?;
        let resumed = record.iter().filter(|it| it.first_index > 0);
        tokens += resumed.map(|it| it.computed_tokens).sum::<usize>();
    }
    Ok(tokens)
}

fn deployment(engines: &[&str]) -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    add_engines(&mut cluster, engines)?;
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.add_daemon("entry-2", "kpone")?;
    cluster.configure()?;
    Ok(cluster)
}

fn add_engines(cluster: &mut Cluster, engines: &[&str]) -> io::Result<()> {
    for engine in engines {
        cluster.add_engine(engine, &["--token-us", "10000"])?;
    }
    cluster.wait_until_settled()
}

/// Returns the number of recovery plans that the daemons have logged.
fn logged_plans(cluster: &Cluster) -> usize {
    cluster.logs().map_or(0, |it| it.matches("] recovered {").count())
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    cluster.daemons.iter().map(|it| it.callers.clone()).collect()
}

fn open_streams(cluster: &Cluster, streams: usize, tokens: u32) -> io::Result<Load> {
    let prompts: Vec<String> = (0..streams).map(|it| format!("dossier of batch {it}")).collect();
    let load = Load::open(&addresses(cluster), &prompts, tokens);
    load.wait_for_tokens(20)?;
    Ok(load)
}

fn issue_notice(cluster: &Cluster, vms: &[&str]) -> io::Result<Instant> {
    let deadline = Instant::now() + NOTICE;
    cluster.reclaim(vms, NOTICE)?;
    Ok(deadline)
}

/// Sleeps until the end of a notice. The platform reclaims VMs at a fixed time,
/// whether or not the daemons are ready.
fn sleep_until(deadline: Instant) {
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
}
