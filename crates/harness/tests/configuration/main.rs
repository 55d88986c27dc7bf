//! Accepted configuration is in force everywhere within seconds and never
//! reverts: by real processes.

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

/// The users' bound: an accepted change is in force on every daemon.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Revision of the first snapshot.
const SNAPSHOT_REVISION: u64 = INTERVAL;

#[test]
fn one_of_two_racing_operators_wins() -> io::Result<()> {
    let cluster = deployment(3)?;
    let mut expected = 0;
    for round in 0..5 {
        let put = |share: u32| put_workspace(share, expected);
        let (one, other) = thread::scope(|scope| {
            let first = &cluster.daemons[0];
            let racer = scope.spawn(|| change(first, &put(1 + 2 * round)));
            let other = change(&cluster.daemons[1], &put(2 + 2 * round));
            (racer.join(), other)
        });
        let one = one.map_err(|_| io::Error::other("racer panicked"))?;

        let (won, lost) = if one.is_ok() { (one, other) } else { (other, one) };

        expected = revision(&won?);
        let refusal = lost.expect_err("both won").to_string();
        assert!(refusal.contains(&format!("is at revision {expected}")), "{refusal}");
    }
    wait_in_force(&cluster.daemons, expected, Instant::now())
}

#[test]
fn a_change_is_in_force_though_the_table_goes_down_at_once() -> io::Result<()> {
    let mut cluster = deployment(5)?;

    let accepted = revision(&change(&cluster.daemons[2], &put_workspace(9, 0))?);
    let since = Instant::now();
    cluster::set_switches(&cluster.platform.address, &json!({ "down": true }))?;

    wait_in_force(&cluster.daemons, accepted, since)?;
    // A daemon that starts now takes the configuration of its peers.
    cluster.add_daemon("late", "tema-a")?;
    let late = &cluster.daemons[5..];
    wait_in_force(late, accepted, Instant::now())?;
    wait_for("the late daemon to be ready", || is_ready(&late[0]))
}

#[test]
fn a_daemon_that_can_ask_nobody_is_not_ready() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster::set_switches(&cluster.platform.address, &json!({ "down": true }))?;
    cluster.add_daemon("alone", "tema-a")?;
    // Several rounds of asking, all in vain.
    thread::sleep(Duration::from_secs(2));

    let ready_in_outage = is_ready(&cluster.daemons[0]);
    cluster::set_switches(&cluster.platform.address, &json!({}))?;

    assert!(!ready_in_outage, "ready without a configuration");
    wait_for("readiness after the outage", || is_ready(&cluster.daemons[0]))
}

#[test]
fn lost_answers_change_nothing_twice() -> io::Result<()> {
    let cluster = deployment(3)?;
    let platform = &cluster.platform.address;
    let mut expected = 0;
    for share in 1..=3 {
        let before = commits(platform)?;
        cluster::set_switches(platform, &json!({ "lose_commits": true }))?;

        let applied = thread::scope(|scope| {
            let daemon = &cluster.daemons[share as usize % 3];
            let request = put_workspace(share, expected);
            let changing = scope.spawn(move || change(daemon, &request));
            wait_for("a commit without answer", || commits(platform).is_ok_and(|it| it > before))?;
            cluster::set_switches(platform, &json!({}))?;
            changing.join().map_err(|_| io::Error::other("operator panicked"))?
        })?;

        assert_eq!(revision(&applied), expected + 1, "written twice or by another");
        expected += 1;
    }
    wait_in_force(&cluster.daemons, expected, Instant::now())?;
    thread::sleep(Duration::from_secs(1));
    assert_eq!(catalog_revision(&cluster.daemons[0].operators)?, expected);
    Ok(())
}

#[test]
fn a_start_reads_a_snapshot_unless_it_is_damaged() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut newest = 0;
    for share in 1..=SNAPSHOT_REVISION + 4 {
        newest = revision(&change(&cluster.daemons[0], &put_workspace(share as u32, newest))?);
    }
    let object = format!("/objects/{}", object_name(SNAPSHOT_REVISION));
    let platform = cluster.platform.address.clone();
    wait_for("the snapshot", || cluster::status(&platform, &object).is_ok_and(|it| it == 200))?;

    // A peer would be asked as well and may answer first.
    cluster.daemons.clear();
    let sound = cluster.start_daemon("sound", "tema-a")?;
    wait_in_force(std::slice::from_ref(&sound), newest, Instant::now())?;
    drop(sound);
    cluster::put(&platform, &object, b"cut off")?;
    cluster.add_daemon("damaged", "tema-a")?;
    wait_in_force(&cluster.daemons, newest, Instant::now())?;

    let log = |name: &str| fs::read_to_string(cluster.folder.path().join(format!("{name}.log")));
    assert!(!log("sound")?.contains("is unusable"));
    assert!(log("damaged")?.contains("snapshot 256 is unusable"), "passed over in silence");
    Ok(())
}

#[test]
fn a_frozen_daemon_catches_up_on_wake() -> io::Result<()> {
    let cluster = deployment(3)?;
    let frozen = &cluster.daemons[2];
    frozen.process.signal(Signal::SIGSTOP)?;
    let mut accepted = 0;
    for share in 1..=5 {
        accepted = revision(&change(&cluster.daemons[0], &put_workspace(share, accepted))?);
    }
    thread::sleep(Duration::from_secs(4));
    cluster::set_switches(&cluster.platform.address, &json!({ "down": true }))?;

    frozen.process.signal(Signal::SIGCONT)?;

    wait_in_force(&cluster.daemons, accepted, Instant::now())?;
    wait_for("readiness after the freeze", || is_ready(frozen))
}

fn commits(platform: &str) -> io::Result<u64> {
    let calls: Value = cluster::get(platform, "/fake/calls")?;
    Ok(calls["commits"].as_u64().unwrap_or(0))
}

fn deployment(daemons: usize) -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    for at in 0..daemons {
        cluster.add_daemon(&format!("daemon-{at}"), "tema-a")?;
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

fn change(daemon: &Daemon, request: &Value) -> io::Result<Value> {
    admin_call(&daemon.operators, "PutWorkspace", request)
}

fn revision(applied: &Value) -> u64 {
    let text = applied["revision"].as_str().and_then(|it| it.parse().ok());
    text.or_else(|| applied["revision"].as_u64()).unwrap_or(0)
}

fn wait_in_force(daemons: &[Daemon], revision: u64, since: Instant) -> io::Result<()> {
    for daemon in daemons {
        wait_for(&format!("revision {revision} on {}", daemon.name), || {
            catalog_revision(&daemon.operators).is_ok_and(|it| it >= revision)
        })?;
    }
    let took = since.elapsed();
    println!("in force on {} daemons after {} ms", daemons.len(), took.as_millis());
    assert!(took < IN_FORCE, "in force after {took:?}");
    Ok(())
}

fn is_ready(daemon: &Daemon) -> bool {
    cluster::status(&daemon.callers, "/readyz").is_ok_and(|it| it == 200)
}
