//! The work that callers bring, as the holder of the lease learns it.

use std::time::Duration;
use std::time::Instant;

use duty::demand::Demand;

const STEP: Duration = Duration::from_millis(500);

/// The average began at zero and took six seconds to reach the load, while a
/// wave of reclaims had to be made good.
#[test]
fn a_load_that_begins_is_known_within_a_second() {
    let mut play = Play::new(7);
    play.run(20, 0.0);

    let known = play.run(2, 40_000.0);

    assert!((known - 40_000.0).abs() < 1_000.0, "{known}");
}

#[test]
fn a_change_is_averaged() {
    let mut play = Play::new(7);
    play.run(20, 10_000.0);

    let soon = play.run(1, 40_000.0);
    let later = play.run(20, 40_000.0);

    assert!(soon < 16_000.0, "{soon}");
    assert!((later - 40_000.0).abs() < 2_000.0, "{later}");
}

#[test]
fn what_a_daemon_did_before_it_was_heard_is_no_load() {
    let mut play = Play::new(2);
    play.run(20, 1_000.0);
    play.totals.push(("late".to_owned(), 900_000.0));

    let known = play.run(1, 1_000.0);

    assert!(known < 1_500.0, "{known}");
}

#[test]
fn a_daemon_that_begins_anew_takes_nothing_away() {
    let mut play = Play::new(2);
    play.run(20, 1_000.0);
    play.totals[0].1 = 0.0;

    let known = play.run(1, 1_000.0);

    assert!((800.0..=1_000.0).contains(&known), "{known}");
}

struct Play {
    demand: Demand,
    totals: Vec<(String, f64)>,
    now: Instant,
}

impl Play {
    fn new(daemons: usize) -> Play {
        let totals = (0..daemons).map(|it| (format!("d{it}"), 0.0)).collect();
        Play { demand: Demand::default(), totals, now: Instant::now() }
    }

    /// Work as known after some steps with so much a second.
    fn run(&mut self, steps: u32, per_s: f64) -> f64 {
        let mut known = 0.0;
        for _ in 0..steps {
            self.now += STEP;
            let each = per_s * STEP.as_secs_f64() / self.totals.len() as f64;
            self.totals.iter_mut().for_each(|(_, total)| *total += each);
            known = self.demand.update(&self.totals, self.now);
        }
        known
    }
}
