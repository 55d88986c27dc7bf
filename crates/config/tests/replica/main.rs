//! Replicas of the configuration under faults and interleavings.

mod world;

use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use config::log::HEAD_KEY;
use config::replica::Action;
use config::replica::FREEZE;
use config::replica::Input;
use config::replica::READ_INTERVAL;
use config::replica::Replica;
use config::replica::snapshot::Snapshot;
use store::table::ABSENT;
use store::table::Row;

use crate::world::World;

const SEEDS: u64 = 200;
const RANDOM_BYTES: u64 = 4096;

/// Runs a property with fixed seeds; `SEEDS` asks for another number.
fn check(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    let seeds = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        arbtest(property).seed((seed << 32) | RANDOM_BYTES).run();
    }
}

#[test]
fn replicas_agree_with_the_table_under_faults() {
    check(|u| {
        let mut world = World::new(u.int_in_range(3..=5)?);

        while !u.is_empty() {
            world.step(u)?;
        }
        world.heal();

        world.check_end();
        Ok(())
    });
}

#[test]
fn a_change_spreads_while_the_table_is_down() {
    check(|u| {
        let mut world = World::new(5);
        world.heal();
        let accepting = u.choose_index(5)?;
        let revision = world.accept_then_outage(accepting);
        world.settle_in_outage();
        world.restart(u.choose_index(5)?);

        world.settle_in_outage();

        assert_eq!(world.revisions(), vec![revision; 5]);
        assert!(world.all_ready(), "unready though peers could be asked");
        Ok(())
    });
}

#[test]
fn a_damaged_row_is_refused_loudly() {
    for key in ["config/head", "config/change/00000000000000000001"] {
        let mut world = World::new(3);
        world.heal();
        world.accept_then_outage(0);
        world.damage(key);
        world.restart_all();

        world.run_rounds(20);

        assert!(world.reports.iter().any(|it| it.contains(key)), "{:?}", world.reports);
        assert_eq!(world.revisions(), vec![0; 3]);
        assert!(!world.any_ready(), "ready without a configuration");
    }
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let catalog = config::catalog::Catalog { revision: 7, ..Default::default() };
    let sound = Snapshot::new(&catalog).expect("encodable");
    let mut cut = sound.clone();
    cut.content.pop();

    assert_eq!(sound.catalog(), Ok(catalog));
    assert!(cut.catalog().expect_err("cut").contains("checksum"));
}

#[test]
fn a_woken_daemon_is_ready_only_after_an_answer_to_a_later_question() {
    let start = Instant::now();
    let absent = Row { key: HEAD_KEY.to_owned(), version: ABSENT, value: String::new() };
    let mut replica = Replica::new(1, start);
    replica.handle(start, Input::Tick);
    replica.handle(start, Input::SnapshotRead(Ok(None)));
    replica.handle(start, Input::HeadRead(Ok(absent.clone())));
    let ready = replica.is_ready();
    let before = start + READ_INTERVAL;
    // Asked before the freeze, answered after it.
    assert!(replica.handle(before, Input::Tick).contains(&Action::ReadHead));
    let woken = before + FREEZE;

    let actions = replica.handle(woken, Input::HeadRead(Ok(absent.clone())));
    let ready_by_old_answer = replica.is_ready();
    replica.handle(woken, Input::HeadRead(Ok(absent)));

    assert!(ready && !ready_by_old_answer && replica.is_ready());
    assert!(actions.contains(&Action::Ready(false)) && actions.contains(&Action::ReadHead));
    assert!(actions.iter().any(|it| matches!(it, Action::Ask(None, _))));
}
