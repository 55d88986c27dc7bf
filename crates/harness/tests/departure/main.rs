//! Graceful shutdowns and reclaims of daemons.

mod closing;
mod connection;

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use harness::balancer::Balancer;
use harness::caller::Completion;
use harness::caller::Draft;
use harness::caller::renew;
use harness::cluster;
use harness::cluster::Cluster;
use nix::sys::signal::Signal;
use standins::service::Execution;
use standins::text;

const DAEMONS: usize = 7;
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
const DRAFT_TOKENS: u32 = 250;
/// Long enough for the stream to outlast the reclaim notice.
const DOSSIER_TOKENS: u32 = 1500;
const DRAFT_COUNT: usize = 6;
const STREAMERS: usize = 8;
const RENEWERS: usize = 4;

/// Results of the callers during a rolling restart.
#[derive(Debug, Default)]
struct Summary {
    complete: u32,
    renewed: Vec<String>,
    rejected_with_retry_after: u32,
    failures: Vec<String>,
}

#[test]
fn a_rolling_restart_of_all_daemons_interrupts_no_request() -> io::Result<()> {
    let mut cluster = deployment(DAEMONS)?;
    let balancer = Arc::new(Balancer::default());
    balancer.set_addresses(caller_addresses(&cluster));
    let stop = Arc::new(AtomicBool::new(false));
    let load = start_load(&balancer, &stop);

    for turn in 0..DAEMONS {
        let name = cluster.daemons[turn].name.clone();
        cluster.daemons[turn].process.signal(Signal::SIGTERM)?;
        let status = cluster.daemons[turn].process.wait(EXIT_TIMEOUT)?;
        assert!(status.is_some_and(|it| it.success()), "{name} exited with {status:?}");
        cluster.daemons[turn] = cluster.start_daemon(&name, zone(turn))?;
        cluster.wait_until_settled()?;
        balancer.set_addresses(caller_addresses(&cluster));
    }
    stop.store(true, Ordering::Relaxed);
    let mut summary = Summary::default();
    for caller in load {
        let more = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        summary.complete += more.complete;
        summary.renewed.extend(more.renewed);
        summary.rejected_with_retry_after += more.rejected_with_retry_after;
        summary.failures.extend(more.failures);
    }

    println!(
        "{} drafts complete, {} renewals, {} rejected with Retry-After, failures: {:?}",
        summary.complete,
        summary.renewed.len(),
        summary.rejected_with_retry_after,
        summary.failures
    );
    assert!(summary.failures.is_empty(), "{:?}", summary.failures);
    assert!(summary.complete as usize > STREAMERS, "too few drafts for a conclusion");
    let record: Vec<Execution> = cluster::get(&cluster.services[0].address, "/fake/record")?;
    let mut executed: Vec<String> = record.into_iter().map(|it| it.key).collect();
    executed.sort();
    summary.renewed.sort();
    assert_eq!(executed, summary.renewed);
    Ok(())
}

#[test]
fn drafts_of_a_reclaimed_daemon_continue_elsewhere() -> io::Result<()> {
    check_reclaim(&["entry-1"], Duration::from_secs(3), Duration::from_secs(3))
}

#[test]
fn drafts_of_two_daemons_killed_before_their_reclaim_continue_elsewhere() -> io::Result<()> {
    check_reclaim(&["entry-1", "entry-2"], Duration::from_secs(30), Duration::from_millis(1800))
}

#[test]
fn a_shutdown_completes_although_the_remaining_daemons_are_paused() -> io::Result<()> {
    let mut cluster = deployment(3)?;
    for number in 0..12 {
        let key = format!("ended-{number}");
        let mut draft = Draft::new(&cluster.daemons[0].callers, "a short question", 2);
        draft.key = Some(&key);
        assert!(draft.stream(|_| {})?.complete);
    }
    cluster.daemons[1].process.signal(Signal::SIGSTOP)?;
    cluster.daemons[2].process.signal(Signal::SIGSTOP)?;

    cluster.daemons[0].process.signal(Signal::SIGTERM)?;

    let status = cluster.daemons[0].process.wait(EXIT_TIMEOUT)?;
    assert!(status.is_some_and(|it| it.success()), "exited with {status:?}");
    Ok(())
}

/// Issues a reclaim notice to the named daemons, which are the first ones, while
/// they serve drafts, and kills them after `alive`. Every draft must be completed.
fn check_reclaim(names: &[&str], notice: Duration, alive: Duration) -> io::Result<()> {
    let mut cluster = deployment(names.len() + 2)?;
    for daemon in &cluster.daemons[..names.len()] {
        cluster.list_daemon_vm(daemon)?;
    }
    let reclaimed: Vec<String> =
        cluster.daemons[..names.len()].iter().map(|it| it.callers.clone()).collect();
    let started = Arc::new(AtomicUsize::new(0));
    let drafts: Vec<JoinHandle<io::Result<Completion>>> = (0..DRAFT_COUNT)
        .map(|number| {
            let address = reclaimed[number % reclaimed.len()].clone();
            let key = (number % 2 == 0).then(|| format!("dossier-{number}"));
            let started = Arc::clone(&started);
            thread::spawn(move || {
                let prompt = format!("dossier {number}");
                let mut draft = Draft::new(&address, &prompt, DOSSIER_TOKENS);
                draft.key = key.as_deref();
                draft.stream(|token| {
                    if token.id == "0" {
                        started.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
        })
        .collect();
    cluster::wait_for("the drafts to start", || started.load(Ordering::Relaxed) == DRAFT_COUNT)?;

    let killed_at = Instant::now() + alive;
    cluster.reclaim(names, notice)?;
    thread::sleep(killed_at.saturating_duration_since(Instant::now()));
    for daemon in &mut cluster.daemons[..names.len()] {
        daemon.process.kill()?;
    }

    let remaining = cluster.daemons[names.len()].callers.clone();
    for (number, draft) in drafts.into_iter().enumerate() {
        let prompt = format!("dossier {number}");
        let first = draft.join().map_err(|_| io::Error::other("a caller panicked"))??;
        let own_key = (number % 2 == 0).then(|| format!("dossier-{number}"));
        let text = resume(&remaining, &prompt, first, own_key)?;
        assert_eq!(text, text::answer(&prompt, DOSSIER_TOKENS), "draft {number}");
    }
    Ok(())
}

/// Resumes an interrupted draft through another daemon and returns its complete text.
fn resume(
    address: &str,
    prompt: &str,
    first: Completion,
    own_key: Option<String>,
) -> io::Result<String> {
    if first.complete {
        return Ok(first.text());
    }
    let key = own_key.or(first.resume_key.clone());
    let last = first.tokens.last().map(|it| it.id.clone());
    let mut resumed = Draft::new(address, prompt, DOSSIER_TOKENS);
    resumed.key = key.as_deref();
    resumed.last_event_id = last.as_deref();
    assert!(resumed.key.is_some(), "no key to resume with: {:?}", first.problem);
    let second = resumed.stream(|_| {})?;
    assert!(second.complete, "{:?}", second.problem);
    Ok(first.text() + &second.text())
}

fn start_load(balancer: &Arc<Balancer>, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Summary>> {
    let streamers = (0..STREAMERS).map(|number| {
        let (balancer, stop) = (Arc::clone(balancer), Arc::clone(stop));
        thread::spawn(move || draft_until(&balancer, &stop, number))
    });
    let renewers = (0..RENEWERS).map(|number| {
        let (balancer, stop) = (Arc::clone(balancer), Arc::clone(stop));
        thread::spawn(move || renew_until(&balancer, &stop, number))
    });
    streamers.chain(renewers).collect()
}

fn draft_until(balancer: &Balancer, stop: &AtomicBool, number: usize) -> Summary {
    let mut summary = Summary::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let prompt = format!("draft {number} of round {round}");
        let key = format!("draft-{number}-{round}");
        let completion = balancer.pick().and_then(|address| {
            let mut draft = Draft::new(&address, &prompt, DRAFT_TOKENS);
            draft.key = number.is_multiple_of(2).then_some(key.as_str());
            draft.stream(|_| {})
        });
        match completion {
            Ok(it) if it.complete && it.text() == text::answer(&prompt, DRAFT_TOKENS) => {
                summary.complete += 1;
            }
            Ok(it) if it.tokens.is_empty() && has_retry_after(it.problem.as_ref()) => {
                summary.rejected_with_retry_after += 1;
            }
            other => {
                summary.failures.push(format!("{prompt}: {other:?}").chars().take(600).collect())
            }
        }
    }
    summary
}

fn renew_until(balancer: &Balancer, stop: &AtomicBool, number: usize) -> Summary {
    let mut summary = Summary::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let key = format!("renewal-{number}-{round}");
        let response = balancer.pick().and_then(|address| renew(&address, &key, "licence"));
        match response {
            Ok(it) if it.status == 200 => summary.renewed.push(key),
            Ok(it) if it.body["outcome"] == "not_run" && !it.retry_after.is_empty() => {
                summary.rejected_with_retry_after += 1;
            }
            other => summary.failures.push(format!("{key}: {other:?}")),
        }
    }
    summary
}

fn has_retry_after(problem: Option<&serde_json::Value>) -> bool {
    problem.is_some_and(|it| it["retry_after_s"].is_u64())
}

fn caller_addresses(cluster: &Cluster) -> Vec<String> {
    cluster.daemons.iter().map(|it| it.callers.clone()).collect()
}

fn zone(number: usize) -> &'static str {
    ["tema-a", "tema-b", "kpone", "spintex"][number % 4]
}

fn deployment(daemons: usize) -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &["--token-us", "6000"])?;
    cluster.add_engine("engine-2", &["--token-us", "6000"])?;
    cluster.add_service("registry-1", &[])?;
    for number in 0..daemons {
        cluster.add_daemon(&format!("entry-{}", number + 1), zone(number))?;
    }
    cluster.configure()?;
    Ok(cluster)
}
