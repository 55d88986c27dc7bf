//! What control costs a daemon as their number grows: processor time, memory,
//! platform calls and the time until a change is in force everywhere.

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

/// Time over which idle daemons are watched.
const WATCHED: Duration = Duration::from_secs(20);
/// Changes whose spread is timed.
const CHANGES: u32 = 10;
/// Longest wait for a change to be in force everywhere.
const SPREAD_LIMIT: Duration = Duration::from_secs(30);
/// Availability zones that daemons are spread over.
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Prints one line for each number of daemons.
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
    let cpu = total(&cluster, cpu_seconds)?;
    let calls = calls(&cluster)?;
    thread::sleep(WATCHED);
    let seconds = WATCHED.as_secs_f64();
    let spent = (total(&cluster, cpu_seconds)? - cpu) / seconds / daemons as f64;
    let after = self::calls(&cluster)?;
    let resident = total(&cluster, resident_mib)? / daemons as f64;
    let spreads = time_changes(&cluster)?;
    let mean = spreads.iter().map(Duration::as_secs_f64).sum::<f64>() / spreads.len() as f64;
    let worst = spreads.iter().max().map_or(0.0, Duration::as_secs_f64);
    println!(
        "{daemons:7}  {endpoints:9}  {:15.3}  {resident:7.1}  {:7.1}  {:9.2}  {mean:8.2}  {worst:7.2}",
        spent * 100.0,
        (after.reads - calls.reads) as f64 / seconds,
        (after.commits - calls.commits) as f64 / seconds,
    );
    Ok(())
}

/// Shows endpoints in the VM list that no process stands behind: their cost
/// to a daemon that sends them nothing is what is measured.
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

/// Time from the acceptance of a change until every daemon has it in force.
fn time_changes(cluster: &Cluster) -> io::Result<Vec<Duration>> {
    let mut spreads = Vec::new();
    for number in 0..CHANGES {
        let daemon = &cluster.daemons[number as usize % cluster.daemons.len()];
        let request = json!({ "workspace": {
            "name": format!("workspace-{number}"), "token_sha256": [], "share": 1,
        }});
        let applied = admin_call(&daemon.operators, "PutWorkspace", &request)?;
        let accepted = Instant::now();
        let revision = applied["revision"].as_u64().unwrap_or(0);
        wait_for_revision(cluster, revision, accepted + SPREAD_LIMIT)?;
        spreads.push(accepted.elapsed());
    }
    Ok(spreads)
}

fn wait_for_revision(cluster: &Cluster, revision: u64, deadline: Instant) -> io::Result<()> {
    for daemon in &cluster.daemons {
        loop {
            let catalog = admin_call(&daemon.operators, "GetCatalog", &json!({}));
            if catalog.is_ok_and(|it| it["revision"].as_u64() >= Some(revision)) {
                break;
            }
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("{} lacks {revision}", daemon.name)));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(())
}

fn total(cluster: &Cluster, figure: fn(u32) -> io::Result<f64>) -> io::Result<f64> {
    cluster.daemons.iter().map(|it| figure(it.process.id())).sum()
}

fn calls(cluster: &Cluster) -> io::Result<Calls> {
    cluster::get(&cluster.platform.address, "/fake/calls")
}
