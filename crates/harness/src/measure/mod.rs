//! Measurements of daemons between callers and endpoints on loopback.

mod control;
mod requests;

use std::fs;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Draft;
use crate::cluster::Cluster;

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// Calls of which the time to the first token is taken.
const FIRST_TOKEN_CALLS: usize = 200;
/// Tokens of each stream under load.
const LOAD_TOKENS: u32 = 300;

/// Prints the figures that the capacity page is made from.
pub fn run() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &["--token-us", "20000", "--slots", "4000"])?;
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.configure()?;
    first_token(&cluster)?;
    println!("streams  tokens/s  cpu_s/1000_tokens  rss_MiB_open  rss_MiB_before  threads");
    for streams in [100, 1000] {
        load(&cluster, streams)?;
    }
    drop(cluster);
    requests::run()?;
    control::idle()
}

/// Sum of a metric over all its labels.
fn metric(operators: &str, name: &str) -> io::Result<f64> {
    let called = ureq::get(format!("http://{operators}/metrics")).call();
    let text = called.map_err(io::Error::other)?.body_mut().read_to_string();
    let text = text.map_err(io::Error::other)?;
    let lines = text.lines().filter(|it| it.starts_with(name));
    Ok(lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}

/// Time to the first token through the daemon and direct, by turns.
fn first_token(cluster: &Cluster) -> io::Result<()> {
    let mut through = Vec::new();
    let mut direct = Vec::new();
    for call in 0..FIRST_TOKEN_CALLS {
        let prompt = format!("question {call}");
        let daemon = Draft::new(&cluster.daemons[0].callers, &prompt, 1);
        through.push(time_first(&daemon)?);
        let mut engine = Draft::new(&cluster.engines[0].address, &prompt, 1);
        "/v1/chat/completions".clone_into(&mut engine.path);
        direct.push(time_first(&engine)?);
    }
    through.sort();
    direct.sort();
    let at = |times: &[Duration], share: usize| times[times.len() * share / 100];
    for share in [50, 95] {
        println!(
            "first token p{share}: direct {:?}, through the daemon {:?}",
            at(&direct, share),
            at(&through, share)
        );
    }
    Ok(())
}

fn time_first(draft: &Draft<'_>) -> io::Result<Duration> {
    let started = Instant::now();
    let streamed = draft.stream(|_| {})?;
    let first = streamed.tokens.first().ok_or_else(|| io::Error::other("no token"))?;
    Ok(first.at - started)
}

fn load(cluster: &Cluster, streams: usize) -> io::Result<()> {
    let daemon = &cluster.daemons[0];
    let id = daemon.process.id();
    let before = resident_mib(id)?;
    let cpu = cpu_seconds(id)?;
    let started = Instant::now();
    let callers: Vec<_> = (0..streams)
        .map(|number| {
            let address = daemon.callers.clone();
            let call = move || {
                let prompt = format!("draft {number}");
                Draft::new(&address, &prompt, LOAD_TOKENS).stream(|_| {}).map(|it| it.tokens.len())
            };
            thread::Builder::new().stack_size(STACK_BYTES).spawn(call)
        })
        .collect::<io::Result<_>>()?;
    // Half of the tokens are out: all streams are open.
    thread::sleep(Duration::from_millis(20 * u64::from(LOAD_TOKENS) / 2));
    let open = resident_mib(id)?;
    let threads = fs::read_dir(format!("/proc/{id}/task"))?.count();
    let mut tokens = 0;
    for caller in callers {
        tokens += caller.join().map_err(|_| io::Error::other("caller panicked"))??;
    }
    let spent = cpu_seconds(id)? - cpu;
    let rate = tokens as f64 / started.elapsed().as_secs_f64();
    let per_thousand = spent * 1000.0 / tokens as f64;
    println!("{streams:7}  {rate:8.0}  {per_thousand:17.4}  {open:12.1}  {before:14.1}  {threads}");
    Ok(())
}

/// Processor time of a process so far.
pub fn cpu_seconds(id: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    // User and system time are fields 14 and 15 of the line, 11 and 12 after the name.
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: f64 = fields.filter_map(|it| it.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

/// Resident memory of a process.
pub fn resident_mib(id: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.trim().trim_end_matches(" kB").parse().map_err(io::Error::other)?;
    Ok(kib / 1024.0)
}
