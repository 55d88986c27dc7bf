//! A leaving VM gets no new work, and daemons know of each other: by real
//! processes.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::caller::Draft;
use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::Daemon;
use harness::cluster::admin_call;
use harness::cluster::wait_for;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use standins::engine::protocol::Execution;

/// The users' bound: "after a few seconds".
const FEW_SECONDS: Duration = Duration::from_secs(3);
/// Lag of the VM list, well over that bound.
const LAG: Duration = Duration::from_secs(8);
/// Daemons of each user today.
const DAEMONS: usize = 7;
/// Time in which daemons read more because they have just started.
const AFTER_START: Duration = Duration::from_secs(7);
const SAMPLE: Duration = Duration::from_secs(8);

#[test]
fn a_noticed_vm_gets_no_new_call_while_the_list_lags() -> io::Result<()> {
    let cluster = deployment(LAG, 4)?;
    draft_everywhere(&cluster)?;
    let noticed = &cluster.engines[0];
    let since = Instant::now();

    cluster.reclaim(&[&noticed.vm], Duration::from_secs(60))?;
    for daemon in &cluster.daemons {
        wait_for("the notice", || state(daemon, &noticed.vm).is_some_and(|it| it != "live"))?;
    }
    let known_after = since.elapsed();
    thread::sleep(FEW_SECONDS.saturating_sub(known_after));
    let before = executions(&noticed.address)?;
    draft_everywhere(&cluster)?;

    println!("known to {} daemons after {} ms", cluster.daemons.len(), known_after.as_millis());
    assert!(since.elapsed() < LAG, "the list may have helped");
    assert!(known_after < FEW_SECONDS, "known after {known_after:?}");
    assert_eq!(executions(&noticed.address)?, before, "new work on a leaving VM");
    Ok(())
}

#[test]
fn the_platform_is_read_by_few() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    for at in 0..DAEMONS {
        cluster.add_daemon(&format!("daemon-{at}"), "tema-a")?;
    }
    cluster.wait_until_settled()?;
    thread::sleep(AFTER_START);

    let before = reads(&cluster)?;
    let sent_before = control_bytes(&cluster)?;
    thread::sleep(SAMPLE);
    let per_second = (reads(&cluster)? - before) as f64 / SAMPLE.as_secs_f64();

    let sent = (control_bytes(&cluster)? - sent_before) / SAMPLE.as_secs() / DAEMONS as u64;
    println!(
        "{DAEMONS} daemons read the platform {per_second:.1} times a second; \
         each sends {sent} bytes of control frames a second"
    );
    // The head row by each daemon every 2 s; list and notices by one daemon.
    let expected = DAEMONS as f64 / 2.0 + 2.0;
    assert!(per_second < 1.5 * expected, "{per_second} reads a second, {expected} expected");
    Ok(())
}

#[test]
fn an_address_comes_back_under_a_new_incarnation() -> io::Result<()> {
    let cluster = deployment(Duration::from_millis(200), 3)?;
    let engine = &cluster.engines[0];
    cluster.reclaim(&[&engine.vm, &cluster.engines[1].vm], Duration::from_secs(60))?;
    wait_for_state(&cluster.daemons, &engine.vm, "leaving")?;

    show(&cluster, 0, 2, "live")?;
    wait_for_state(&cluster.daemons, &engine.vm, "live")?;
    // The end of the first incarnation is told late.
    show(&cluster, 0, 1, "gone")?;
    thread::sleep(Duration::from_secs(2));

    wait_for_state(&cluster.daemons, &engine.vm, "live")?;
    let before = executions(&engine.address)?;
    draft_everywhere(&cluster)?;
    assert_eq!(executions(&engine.address)?, before + cluster.daemons.len());
    Ok(())
}

#[test]
fn a_frozen_daemon_is_found_and_comes_back() -> io::Result<()> {
    let cluster = deployment(Duration::from_millis(200), 4)?;
    let (frozen, others) = (&cluster.daemons[3], &cluster.daemons[..3]);

    frozen.process.signal(Signal::SIGSTOP)?;
    let since = Instant::now();
    wait_for_state(others, &frozen.name, "gone")?;
    println!("found after {} ms", since.elapsed().as_millis());
    frozen.process.signal(Signal::SIGCONT)?;
    let since = Instant::now();

    wait_for_state(others, &frozen.name, "live")?;
    println!("back after {} ms", since.elapsed().as_millis());
    for other in others {
        wait_for_state(std::slice::from_ref(frozen), &other.name, "live")?;
    }
    Ok(())
}

fn control_bytes(cluster: &Cluster) -> io::Result<u64> {
    let mut sum = 0;
    for daemon in &cluster.daemons {
        let text = cluster::get_text(&daemon.operators, "/metrics")?;
        let lines = text.lines();
        let mut counts =
            lines.filter_map(|it| it.strip_prefix("lentilhook_control_sent_bytes_total "));
        sum += counts.next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(sum)
}

fn reads(cluster: &Cluster) -> io::Result<u64> {
    let calls: Value = cluster::get(&cluster.platform.address, "/fake/calls")?;
    Ok(calls["reads"].as_u64().unwrap_or(0))
}

fn deployment(lag: Duration, daemons: usize) -> io::Result<Cluster> {
    let mut cluster = Cluster::start_with_lag(lag)?;
    for at in 0..2 {
        cluster.add_engine(&format!("engine-{at}"), &[])?;
    }
    for at in 0..daemons {
        cluster.add_daemon(&format!("daemon-{at}"), "tema-a")?;
    }
    cluster.configure()?;
    Ok(cluster)
}

fn draft_everywhere(cluster: &Cluster) -> io::Result<()> {
    for daemon in &cluster.daemons {
        let prompt = format!("A question through {}", daemon.name);
        let streamed = Draft::new(&daemon.callers, &prompt, 4).stream(|_| ())?;
        assert!(streamed.complete, "{:?}", streamed.problem);
    }
    Ok(())
}

fn executions(engine: &str) -> io::Result<usize> {
    cluster::get::<Vec<Execution>>(engine, "/fake/record").map(|it| it.len())
}

fn state(daemon: &Daemon, vm: &str) -> Option<String> {
    let list = admin_call(&daemon.operators, "ListVms", &json!({})).ok()?;
    let vms: &Vec<Value> = list["vms"].as_array()?;
    let found = vms.iter().find(|it| it["id"] == vm);
    // The list of VMs leaves out those that are gone.
    Some(found.map_or("gone".to_owned(), |it| it["state"].as_str().unwrap_or("").to_owned()))
}

fn wait_for_state(daemons: &[Daemon], vm: &str, expected: &str) -> io::Result<()> {
    for daemon in daemons {
        wait_for(&format!("{} to see {vm} {expected}", daemon.name), || {
            state(daemon, vm).as_deref() == Some(expected)
        })?;
    }
    Ok(())
}

fn show(cluster: &Cluster, engine: usize, incarnation: u64, state: &str) -> io::Result<()> {
    let engine = &cluster.engines[engine];
    let vm = json!({
        "id": engine.vm, "incarnation": incarnation, "role": "endpoint",
        "service": cluster::MODEL_SERVICE, "zone": "tema-a", "class": "runner",
        "address": engine.address, "price_per_hour": 1.0, "reclaimable": true, "state": state,
    });
    cluster::post(&cluster.platform.address, "/fake/vm", &vm)
}
