//! With real processes: an accepted configuration change takes effect on all
//! daemons within seconds and is never reverted.

use std::fs;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use config::replica::snapshot::INTERVAL;
use config::replica::snapshot::object_name;
use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::Daemon;
use harness::cluster::admin_call;
use harness::cluster::catalog_revision;
use harness::cluster::wait_for;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;

/// Bound required by the users for an accepted change to take effect on every daemon.
const PROPAGATION_BOUND: Duration = Duration::from_secs(7);
/// Revision of the first snapshot.
const SNAPSHOT_REVISION: u64 = INTERVAL;

#[test]
fn one_of_two_concurrent_changes_wins() -> io::Result<()> {
    let cluster = deployment(3)?;
    let mut expected = 0;
    for round in 0..5 {
        let put = |share: u32| put_workspace(share, expected);
        let (one, other) = thread::scope(|scope| {
            let first = &cluster.daemons[0];
            let concurrent = scope.spawn(|| apply(first, &put(1 + 2 * round)));
            let other = apply(&cluster.daemons[1], &put(2 + 2 * round));
            (concurrent.join(), other)
        });
        let one = one.map_err(|_| io::Error::other("the concurrent change panicked"))?;

        let (won, lost) = if one.is_ok() { (one, other) } else { (other, one) };

        expected = revision(&won?);
        let error = lost.expect_err("both changes succeeded").to_string();
        assert!(error.contains(&format!("is at revision {expected}")), "{error}");
    }
    wait_until_applied(&cluster.daemons, expected, Instant::now())
}

#[test]
fn a_change_takes_effect_although_the_table_goes_down_at_once() -> io::Result<()> {
    let mut cluster = deployment(5)?;

    let accepted = revision(&apply(&cluster.daemons[2], &put_workspace(9, 0))?);
    let since = Instant::now();
    cluster::set_switches(&cluster.platform.address, &json!({ "down": true }))?;

    wait_until_applied(&cluster.daemons, accepted, since)?;
    // A daemon that starts now gets the configuration from its peers.
    cluster.add_daemon("late", "tema-a")?;
    let late = &cluster.daemons[5..];
    wait_until_applied(late, accepted, Instant::now())?;
    wait_for("the late daemon to be ready", || is_ready(&late[0]))
}

#[test]
fn a_daemon_without_table_and_peers_is_not_ready() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster::set_switches(&cluster.platform.address, &json!({ "down": true }))?;
    cluster.add_daemon("alone", "tema-a")?;
    // Long enough for several rounds of failing queries.
    thread::sleep(Duration::from_secs(2));

    let ready_in_outage = is_ready(&cluster.daemons[0]);
    cluster::set_switches(&cluster.platform.address, &json!({}))?;

    assert!(!ready_in_outage, "the daemon was ready without a configuration");
    wait_for("readiness after the outage", || is_ready(&cluster.daemons[0]))
}

#[test]
fn a_change_whose_commit_response_is_lost_is_applied_once() -> io::Result<()> {
    let cluster = deployment(3)?;
    let platform = &cluster.platform.address;
    let mut expected = 0;
    for share in 1..=3 {
        let commits_before = commits(platform)?;
        cluster::set_switches(platform, &json!({ "lose_commits": true }))?;

        let applied = thread::scope(|scope| {
            let daemon = &cluster.daemons[share as usize % 3];
            let request = put_workspace(share, expected);
            let operator = scope.spawn(move || apply(daemon, &request));
            wait_for("a commit without a response", || {
                commits(platform).is_ok_and(|it| it > commits_before)
            })?;
            cluster::set_switches(platform, &json!({}))?;
            operator.join().map_err(|_| io::Error::other("the operator panicked"))?
        })?;

        assert_eq!(
            revision(&applied),
            expected + 1,
            "the change was written twice or another was written"
        );
        expected += 1;
    }
    wait_until_applied(&cluster.daemons, expected, Instant::now())?;
    thread::sleep(Duration::from_secs(1));
    assert_eq!(catalog_revision(&cluster.daemons[0].operators)?, expected);
    Ok(())
}

#[test]
fn a_starting_daemon_reads_the_snapshot_unless_it_is_corrupt() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut latest = 0;
    for share in 1..=SNAPSHOT_REVISION + 4 {
        latest = revision(&apply(&cluster.daemons[0], &put_workspace(share as u32, latest))?);
    }
    let object = format!("/objects/{}", object_name(SNAPSHOT_REVISION));
    let platform = cluster.platform.address.clone();
    wait_for("the snapshot", || cluster::status(&platform, &object).is_ok_and(|it| it == 200))?;

    // A peer would be queried as well and could respond before the snapshot is read.
    cluster.daemons.clear();
    let sound = cluster.start_daemon("sound", "tema-a")?;
    wait_until_applied(std::slice::from_ref(&sound), latest, Instant::now())?;
    drop(sound);
    cluster::put(&platform, &object, b"cut off")?;
    cluster.add_daemon("damaged", "tema-a")?;
    wait_until_applied(&cluster.daemons, latest, Instant::now())?;

    let log = |name: &str| fs::read_to_string(cluster.folder.path().join(format!("{name}.log")));
    assert!(!log("sound")?.contains("is unusable"));
    assert!(
        log("damaged")?.contains("snapshot 256 is unusable"),
        "the corrupt snapshot was not logged"
    );
    Ok(())
}

#[test]
fn a_paused_daemon_catches_up_when_it_resumes() -> io::Result<()> {
    let cluster = deployment(3)?;
    let paused = &cluster.daemons[2];
    paused.process.signal(Signal::SIGSTOP)?;
    let mut accepted = 0;
    for share in 1..=5 {
        accepted = revision(&apply(&cluster.daemons[0], &put_workspace(share, accepted))?);
    }
    thread::sleep(Duration::from_secs(4));
    cluster::set_switches(&cluster.platform.address, &json!({ "down": true }))?;

    paused.process.signal(Signal::SIGCONT)?;

    wait_until_applied(&cluster.daemons, accepted, Instant::now())?;
    wait_for("readiness after the pause", || is_ready(paused))
}

fn commits(platform: &str) -> io::Result<u64> {
    let calls: Value = cluster::get(platform, "/fake/calls")?;
    Ok(calls["commits"].as_u64().unwrap_or(0))
}

fn deployment(daemons: usize) -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    for number in 0..daemons {
        cluster.add_daemon(&format!("daemon-{number}"), "tema-a")?;
    }
    cluster.wait_until_settled()?;
    for daemon in &cluster.daemons {
        wait_for("readiness", || is_ready(daemon))?;
    }
    Ok(cluster)
}

fn put_workspace(share: u32, expected: u64) -> Value {
    let workspace = json!({ "name": "office", "token_sha256": [], "share": share });
    json!({ "workspace": workspace, "expected_revision": expected })
}

fn apply(daemon: &Daemon, request: &Value) -> io::Result<Value> {
    admin_call(&daemon.operators, "PutWorkspace", request)
}

fn revision(applied: &Value) -> u64 {
    let parsed = applied["revision"].as_str().and_then(|it| it.parse().ok());
    parsed.or_else(|| applied["revision"].as_u64()).unwrap_or(0)
}

fn wait_until_applied(daemons: &[Daemon], revision: u64, since: Instant) -> io::Result<()> {
    for daemon in daemons {
        wait_for(&format!("revision {revision} on {}", daemon.name), || {
            catalog_revision(&daemon.operators).is_ok_and(|it| it >= revision)
        })?;
    }
    let elapsed = since.elapsed();
    println!("applied on {} daemons after {} ms", daemons.len(), elapsed.as_millis());
    assert!(elapsed < PROPAGATION_BOUND, "applied after {elapsed:?}");
    Ok(())
}

fn is_ready(daemon: &Daemon) -> bool {
    cluster::status(&daemon.callers, "/readyz").is_ok_and(|it| it == 200)
}
