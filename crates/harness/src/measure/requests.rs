//! Measures the cost of a short completion and of a recorded call.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::Calls;

use crate::caller::Draft;
use crate::caller::renew;
use crate::cluster;
use crate::cluster::Cluster;
use crate::measure::cpu_seconds;

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Requests of each caller.
const CALLS_PER_CALLER: usize = 150;

/// Prints the CPU time per request and the commits per recorded call.
pub fn run() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &["--token-us", "1", "--slots", "100"])?;
    cluster.add_service("registry-1", &[])?;
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.configure()?;
    let address = cluster.daemons[0].callers.clone();
    let id = cluster.daemons[0].process.id();
    let count = (CALLERS * CALLS_PER_CALLER) as f64;

    let cpu_before = cpu_seconds(id)?;
    let completion_address = address.clone();
    time_calls(move |caller, call| {
        let prompt = format!("question {caller} {call}");
        Draft::new(&completion_address, &prompt, 1).stream(|_| {}).map(|it| it.complete)
    })?;
    let cpu_ms = (cpu_seconds(id)? - cpu_before) * 1000.0 / count;
    println!("\ncompletion of one token: {cpu_ms:.3} ms of CPU time per request");

    let cpu_before = cpu_seconds(id)?;
    let calls_before: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let started = Instant::now();
    let times = time_calls(move |caller, call| {
        renew(&address, &format!("key-{caller}-{call}"), "licence").map(|it| it.status == 200)
    })?;
    let rate = count / started.elapsed().as_secs_f64();
    let calls_after: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let cpu_ms = (cpu_seconds(id)? - cpu_before) * 1000.0 / count;
    println!(
        "recorded call: {cpu_ms:.3} ms of CPU time, {:.2} commits and {:.2} rows per call at \
         {rate:.0} calls/s, p50 {:?}, p95 {:?}",
        (calls_after.commits - calls_before.commits) as f64 / count,
        (calls_after.rows_written - calls_before.rows_written) as f64 / count,
        times[times.len() / 2],
        times[times.len() * 95 / 100],
    );
    Ok(())
}

/// Runs all calls on concurrent callers and returns their durations in ascending
/// order. Fails if a call fails.
fn time_calls(
    call: impl Fn(usize, usize) -> io::Result<bool> + Clone + Send + 'static,
) -> io::Result<Vec<Duration>> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let call = call.clone();
            thread::spawn(move || {
                let durations = (0..CALLS_PER_CALLER).map(|number| {
                    let started = Instant::now();
                    match call(caller, number)? {
                        true => Ok(started.elapsed()),
                        false => Err(io::Error::other("a call failed")),
                    }
                });
                durations.collect::<io::Result<Vec<Duration>>>()
            })
        })
        .collect();
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.join().map_err(|_| io::Error::other("a caller panicked"))??);
    }
    times.sort();
    Ok(times)
}
