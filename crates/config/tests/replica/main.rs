//! Tests of configuration replicas under faults and interleavings.

mod world;

use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use config::log::HEAD_KEY;
use config::replica::Action;
use config::replica::Input;
use config::replica::PAUSE_THRESHOLD;
use config::replica::READ_INTERVAL;
use config::replica::Replica;
use config::replica::snapshot::Snapshot;
use store::table::ABSENT;
use store::table::Row;

use crate::world::World;

const SEEDS: u64 = 200;
const RANDOM_BYTES: u64 = 4096;

/// Runs a property with fixed seeds. The environment variable `SEEDS` sets their
/// number.
fn check(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    let seeds = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        arbtest(property).seed((seed << 32) | RANDOM_BYTES).run();
    }
}

#[test]
fn replicas_converge_to_the_table_under_faults() {
    check(|u| {
        let mut world = World::new(u.int_in_range(3..=5)?);

        while !u.is_empty() {
            world.step(u)?;
        }
        world.recover();

        world.check_convergence();
        Ok(())
    });
}

#[test]
fn a_change_reaches_all_replicas_while_the_table_is_down() {
    check(|u| {
        let mut world = World::new(5);
        world.recover();
        let committer = u.choose_index(5)?;
        let revision = world.accept_then_outage(committer);
        world.run_outage();
        world.restart(u.choose_index(5)?);

        world.run_outage();

        assert_eq!(world.revisions(), vec![revision; 5]);
        assert!(world.all_ready(), "not ready although peers are reachable");
        Ok(())
    });
}

#[test]
fn a_corrupt_row_is_reported_and_not_applied() {
    for key in ["config/head", "config/change/00000000000000000001"] {
        let mut world = World::new(3);
        world.recover();
        world.accept_then_outage(0);
        world.corrupt(key);
        world.restart_all();

        world.run_rounds(20);

        assert!(world.reports.iter().any(|it| it.contains(key)), "{:?}", world.reports);
        assert_eq!(world.revisions(), vec![0; 3]);
        assert!(!world.any_ready(), "ready without a configuration");
    }
}

#[test]
fn a_truncated_snapshot_is_rejected() {
    let catalog = config::catalog::Catalog { revision: 7, ..Default::default() };
    let intact = Snapshot::new(&catalog).expect("encodable");
    let mut truncated = intact.clone();
    truncated.content.pop();

    assert_eq!(intact.catalog(), Ok(catalog));
    assert!(truncated.catalog().expect_err("truncated").contains("checksum"));
}

#[test]
fn a_resumed_daemon_is_ready_only_after_a_later_read_completes() {
    let start = Instant::now();
    let absent = Row { key: HEAD_KEY.to_owned(), version: ABSENT, value: String::new() };
    let mut replica = Replica::new(1, start);
    replica.handle(start, Input::Tick);
    replica.handle(start, Input::SnapshotRead(Ok(None)));
    replica.handle(start, Input::HeadRead(Ok(absent.clone())));
    let ready = replica.is_ready();
    let before_pause = start + READ_INTERVAL;
    // This read starts before the pause and completes after it.
    assert!(replica.handle(before_pause, Input::Tick).contains(&Action::ReadHead));
    let resumed_at = before_pause + PAUSE_THRESHOLD;

    let actions = replica.handle(resumed_at, Input::HeadRead(Ok(absent.clone())));
    let ready_by_earlier_read = replica.is_ready();
    replica.handle(resumed_at, Input::HeadRead(Ok(absent)));

    assert!(ready && !ready_by_earlier_read && replica.is_ready());
    assert!(actions.contains(&Action::Ready(false)) && actions.contains(&Action::ReadHead));
    assert!(actions.iter().any(|it| matches!(it, Action::Query(None, _))));
}
