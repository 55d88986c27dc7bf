//! Requests that crash endpoints, and endpoints and daemons that stop responding.

mod restarts;

use std::fs;
use std::io;
use std::time::Duration;

use harness::caller::Draft;
use harness::cluster;
use harness::cluster::Cluster;
use harness::load::Load;
use nix::sys::signal::Signal;
use serde_json::json;

const NO_FAILURES: [String; 0] = [];
/// Maximum number of endpoints that one request may crash.
const MAX_CRASHES: usize = 2;
/// Time within which daemons tell one that has started about such requests.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Log line of a daemon that was told.
const TOLD: &str = "crashes heard";

#[test]
fn a_request_that_crashes_endpoints_is_rejected_on_every_daemon() -> io::Result<()> {
    let mut cluster = deployment(&["e1", "e2", "e3", "e4", "e5", "e6"])?;
    for engine in &cluster.engines {
        cluster::set_switches(&engine.address, &json!({ "crash_on": "poison" }))?;
    }
    let addresses = addresses(&cluster);
    let load = Load::open(&addresses, &prompts(12), 600);
    load.wait_for_tokens(10)?;

    let mut rejections = Vec::new();
    for _ in 0..3 {
        for address in &addresses {
            let completion = Draft::new(address, "poison in the batch", 50).stream(|_| {})?;
            rejections.push((completion.status, completion.problem.unwrap_or_default()));
        }
    }

    for (status, problem) in rejections {
        assert_eq!((status, &problem["outcome"]), (422, &json!("failed")), "{problem}");
        assert!(problem["retry_after_s"].is_null(), "{problem}");
    }
    assert_eq!(load.failures(), NO_FAILURES);
    let crashed = count_crashed(&mut cluster)?;
    assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
    Ok(())
}

#[test]
fn a_daemon_that_starts_later_rejects_a_request_that_crashed_endpoints() -> io::Result<()> {
    let mut cluster = deployment(&["e1", "e2", "e3", "e4"])?;
    for engine in &cluster.engines {
        cluster::set_switches(&engine.address, &json!({ "crash_on": "poison" }))?;
    }
    let poison = |address: &str| -> io::Result<u16> {
        Ok(Draft::new(address, "poison in the batch", 50).stream(|_| {})?.status)
    };
    poison(&addresses(&cluster)[0])?;

    cluster.add_daemon("entry-3", "kpone")?;
    let latest = cluster::catalog_revision(&cluster.daemons[0].operators)?;
    let operators = cluster.daemons[2].operators.clone();
    cluster::wait_for("the configuration", || {
        cluster::catalog_revision(&operators).is_ok_and(|it| it >= latest)
    })?;
    let started = cluster.daemons[2].callers.clone();
    let log = cluster.daemons[2].process.log.clone();
    let is_told = || fs::read_to_string(&log).is_ok_and(|it| it.contains(TOLD));
    // The request tells whether the daemon was told in time.
    let _ = cluster::wait_within(REPORT_TIMEOUT, "the daemon to be told", is_told);
    let status = poison(&started)?;

    assert_eq!(status, 422);
    let crashed = count_crashed(&mut cluster)?;
    assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
    Ok(())
}

#[test]
fn streams_move_off_connections_on_which_the_endpoint_goes_silent() -> io::Result<()> {
    let cluster = deployment(&["e1"])?;
    let load = Load::open(&addresses(&cluster), &prompts(4), 300);
    load.wait_for_tokens(10)?;

    cluster::set_switches(&cluster.engines[0].address, &json!({ "silence_open": true }))?;

    assert_eq!(load.failures(), NO_FAILURES);
    assert!(cluster.logs()?.contains("Silent"), "no stream went silent");
    Ok(())
}

#[test]
fn streams_move_off_a_daemon_that_goes_silent() -> io::Result<()> {
    let cluster = deployment(&["e1", "e2"])?;
    let load = Load::open_keyed(&addresses(&cluster)[..1], &prompts(8), 400);
    load.wait_for_tokens(10)?;

    cluster.daemons[1].process.signal(Signal::SIGSTOP)?;
    let failures = load.failures();
    cluster.daemons[1].process.signal(Signal::SIGCONT)?;

    assert_eq!(failures, NO_FAILURES);
    assert!(
        !cluster.logs()?.contains("unexpected event"),
        "a request received an event that its state chart does not allow"
    );
    assert!(cluster.logs()?.contains("] forwarded {"), "no stream went through the other daemon");
    Ok(())
}

fn deployment(engines: &[&str]) -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    for engine in engines {
        cluster.add_engine(engine, &["--token-us", "10000"])?;
    }
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.add_daemon("entry-2", "kpone")?;
    cluster.configure()?;
    Ok(cluster)
}

fn count_crashed(cluster: &mut Cluster) -> io::Result<usize> {
    let mut crashed = 0;
    for engine in &mut cluster.engines {
        crashed += usize::from(engine.process.wait(Duration::ZERO)?.is_some());
    }
    Ok(crashed)
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    cluster.daemons.iter().map(|it| it.callers.clone()).collect()
}

fn prompts(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("question {it} of a clerk")).collect()
}
