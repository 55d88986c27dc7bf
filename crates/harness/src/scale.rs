//! Control-plane cost per daemon as the number of daemons grows: CPU time,
//! memory, platform calls and the propagation time of configuration changes.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standins::platform::Calls;

use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::admin_call;
use crate::measure::cpu_seconds;
use crate::measure::resident_mib;

/// Duration over which idle daemons are sampled.
const SAMPLE_DURATION: Duration = Duration::from_secs(20);
/// Number of configuration changes whose propagation is timed.
const CHANGE_COUNT: u32 = 10;
/// Timeout for a change to take effect on every daemon.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Availability zones of the daemons and endpoints.
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Measures each number of daemons in turn and prints one line for each.
pub fn run(numbers: &[usize], endpoints: usize) -> io::Result<()> {
    println!("daemons  endpoints  cpu_%_of_a_core  rss_MiB  reads/s  commits/s  change_s  worst_s");
    for daemons in numbers {
        measure(*daemons, endpoints)?;
    }
    Ok(())
}

fn measure(daemons: usize, endpoints: usize) -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    list_endpoints(&cluster, endpoints)?;
    for number in 0..daemons {
        cluster.add_daemon(&format!("entry-{number}"), ZONES[number % ZONES.len()])?;
    }
    cluster.configure()?;
    let cpu_before = total(&cluster, cpu_seconds)?;
    let calls_before = calls(&cluster)?;
    thread::sleep(SAMPLE_DURATION);
    let seconds = SAMPLE_DURATION.as_secs_f64();
    let cpu_share = (total(&cluster, cpu_seconds)? - cpu_before) / seconds / daemons as f64;
    let calls_after = calls(&cluster)?;
    let resident = total(&cluster, resident_mib)? / daemons as f64;
    let propagation_times = time_changes(&cluster)?;
    let mean = propagation_times.iter().map(Duration::as_secs_f64).sum::<f64>()
        / propagation_times.len() as f64;
    let worst = propagation_times.iter().max().map_or(0.0, Duration::as_secs_f64);
    println!(
        "{daemons:7}  {endpoints:9}  {:15.3}  {resident:7.1}  {:7.1}  {:9.2}  {mean:8.2}  {worst:7.2}",
        cpu_share * 100.0,
        (calls_after.reads - calls_before.reads) as f64 / seconds,
        (calls_after.commits - calls_before.commits) as f64 / seconds,
    );
    Ok(())
}

/// Adds endpoints without a process to the VM list. The daemons send them no
/// requests, so only their control-plane cost is measured.
fn list_endpoints(cluster: &Cluster, endpoints: usize) -> io::Result<()> {
    for number in 0..endpoints {
        let vm = json!({
            "id": format!("runner-{number}"), "incarnation": 1, "role": "endpoint",
            "service": "idle", "zone": ZONES[number % ZONES.len()], "class": "accelerator",
            "address": "127.0.0.1:1", "price_per_hour": 1.0, "reclaimable": true, "state": "live",
        });
        cluster::post(&cluster.platform.address, "/fake/vm", &vm)?;
    }
    Ok(())
}

/// Measures the times from the acceptance of a change until every daemon has
/// applied it.
fn time_changes(cluster: &Cluster) -> io::Result<Vec<Duration>> {
    let mut propagation_times = Vec::new();
    for number in 0..CHANGE_COUNT {
        let daemon = &cluster.daemons[number as usize % cluster.daemons.len()];
        let request = json!({ "workspace": {
            "name": format!("workspace-{number}"), "token_sha256": [], "share": 1,
        }});
        let applied = admin_call(&daemon.operators, "PutWorkspace", &request)?;
        let accepted = Instant::now();
        let revision = applied["revision"].as_u64().unwrap_or(0);
        wait_for_revision(cluster, revision, accepted + PROPAGATION_TIMEOUT)?;
        propagation_times.push(accepted.elapsed());
    }
    Ok(propagation_times)
}

fn wait_for_revision(cluster: &Cluster, revision: u64, deadline: Instant) -> io::Result<()> {
    for daemon in &cluster.daemons {
        loop {
            let catalog = admin_call(&daemon.operators, "GetCatalog", &json!({}));
            if catalog.is_ok_and(|it| it["revision"].as_u64() >= Some(revision)) {
                break;
            }
            if Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "{} has not applied revision {revision}",
                    daemon.name
                )));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(())
}

fn total(cluster: &Cluster, measure: fn(u32) -> io::Result<f64>) -> io::Result<f64> {
    cluster.daemons.iter().map(|it| measure(it.process.id())).sum()
}

fn calls(cluster: &Cluster) -> io::Result<Calls> {
    cluster::get(&cluster.platform.address, "/fake/calls")
}
