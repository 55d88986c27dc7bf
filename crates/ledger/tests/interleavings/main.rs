//! Interleavings of daemons over one table with faults, on paused time.

mod world;

use std::time::Duration;

use arbtest::arbtest;
use world::World;
use world::checks::Tally;

/// Seeds tried on every run; `LEDGER_SEEDS` sets another number.
const SEEDS: u64 = 200;
/// Bytes of randomness of one run.
const ENTROPY_BYTES: u64 = 4 * 1024;
const DAEMONS: usize = 3;

#[test]
fn no_call_is_executed_twice_and_words_are_true() {
    let seeds = std::env::var("LEDGER_SEEDS").ok().and_then(|it| it.parse().ok());
    let mut sum = Tally::default();
    for number in 1..=seeds.unwrap_or(SEEDS) {
        let seed = number << 32 | ENTROPY_BYTES;
        arbtest(|u| {
            let mut world = World::new(DAEMONS, seed);

            while !u.is_empty() {
                world.step(u)?;
            }
            world.heal();

            world.check_words();
            world.check_progress(Duration::from_secs(30));
            world.tally(&mut sum);
            Ok(())
        })
        .seed(seed);
    }
    println!("{sum:?}");
    let reached = [sum.granted, sum.executed, sum.unknown, sum.snapshots_loaded, sum.holders];
    assert!(reached.iter().all(|it| *it as u64 >= SEEDS), "too little was reached: {sum:?}");
}
