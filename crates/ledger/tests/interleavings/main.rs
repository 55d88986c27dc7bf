//! Random interleavings of several daemons on one table, with faults and
//! simulated time.

mod world;

use std::time::Duration;

use arbtest::arbtest;
use world::World;
use world::checks::Tally;

/// Default number of seeds. `LEDGER_SEEDS` overrides it.
const SEEDS: u64 = 200;
/// Number of random bytes that drive one run.
const ENTROPY_BYTES: u64 = 4 * 1024;
const DAEMONS: usize = 3;

#[test]
fn no_call_is_executed_twice_and_verdicts_are_correct() {
    let seeds = std::env::var("LEDGER_SEEDS").ok().and_then(|it| it.parse().ok());
    let mut tally = Tally::default();
    for number in 1..=seeds.unwrap_or(SEEDS) {
        let seed = number << 32 | ENTROPY_BYTES;
        arbtest(|u| {
            let mut world = World::new(DAEMONS, seed);

            while !u.is_empty() {
                world.step(u)?;
            }
            world.clear_faults();

            world.check_verdicts();
            world.check_progress(Duration::from_secs(30));
            world.add_to(&mut tally);
            Ok(())
        })
        .seed(seed);
    }
    println!("{tally:?}");
    let reached =
        [tally.granted, tally.executed, tally.unknown, tally.snapshots_loaded, tally.holders];
    assert!(reached.iter().all(|it| *it as u64 >= SEEDS), "too few events occurred: {tally:?}");
}
