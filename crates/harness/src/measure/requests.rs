//! What one request costs: short completions and recorded calls.

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

/// Callers at once.
const CALLERS: usize = 8;
/// Requests of each caller.
const CALLS: usize = 150;

/// Prints processor time of a request, and commits of a recorded call.
pub fn run() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &["--token-us", "1", "--slots", "100"])?;
    cluster.add_service("registry-1", &[])?;
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.configure()?;
    let address = cluster.daemons[0].callers.clone();
    let id = cluster.daemons[0].process.id();
    let count = (CALLERS * CALLS) as f64;

    let cpu = cpu_seconds(id)?;
    let asked = address.clone();
    at_once(move |caller, call| {
        let prompt = format!("question {caller} {call}");
        Draft::new(&asked, &prompt, 1).stream(|_| {}).map(|it| it.complete)
    })?;
    let spent = (cpu_seconds(id)? - cpu) * 1000.0 / count;
    println!("\ncompletion of one token: {spent:.3} ms of processor time a request");

    let cpu = cpu_seconds(id)?;
    let before: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let started = Instant::now();
    let times = at_once(move |caller, call| {
        renew(&address, &format!("key-{caller}-{call}"), "licence").map(|it| it.status == 200)
    })?;
    let rate = count / started.elapsed().as_secs_f64();
    let after: Calls = cluster::get(&cluster.platform.address, "/fake/calls")?;
    let spent = (cpu_seconds(id)? - cpu) * 1000.0 / count;
    println!(
        "recorded call: {spent:.3} ms of processor time, {:.2} commits and {:.2} rows a call at \
         {rate:.0} calls/s, p50 {:?}, p95 {:?}",
        (after.commits - before.commits) as f64 / count,
        (after.rows_written - before.rows_written) as f64 / count,
        times[times.len() / 2],
        times[times.len() * 95 / 100],
    );
    Ok(())
}

/// Times of all calls, in order; each must succeed.
fn at_once(
    call: impl Fn(usize, usize) -> io::Result<bool> + Clone + Send + 'static,
) -> io::Result<Vec<Duration>> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let call = call.clone();
            thread::spawn(move || {
                let timed = (0..CALLS).map(|number| {
                    let started = Instant::now();
                    match call(caller, number)? {
                        true => Ok(started.elapsed()),
                        false => Err(io::Error::other("a call was refused")),
                    }
                });
                timed.collect::<io::Result<Vec<Duration>>>()
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
