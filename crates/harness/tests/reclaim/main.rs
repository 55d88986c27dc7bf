//! Accepted completions through reclaims of their endpoints.

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
const NONE: [String; 0] = [];

#[test]
fn streams_outlive_one_engine() -> io::Result<()> {
    let mut cluster = deployment(&["e1"])?;
    let load = open(&cluster, 9, 800)?;
    add_engines(&mut cluster, &["e2", "e3"])?;

    let deadline = notice(&cluster, &["e1"])?;
    wait_until(deadline);
    cluster.kill_engines(&["e1"])?;

    assert_eq!(load.faults(), NONE);
    assert_eq!(planned(&cluster), 9);
    Ok(())
}

#[test]
fn streams_outlive_a_zone_and_a_second_wave() -> io::Result<()> {
    let mut cluster = deployment(&["e1", "e2"])?;
    let load = open(&cluster, 15, 900)?;
    add_engines(&mut cluster, &["e3", "e4", "e5"])?;

    let first = notice(&cluster, &["e1", "e2"])?;
    wait_for("the first plan", || planned(&cluster) >= 15)?;
    let second = notice(&cluster, &["e3", "e4"])?;
    wait_until(first);
    cluster.kill_engines(&["e1", "e2"])?;
    wait_until(second);
    cluster.kill_engines(&["e3", "e4"])?;

    assert_eq!(load.faults(), NONE);
    assert!(planned(&cluster) > 15, "the second wave met no stream");
    Ok(())
}

#[test]
fn streams_outlive_engines_killed_partway_through_their_notice() -> io::Result<()> {
    let mut cluster = deployment(&["e1", "e2"])?;
    let load = open(&cluster, 10, 800)?;
    add_engines(&mut cluster, &["e3", "e4"])?;

    notice(&cluster, &["e1", "e2"])?;
    wait_for("a plan", || planned(&cluster) > 0)?;
    cluster.kill_engines(&["e1", "e2"])?;

    assert_eq!(load.faults(), NONE);
    assert!(!cluster.logs()?.contains("endpoint died"), "a reclaim counted as a crash");
    Ok(())
}

#[test]
fn accepted_streams_wait_for_an_engine() -> io::Result<()> {
    let mut cluster = deployment(&["e1"])?;
    let load = open(&cluster, 6, 400)?;

    let deadline = notice(&cluster, &["e1"])?;
    wait_until(deadline);
    cluster.kill_engines(&["e1"])?;
    add_engines(&mut cluster, &["e2"])?;

    assert_eq!(load.faults(), NONE);
    Ok(())
}

#[test]
fn the_plan_recomputes_less_than_always_recomputing() -> io::Result<()> {
    let weights = [("always recompute", 0.0), ("plan", 1.0), ("always move", 1e9)];

    let mut measured = Vec::new();
    for (name, weight) in weights {
        let tokens = recomputed(weight)?;
        println!("{name}: {tokens} tokens recomputed");
        measured.push(tokens);
    }

    assert!(measured[1] * 2 < measured[0], "{measured:?}");
    Ok(())
}

/// Tokens that the survivors of one wave compute again, by their own record.
fn recomputed(weight: f64) -> io::Result<usize> {
    let mut cluster = deployment(&["e1", "e2"])?;
    let catalog = cluster.admin("GetCatalog", &json!({}))?;
    let services = catalog["services"].as_array().cloned().unwrap_or_default();
    let model = services.iter().find(|it| it["name"] == MODEL_SERVICE);
    let known = model.map_or(0, |it| it["revision"].as_u64().unwrap_or(0));
    let service = json!({ "expected_revision": known, "service": {
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
    // All streams are on the engines that go, whatever routing prefers.
    add_engines(&mut cluster, &["e3", "e4"])?;

    let deadline = notice(&cluster, &["e1", "e2"])?;
    wait_until(deadline);
    cluster.kill_engines(&["e1", "e2"])?;

    assert_eq!(load.faults(), NONE);
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

/// Streams for which the daemons have logged a plan.
fn planned(cluster: &Cluster) -> usize {
    cluster.logs().map_or(0, |it| it.matches("] recovered {").count())
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    cluster.daemons.iter().map(|it| it.callers.clone()).collect()
}

fn open(cluster: &Cluster, streams: usize, tokens: u32) -> io::Result<Load> {
    let prompts: Vec<String> = (0..streams).map(|it| format!("dossier of batch {it}")).collect();
    let load = Load::open(&addresses(cluster), &prompts, tokens);
    load.wait_for_tokens(20)?;
    Ok(load)
}

fn notice(cluster: &Cluster, vms: &[&str]) -> io::Result<Instant> {
    let deadline = Instant::now() + NOTICE;
    cluster.reclaim(vms, NOTICE)?;
    Ok(deadline)
}

/// The reclaim comes at a time of its own, not when something is ready.
fn wait_until(deadline: Instant) {
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
}
