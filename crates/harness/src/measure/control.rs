//! Measures the control-plane cost of idle daemons.

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

/// Duration over which an idle deployment is sampled.
const SAMPLE_DURATION: Duration = Duration::from_secs(15);

/// Prints the cost of idle daemons for several numbers of daemons and endpoints.
pub fn idle() -> io::Result<()> {
    println!("\nidle, each daemon:");
    println!("daemons  endpoints  cpu_%  rss_MiB  control_B/s  reads/s  commits/s  list_B  rows_B");
    for (daemons, endpoints) in [(1, 1), (7, 1), (14, 1), (7, 500)] {
        let mut cluster = Cluster::start()?;
        cluster.add_engine("engine-1", &[])?;
        add_endpoint_aliases(&cluster, endpoints - 1)?;
        add_daemons(&mut cluster, daemons)?;
        cluster.configure()?;
        sample(&cluster, daemons, endpoints)?;
    }
    Ok(())
}

fn add_daemons(cluster: &mut Cluster, count: usize) -> io::Result<()> {
    (1..=count).try_for_each(|number| cluster.add_daemon(&format!("entry-{number}"), "tema-a"))
}

/// Adds VMs to the VM list that all have the address of the only engine.
fn add_endpoint_aliases(cluster: &Cluster, count: usize) -> io::Result<()> {
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

fn sample(cluster: &Cluster, daemons: usize, endpoints: usize) -> io::Result<()> {
    let platform = &cluster.platform.address;
    let daemon = &cluster.daemons[0];
    let id = daemon.process.id();
    let control_bytes = || metric(&daemon.operators, "lentilhook_control_sent_bytes_total");
    let calls_before: Calls = cluster::get(platform, "/fake/calls")?;
    let (cpu_before, sent_before) = (cpu_seconds(id)?, control_bytes()?);
    thread::sleep(SAMPLE_DURATION);
    let seconds = SAMPLE_DURATION.as_secs_f64();
    let calls_after: Calls = cluster::get(platform, "/fake/calls")?;
    let cpu_percent = (cpu_seconds(id)? - cpu_before) * 100.0 / seconds;
    let sent = (control_bytes()? - sent_before) / seconds;
    let daemon_seconds = seconds * daemons as f64;
    let reads = (calls_after.reads - calls_before.reads) as f64 / daemon_seconds;
    let commits = (calls_after.commits - calls_before.commits) as f64 / daemon_seconds;
    let list_bytes = body_bytes(platform, "/vms?since=0")?;
    let row_bytes = body_bytes(platform, "/table/scan?prefix=daemon/&after=&limit=1000")?;
    let memory = resident_mib(id)?;
    println!(
        "{daemons:7}  {endpoints:9}  {cpu_percent:5.2}  {memory:7.1}  {sent:11.0}  {reads:7.2}  \
         {commits:9.3}  {list_bytes:6}  {row_bytes:6}"
    );
    Ok(())
}

fn body_bytes(platform: &str, path: &str) -> io::Result<usize> {
    let response = ureq::get(format!("http://{platform}{path}")).call();
    let mut response = response.map_err(io::Error::other)?;
    response.body_mut().read_to_vec().map(|it| it.len()).map_err(io::Error::other)
}
