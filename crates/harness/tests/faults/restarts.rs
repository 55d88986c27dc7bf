//! Restarts of daemons while endpoints refuse calls.

use std::io;
use std::time::Duration;
use std::time::Instant;

use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::PLAIN_SERVICE;
use harness::cluster::WORKSPACE_TOKEN;
use serde_json::json;

const SERVICES: [&str; 4] = ["registry-1", "registry-2", "registry-3", "registry-4"];
const RESTARTS: usize = 3;
/// Calls for each start of the daemon.
const CALLS: usize = 30;
/// Retries for each second, and at once after a start.
const RETRIES_PER_SECOND: f64 = 4.0;

#[test]
fn restarts_do_not_renew_the_retry_budget() -> io::Result<()> {
    let started_at = Instant::now();
    let mut cluster = deployment()?;
    lookups(&cluster)?;

    for _ in 0..RESTARTS {
        cluster.daemons[0].process.kill()?;
        cluster.daemons[0] = cluster.start_daemon("entry-1", "tema-a")?;
        cluster.wait_until_settled()?;
        lookups(&cluster)?;
    }

    let elapsed = started_at.elapsed();
    let lives = RESTARTS + 1;
    let retries = attempts(&cluster)? - CALLS * lives;
    let allowed = (elapsed.as_secs_f64() + lives as f64) * RETRIES_PER_SECOND;
    println!("{retries} retries in {elapsed:?} with {RESTARTS} restarts, {allowed:.0} allowed");
    assert!(retries > 0, "no call was retried");
    assert!(retries as f64 <= allowed, "{retries} retries of {allowed} allowed");
    Ok(())
}

/// Starts a daemon and services that refuse all calls.
fn deployment() -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    for service in SERVICES {
        cluster.add_service(service, &[])?;
    }
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.configure()?;
    for service in &cluster.services {
        cluster::set_switches(&service.address, &json!({ "down": true }))?;
    }
    Ok(cluster)
}

/// Sends calls that may be repeated.
fn lookups(cluster: &Cluster) -> io::Result<()> {
    let address = &cluster.daemons[0].callers;
    let settings = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(10)))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::from(settings);
    for number in 0..CALLS {
        agent
            .get(format!("http://{address}/services/{PLAIN_SERVICE}/lookups/{number}"))
            .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"))
            .call()
            .map_err(io::Error::other)?;
    }
    Ok(())
}

/// Returns the number of attempts that the services have received.
fn attempts(cluster: &Cluster) -> io::Result<usize> {
    let mut sum = 0;
    for service in &cluster.services {
        sum += cluster::get::<usize>(&service.address, "/fake/arrived")?;
    }
    Ok(sum)
}
