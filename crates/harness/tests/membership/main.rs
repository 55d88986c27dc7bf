//! With real processes: a leaving VM gets no new work, and daemons discover each
//! other.

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

/// Bound required by the users, who ask for "a few seconds".
const NOTICE_BOUND: Duration = Duration::from_secs(3);
/// Lag of the VM list, well above that bound.
const LIST_LAG: Duration = Duration::from_secs(8);
/// Number of daemons in each user's present deployment.
const DAEMONS: usize = 7;
/// Time after a start during which daemons read the platform more often.
const STARTUP_TIME: Duration = Duration::from_secs(7);
const SAMPLE_DURATION: Duration = Duration::from_secs(8);

#[test]
fn a_vm_with_a_reclaim_notice_gets_no_new_call_while_the_list_lags() -> io::Result<()> {
    let cluster = deployment(LIST_LAG, 4)?;
    draft_everywhere(&cluster)?;
    let reclaimed = &cluster.engines[0];
    let since = Instant::now();

    cluster.reclaim(&[&reclaimed.vm], Duration::from_secs(60))?;
    for daemon in &cluster.daemons {
        wait_for("the notice", || vm_state(daemon, &reclaimed.vm).is_some_and(|it| it != "live"))?;
    }
    let noticed_after = since.elapsed();
    thread::sleep(NOTICE_BOUND.saturating_sub(noticed_after));
    let before = executions(&reclaimed.address)?;
    draft_everywhere(&cluster)?;

    println!(
        "notice known to {} daemons after {} ms",
        cluster.daemons.len(),
        noticed_after.as_millis()
    );
    assert!(since.elapsed() < LIST_LAG, "the list may have shown the notice already");
    assert!(noticed_after < NOTICE_BOUND, "notice known after {noticed_after:?}");
    assert_eq!(executions(&reclaimed.address)?, before, "a leaving VM got new work");
    Ok(())
}

#[test]
fn few_daemons_read_the_platform() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    for number in 0..DAEMONS {
        cluster.add_daemon(&format!("daemon-{number}"), "tema-a")?;
    }
    cluster.wait_until_settled()?;
    thread::sleep(STARTUP_TIME);

    let reads_before = reads(&cluster)?;
    let sent_before = control_bytes(&cluster)?;
    thread::sleep(SAMPLE_DURATION);
    let reads_per_second = (reads(&cluster)? - reads_before) as f64 / SAMPLE_DURATION.as_secs_f64();

    let sent =
        (control_bytes(&cluster)? - sent_before) / SAMPLE_DURATION.as_secs() / DAEMONS as u64;
    println!(
        "{DAEMONS} daemons read the platform {reads_per_second:.1} times per second; \
         each sends {sent} bytes of control frames per second"
    );
    // Each daemon reads the head row every 2 s. One daemon reads the list and the notices.
    let expected = DAEMONS as f64 / 2.0 + 2.0;
    assert!(
        reads_per_second < 1.5 * expected,
        "{reads_per_second} reads per second, {expected} expected"
    );
    Ok(())
}

#[test]
fn an_address_is_reused_by_a_new_incarnation() -> io::Result<()> {
    let cluster = deployment(Duration::from_millis(200), 3)?;
    let engine = &cluster.engines[0];
    cluster.reclaim(&[&engine.vm, &cluster.engines[1].vm], Duration::from_secs(60))?;
    wait_for_state(&cluster.daemons, &engine.vm, "leaving")?;

    post_vm(&cluster, 0, 2, "live")?;
    wait_for_state(&cluster.daemons, &engine.vm, "live")?;
    // The end of the first incarnation is reported late.
    post_vm(&cluster, 0, 1, "gone")?;
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

    let result = freeze_and_resume(&cluster);

    if result.is_err() {
        println!("{}", cluster.logs()?);
    }
    result
}

fn freeze_and_resume(cluster: &Cluster) -> io::Result<()> {
    let (paused, others) = (&cluster.daemons[3], &cluster.daemons[..3]);

    paused.process.signal(Signal::SIGSTOP)?;
    let since = Instant::now();
    wait_for_state(others, &paused.name, "gone")?;
    println!("reported gone after {} ms", since.elapsed().as_millis());
    paused.process.signal(Signal::SIGCONT)?;
    let since = Instant::now();

    wait_for_state(others, &paused.name, "live")?;
    println!("live again after {} ms", since.elapsed().as_millis());
    for other in others {
        wait_for_state(std::slice::from_ref(paused), &other.name, "live")?;
    }
    Ok(())
}

fn control_bytes(cluster: &Cluster) -> io::Result<u64> {
    let mut sum = 0;
    for daemon in &cluster.daemons {
        let text = cluster::get_text(&daemon.operators, "/metrics")?;
        let lines = text.lines();
        let mut values =
            lines.filter_map(|it| it.strip_prefix("lentilhook_control_sent_bytes_total "));
        sum += values.next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(sum)
}

fn reads(cluster: &Cluster) -> io::Result<u64> {
    let calls: Value = cluster::get(&cluster.platform.address, "/fake/calls")?;
    Ok(calls["reads"].as_u64().unwrap_or(0))
}

fn deployment(lag: Duration, daemons: usize) -> io::Result<Cluster> {
    let mut cluster = Cluster::start_with_lag(lag)?;
    for number in 0..2 {
        cluster.add_engine(&format!("engine-{number}"), &[])?;
    }
    for number in 0..daemons {
        cluster.add_daemon(&format!("daemon-{number}"), "tema-a")?;
    }
    cluster.configure()?;
    Ok(cluster)
}

fn draft_everywhere(cluster: &Cluster) -> io::Result<()> {
    for daemon in &cluster.daemons {
        let prompt = format!("A question through {}", daemon.name);
        let completion = Draft::new(&daemon.callers, &prompt, 4).stream(|_| ())?;
        assert!(completion.complete, "{:?}", completion.problem);
    }
    Ok(())
}

fn executions(engine: &str) -> io::Result<usize> {
    cluster::get::<Vec<Execution>>(engine, "/fake/record").map(|it| it.len())
}

fn vm_state(daemon: &Daemon, vm: &str) -> Option<String> {
    let list = admin_call(&daemon.operators, "ListVms", &json!({})).ok()?;
    let vms: &Vec<Value> = list["vms"].as_array()?;
    let found = vms.iter().find(|it| it["id"] == vm);
    // The list omits VMs that are gone.
    Some(found.map_or("gone".to_owned(), |it| it["state"].as_str().unwrap_or("").to_owned()))
}

fn wait_for_state(daemons: &[Daemon], vm: &str, expected: &str) -> io::Result<()> {
    for daemon in daemons {
        wait_for(&format!("{} to see {vm} {expected}", daemon.name), || {
            vm_state(daemon, vm).as_deref() == Some(expected)
        })?;
    }
    Ok(())
}

fn post_vm(cluster: &Cluster, engine: usize, incarnation: u64, state: &str) -> io::Result<()> {
    let engine = &cluster.engines[engine];
    let vm = json!({
        "id": engine.vm, "incarnation": incarnation, "role": "endpoint",
        "service": cluster::MODEL_SERVICE, "zone": "tema-a", "class": "runner",
        "address": engine.address, "price_per_hour": 1.0, "reclaimable": true, "state": state,
    });
    cluster::post(&cluster.platform.address, "/fake/vm", &vm)
}
