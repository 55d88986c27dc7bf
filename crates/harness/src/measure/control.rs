//! What idle daemons spend on control, by daemons and endpoints known.

use std::io;
use std::thread;
use std::time::Duration;

use serde_json::json;
use standins::platform::Calls;
use store::vm::Role;
use store::vm::State;
use store::vm::Vm;

use crate::cluster;
use crate::cluster::Cluster;
use crate::measure::cpu_seconds;
use crate::measure::metric;
use crate::measure::resident_mib;

/// Time over which an idle deployment is watched.
const WATCH: Duration = Duration::from_secs(15);

/// Prints what idle daemons spend, by number of daemons and endpoints.
pub fn idle() -> io::Result<()> {
    println!("\nidle, each daemon:");
    println!("daemons  endpoints  cpu_%  rss_MiB  control_B/s  reads/s  commits/s  list_B  rows_B");
    for (daemons, endpoints) in [(1, 1), (7, 1), (14, 1), (7, 500)] {
        let mut cluster = Cluster::start()?;
        cluster.add_engine("engine-1", &[])?;
        add_endpoints(&cluster, endpoints - 1)?;
        add_daemons(&mut cluster, daemons)?;
        cluster.configure()?;
        watch(&cluster, daemons, endpoints)?;
    }
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
        "{daemons:7}  {endpoints:9}  {share:5.2}  {memory:7.1}  {sent:11.0}  {reads:7.2}  \
         {commits:9.3}  {list:6}  {rows:6}"
    );
    Ok(())
}

fn length(platform: &str, path: &str) -> io::Result<usize> {
    let called = ureq::get(format!("http://{platform}{path}")).call();
    let mut response = called.map_err(io::Error::other)?;
    response.body_mut().read_to_vec().map(|it| it.len()).map_err(io::Error::other)
}
