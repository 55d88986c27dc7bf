//! Measures the commits of the ledger at several call rates.

use std::io;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::Calls;

use crate::caller;
use crate::cluster;
use crate::cluster::Cluster;

/// Offered calls per second.
const RATES: [u32; 3] = [10, 100, 1000];
/// Duration of a run, in seconds.
const RUN_S: u32 = 8;
/// Maximum number of concurrent callers.
const CALLERS: u32 = 240;
/// Stack size of a caller's thread.
const STACK_BYTES: usize = 128 * 1024;

/// Result of one call.
struct Sample {
    status: u16,
    elapsed: Duration,
}

/// Prints the commits per second next to the two commits per call that a ledger
/// with one row for each intent and each outcome would need.
pub fn run() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_service("registry-1", &[])?;
    for (name, zone) in [("entry-1", "tema-a"), ("entry-2", "kpone"), ("entry-3", "spintex")] {
        cluster.add_daemon(name, zone)?;
    }
    cluster.configure()?;
    println!("offered/s  answered/s  refused  p50_ms  p95_ms  commits/s  row_a_step_commits/s");
    for rate in RATES {
        load(&cluster, rate)?;
    }
    Ok(())
}

fn load(cluster: &Cluster, rate: u32) -> io::Result<()> {
    let addresses: Vec<String> = cluster.daemons.iter().map(|it| it.callers.clone()).collect();
    let before: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let start = Instant::now();
    let next = AtomicU32::new(0);
    let mut samples = thread::scope(|scope| {
        let run = || run_caller(&addresses, rate, start, &next);
        let callers: Vec<_> = (0..CALLERS.min(rate * RUN_S))
            .map(|_| thread::Builder::new().stack_size(STACK_BYTES).spawn_scoped(scope, run))
            .collect::<io::Result<_>>()?;
        let joined = callers.into_iter().map(|it| it.join().unwrap_or_default());
        Ok::<Vec<Sample>, io::Error>(joined.flatten().collect())
    })?;
    let after: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let seconds = start.elapsed().as_secs_f64();
    let answered = samples.iter().filter(|it| it.status == 200).count();
    samples.sort_by_key(|it| it.elapsed);
    let percentile = |share: usize| {
        samples.get(samples.len() * share / 100).map_or(0.0, |it| it.elapsed.as_secs_f64() * 1000.0)
    };
    println!(
        "{rate:9}  {:10.1}  {:7}  {:6.1}  {:6.1}  {:9.1}  {:20.1}",
        answered as f64 / seconds,
        samples.len() - answered,
        percentile(50),
        percentile(95),
        (after.commits - before.commits) as f64 / seconds,
        2.0 * answered as f64 / seconds,
    );
    Ok(())
}

/// Sends the next unclaimed call at its scheduled time, until the run is over.
fn run_caller(addresses: &[String], rate: u32, start: Instant, next: &AtomicU32) -> Vec<Sample> {
    let mut samples = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= rate * RUN_S {
            return samples;
        }
        let scheduled_at = start + Duration::from_secs(1) * number / rate;
        thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        let address = &addresses[number as usize % addresses.len()];
        let started = Instant::now();
        let response = caller::renew(address, &format!("{rate}-{number}"), "licence");
        let status = response.map_or(0, |it| it.status);
        samples.push(Sample { status, elapsed: started.elapsed() });
    }
}
