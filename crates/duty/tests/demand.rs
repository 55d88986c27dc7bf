//! Load estimation from the totals that daemons report.

use std::time::Duration;
use std::time::Instant;

use duty::demand::Demand;

const STEP: Duration = Duration::from_millis(500);

/// Guards against a slow start of the average: it began at zero and took six
/// seconds to reach the load, while a reclaim wave had to be compensated.
#[test]
fn a_new_load_is_measured_within_a_second() {
    let mut simulation = Simulation::new(7);
    simulation.run(20, 0.0);

    let measured = simulation.run(2, 40_000.0);

    assert!((measured - 40_000.0).abs() < 1_000.0, "{measured}");
}

#[test]
fn a_load_change_is_averaged() {
    let mut simulation = Simulation::new(7);
    simulation.run(20, 10_000.0);

    let soon = simulation.run(1, 40_000.0);
    let later = simulation.run(20, 40_000.0);

    assert!(soon < 16_000.0, "{soon}");
    assert!((later - 40_000.0).abs() < 2_000.0, "{later}");
}

#[test]
fn work_before_the_first_report_of_a_daemon_is_ignored() {
    let mut simulation = Simulation::new(2);
    simulation.run(20, 1_000.0);
    simulation.totals.push(("late".to_owned(), 900_000.0));

    let measured = simulation.run(1, 1_000.0);

    assert!(measured < 1_500.0, "{measured}");
}

#[test]
fn a_reset_total_does_not_lower_the_load() {
    let mut simulation = Simulation::new(2);
    simulation.run(20, 1_000.0);
    simulation.totals[0].1 = 0.0;

    let measured = simulation.run(1, 1_000.0);

    assert!((800.0..=1_000.0).contains(&measured), "{measured}");
}

struct Simulation {
    demand: Demand,
    totals: Vec<(String, f64)>,
    now: Instant,
}

impl Simulation {
    fn new(daemons: usize) -> Simulation {
        let totals = (0..daemons).map(|it| (format!("d{it}"), 0.0)).collect();
        Simulation { demand: Demand::default(), totals, now: Instant::now() }
    }

    /// Returns the measured load after some steps with constant work per second.
    fn run(&mut self, steps: u32, per_s: f64) -> f64 {
        let mut measured = 0.0;
        for _ in 0..steps {
            self.now += STEP;
            let share = per_s * STEP.as_secs_f64() / self.totals.len() as f64;
            self.totals.iter_mut().for_each(|(_, total)| *total += share);
            measured = self.demand.update(&self.totals, self.now);
        }
        measured
    }
}
