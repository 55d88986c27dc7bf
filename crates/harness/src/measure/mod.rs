//! Measures daemons on loopback, both idle and under load.

mod control;
mod requests;

use std::fs;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Draft;
use crate::cluster::Cluster;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Stack size of a caller's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Number of calls whose time to first token is measured.
const FIRST_TOKEN_CALLS: usize = 200;
/// Tokens of each stream in the load measurement.
const LOAD_TOKENS: u32 = 300;

/// Prints the figures for the capacity page.
pub fn run() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &["--token-us", "20000", "--slots", "4000"])?;
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.configure()?;
    measure_first_token(&cluster)?;
    println!("streams  tokens/s  cpu_s/1000_tokens  rss_MiB_open  rss_MiB_before  threads");
    for streams in [100, 1000] {
        load(&cluster, streams)?;
    }
    drop(cluster);
    requests::run()?;
    control::idle()
}

/// Returns the sum of a metric over all its labels.
fn metric(operators: &str, name: &str) -> io::Result<f64> {
    let response = ureq::get(format!("http://{operators}/metrics")).call();
    let text = response.map_err(io::Error::other)?.body_mut().read_to_string();
    let text = text.map_err(io::Error::other)?;
    let lines = text.lines().filter(|it| it.starts_with(name));
    Ok(lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}

/// Measures the time to first token, alternating between calls through the
/// daemon and direct calls to the engine.
fn measure_first_token(cluster: &Cluster) -> io::Result<()> {
    let mut through_daemon = Vec::new();
    let mut direct = Vec::new();
    for call in 0..FIRST_TOKEN_CALLS {
        let prompt = format!("question {call}");
        let daemon = Draft::new(&cluster.daemons[0].callers, &prompt, 1);
        through_daemon.push(time_to_first_token(&daemon)?);
        let mut engine = Draft::new(&cluster.engines[0].address, &prompt, 1);
        "/v1/chat/completions".clone_into(&mut engine.path);
        direct.push(time_to_first_token(&engine)?);
    }
    through_daemon.sort();
    direct.sort();
    let percentile = |times: &[Duration], share: usize| times[times.len() * share / 100];
    for share in [50, 95] {
        println!(
            "first token p{share}: direct {:?}, through the daemon {:?}",
            percentile(&direct, share),
            percentile(&through_daemon, share)
        );
    }
    Ok(())
}

fn time_to_first_token(draft: &Draft<'_>) -> io::Result<Duration> {
    let started = Instant::now();
    let completion = draft.stream(|_| {})?;
    let first = completion.tokens.first().ok_or_else(|| io::Error::other("no token"))?;
    Ok(first.arrived_at - started)
}

fn load(cluster: &Cluster, streams: usize) -> io::Result<()> {
    let daemon = &cluster.daemons[0];
    let id = daemon.process.id();
    let memory_before = resident_mib(id)?;
    let cpu_before = cpu_seconds(id)?;
    let started = Instant::now();
    let callers: Vec<_> = (0..streams)
        .map(|number| {
            let address = daemon.callers.clone();
            let run = move || {
                let prompt = format!("draft {number}");
                Draft::new(&address, &prompt, LOAD_TOKENS).stream(|_| {}).map(|it| it.tokens.len())
            };
            thread::Builder::new().stack_size(STACK_BYTES).spawn(run)
        })
        .collect::<io::Result<_>>()?;
    // All streams are open when half of the tokens have been generated.
    thread::sleep(Duration::from_millis(20 * u64::from(LOAD_TOKENS) / 2));
    let memory_open = resident_mib(id)?;
    let threads = fs::read_dir(format!("/proc/{id}/task"))?.count();
    let mut tokens = 0;
    for caller in callers {
        tokens += caller.join().map_err(|_| io::Error::other("a caller panicked"))??;
    }
    let cpu_spent = cpu_seconds(id)? - cpu_before;
    let rate = tokens as f64 / started.elapsed().as_secs_f64();
    let per_thousand = cpu_spent * 1000.0 / tokens as f64;
    println!(
        "{streams:7}  {rate:8.0}  {per_thousand:17.4}  {memory_open:12.1}  {memory_before:14.1}  \
         {threads}"
    );
    Ok(())
}

/// Returns the CPU time that a process has used so far.
pub fn cpu_seconds(id: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    // User and system time are fields 14 and 15 of the line. Counted from zero after
    // the name they are fields 11 and 12.
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: f64 = fields.filter_map(|it| it.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process.
pub fn resident_mib(id: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.trim().trim_end_matches(" kB").parse().map_err(io::Error::other)?;
    Ok(kib / 1024.0)
}
