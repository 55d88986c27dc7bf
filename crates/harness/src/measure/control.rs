//! What daemons spend on control: idle, per endpoint known, per change.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform::vm::Role;
use platform::vm::State;
use platform::vm::Vm;
use serde_json::json;
use standins::platform::Calls;

use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::admin_call;
use crate::cluster::wait_for;
use crate::measure::cpu_seconds;
use crate::measure::metric;
use crate::measure::resident_mib;

/// Time over which an idle deployment is watched.
const WATCH: Duration = Duration::from_secs(15);
/// Changes of the configuration.
const CHANGES: u64 = 20;
/// Daemons among which changes spread.
const SPREAD_DAEMONS: usize = 7;

/// Prints what idle daemons spend, by number of daemons and endpoints.
pub fn idle() -> io::Result<()> {
    println!("\nidle, each daemon:");
    println!("daemons  endpoints  cpu_%  rss_MiB  gossip_B/s  reads/s  commits/s  list_B  rows_B");
    for (daemons, endpoints) in [(1, 1), (7, 1), (14, 1), (7, 500)] {
        let mut cluster = Cluster::start()?;
        cluster.add_engine("engine-1", &[])?;
        add_daemons(&mut cluster, daemons)?;
        cluster.configure()?;
        add_endpoints(&cluster, endpoints - 1)?;
        watch(&cluster, daemons, endpoints)?;
    }
    Ok(())
}

/// Prints how long changes take to be in force on every daemon.
pub fn changes() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &[])?;
    add_daemons(&mut cluster, SPREAD_DAEMONS)?;
    cluster.configure()?;
    let before: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let started = Instant::now();
    let mut times = Vec::new();
    for change in 0..CHANGES {
        let request = json!({ "workspace": { "name": format!("w-{change}"), "share": 1 } });
        let sent = Instant::now();
        let applied = cluster.admin("PutWorkspace", &request)?;
        let revision = applied["revision"].as_u64().unwrap_or(0);
        for daemon in &cluster.daemons {
            wait_for("a change to be in force", || {
                let catalog = admin_call(&daemon.operators, "GetCatalog", &json!({}));
                catalog.is_ok_and(|it| it["revision"].as_u64().unwrap_or(0) >= revision)
            })?;
        }
        times.push(sent.elapsed());
    }
    let seconds = started.elapsed().as_secs_f64();
    let after: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    times.sort();
    println!(
        "\n{CHANGES} changes, in force on {SPREAD_DAEMONS} daemons: p50 {:?}, longest {:?}; \
         {:.1} commits and {:.1} rows a change; {:.1} reads a second",
        times[times.len() / 2],
        times[times.len() - 1],
        (after.commits - before.commits) as f64 / CHANGES as f64,
        (after.rows_written - before.rows_written) as f64 / CHANGES as f64,
        (after.reads - before.reads) as f64 / seconds,
    );
    Ok(())
}

fn add_daemons(cluster: &mut Cluster, count: usize) -> io::Result<()> {
    (1..=count).try_for_each(|number| cluster.add_daemon(&format!("entry-{number}"), "tema-a"))
}

/// Adds VMs to the list that all have the address of the one engine.
fn add_endpoints(cluster: &Cluster, count: usize) -> io::Result<()> {
    for number in 0..count {
        let vm = Vm {
            id: format!("phantom-{number}"),
            incarnation: 1,
            role: Role::Endpoint,
            service: cluster::MODEL_SERVICE.to_owned(),
            zone: "tema-b".to_owned(),
            class: "accelerator".to_owned(),
            reclaimable: true,
            address: cluster.engines[0].address.clone(),
            price_per_hour: 1.0,
            state: State::Live,
        };
        cluster::post(&cluster.platform.address, "/fake/vm", &json!(vm))?;
    }
    let known = count + 1 + cluster.daemons.len();
    for daemon in &cluster.daemons {
        wait_for("endpoints to be known", || {
            let list = admin_call(&daemon.operators, "ListVms", &json!({}));
            list.is_ok_and(|it| it["vms"].as_array().is_some_and(|vms| vms.len() >= known))
        })?;
    }
    Ok(())
}

fn watch(cluster: &Cluster, daemons: usize, endpoints: usize) -> io::Result<()> {
    let platform = &cluster.platform.address;
    let daemon = &cluster.daemons[0];
    let id = daemon.process.id();
    let gossip = || metric(&daemon.operators, "lentilhook_control_sent_bytes_total");
    let calls: Calls = cluster::get(platform, "/fake/calls")?;
    let (cpu, sent) = (cpu_seconds(id)?, gossip()?);
    thread::sleep(WATCH);
    let seconds = WATCH.as_secs_f64();
    let later: Calls = cluster::get(platform, "/fake/calls")?;
    let share = (cpu_seconds(id)? - cpu) * 100.0 / seconds;
    let sent = (gossip()? - sent) / seconds;
    let each = seconds * daemons as f64;
    let reads = (later.reads - calls.reads) as f64 / each;
    let commits = (later.commits - calls.commits) as f64 / each;
    let list = length(platform, "/vms?since=0")?;
    let rows = length(platform, "/table/scan?prefix=daemon/&after=&limit=1000")?;
    let memory = resident_mib(id)?;
    println!(
        "{daemons:7}  {endpoints:9}  {share:5.2}  {memory:7.1}  {sent:10.0}  {reads:7.2}  \
         {commits:9.3}  {list:6}  {rows:6}"
    );
    Ok(())
}

fn length(platform: &str, path: &str) -> io::Result<usize> {
    let called = ureq::get(format!("http://{platform}{path}")).call();
    let mut response = called.map_err(io::Error::other)?;
    response.body_mut().read_to_vec().map(|it| it.len()).map_err(io::Error::other)
}
