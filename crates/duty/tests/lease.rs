//! Daemons over one row, with lost answers, pauses and an unreachable store.

use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use duty::lease::Action;
use duty::lease::LENGTH;
use duty::lease::Lease;
use duty::lease::Written;
use store::table::ABSENT;
use store::table::Row;

const SEEDS: u64 = 300;
const ENTROPY_BYTES: u64 = 4 * 1024;
const DAEMONS: usize = 3;

/// A daemon with the call that it has open.
struct Daemon {
    lease: Lease,
    open: Option<Action>,
    paused_until: Duration,
}

struct World {
    now: Duration,
    row: Row,
    version: u64,
    daemons: Vec<Daemon>,
    /// Writes that the store carries out later.
    late: Vec<(Duration, u64, String)>,
    /// Who acted when, with which fencing number.
    acted: Vec<(Duration, usize, u64)>,
}

#[test]
fn one_daemon_acts_at_a_time_under_a_rising_fence() {
    let mut acted = 0;
    for number in 1..=SEEDS {
        arbtest(|u| {
            let mut world = World::new();

            while !u.is_empty() {
                world.step(u)?;
            }

            world.check();
            acted += world.acted.len();
            Ok(())
        })
        .seed(number << 32 | ENTROPY_BYTES);
    }
    assert!(acted as u64 > 10 * SEEDS, "too little was reached: {acted}");
}

#[test]
fn the_lease_is_taken_over_when_its_holder_ends() {
    let mut world = World::new();
    world.run_for(Duration::from_secs(3), &[]);
    let holder = world.acted.last().expect("someone holds it").1;

    world.run_for(LENGTH + Duration::from_secs(3), &[holder]);

    assert_ne!(world.acted.last().unwrap().1, holder);
    world.check();
}

#[test]
fn a_holder_that_others_hear_is_left_alone() {
    let mut lease = Lease::new("b".to_owned());
    let mut reads = 0;
    for at in 0..200 {
        let now = Duration::from_millis(at * 50);
        lease.hear_holder(now);
        reads += usize::from(lease.tick(now).is_some());
    }

    assert_eq!(reads, 0);
}

impl World {
    fn new() -> World {
        let daemon = |at: usize| Daemon {
            lease: Lease::new(format!("daemon-{at}")),
            open: None,
            paused_until: Duration::ZERO,
        };
        World {
            now: Duration::from_secs(100),
            row: Row { key: "lease".to_owned(), version: ABSENT, value: String::new() },
            version: 1,
            daemons: (0..DAEMONS).map(daemon).collect(),
            late: Vec::new(),
            acted: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.pass(Duration::from_millis(u.int_in_range(10..=200)?));
        let at = u.choose_index(DAEMONS)?;
        if self.now < self.daemons[at].paused_until {
            return Ok(());
        }
        match u.int_in_range(0..=19)? {
            0 => {
                let pause = Duration::from_millis(u.int_in_range(100..=7_000)?);
                self.daemons[at].paused_until = self.now + pause;
            }
            1 => self.answer(at, Fate::Lost),
            2 => self.answer(at, Fate::Refused),
            3 => {
                let delay = Duration::from_millis(u.int_in_range(500..=6_000)?);
                self.answer(at, Fate::Late(delay));
            }
            4..=9 => self.answer(at, Fate::Done),
            _ => self.tend(at),
        }
        Ok(())
    }

    fn run_for(&mut self, time: Duration, without: &[usize]) {
        let until = self.now + time;
        while self.now < until {
            self.pass(Duration::from_millis(50));
            for at in (0..DAEMONS).filter(|it| !without.contains(it)) {
                self.tend(at);
                self.answer(at, Fate::Done);
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        let (due, late) = self.late.drain(..).partition(|(at, ..)| *at <= self.now);
        self.late = late;
        let due: Vec<(Duration, u64, String)> = due;
        for (_, version, value) in due {
            self.write(version, &value);
        }
    }

    fn tend(&mut self, at: usize) {
        let daemon = &mut self.daemons[at];
        if daemon.open.is_none() {
            daemon.open = daemon.lease.tick(self.now);
        }
        if let Some(grant) = daemon.lease.grant(self.now, Duration::ZERO) {
            self.acted.push((self.now, at, grant.fence));
        }
    }

    fn answer(&mut self, at: usize, fate: Fate) {
        let Some(action) = self.daemons[at].open.take() else { return };
        match action {
            Action::Read => {
                let lease = &mut self.daemons[at].lease;
                self.daemons[at].open = match fate {
                    Fate::Done => lease.read(&self.row, self.now),
                    _ => {
                        lease.read_failed();
                        None
                    }
                };
            }
            Action::Write { version, value } => {
                let written = match fate {
                    Fate::Done => match self.write(version, &value) {
                        Some(version) => Written::Done(version),
                        None => Written::Conflict,
                    },
                    Fate::Lost => {
                        self.write(version, &value);
                        Written::Unknown
                    }
                    Fate::Late(delay) => {
                        self.late.push((self.now + delay, version, value));
                        Written::Unknown
                    }
                    Fate::Refused => Written::Refused,
                };
                self.daemons[at].lease.written(&written, self.now);
            }
        }
    }

    fn write(&mut self, expected: u64, value: &str) -> Option<u64> {
        if self.row.version != expected {
            return None;
        }
        self.version += 1;
        self.row.version = self.version;
        self.row.value = value.to_owned();
        Some(self.version)
    }

    fn check(&self) {
        for pair in self.acted.windows(2) {
            let [(_, _, before), (at, daemon, fence)] = pair else { continue };
            assert!(fence >= before, "daemon {daemon} acted at {at:?} with an older fence");
        }
        for (first, (at, daemon, fence)) in self.acted.iter().enumerate() {
            let after = &self.acted[first..];
            let within = after.iter().take_while(|(then, ..)| *then < *at + LENGTH_OF_RULE);
            let holders: Vec<usize> = within.map(|(_, it, _)| *it).collect();
            let mut changes = holders.clone();
            changes.dedup();
            assert!(changes.len() <= 2, "{changes:?} within a lease from {at:?}");
            let same = |(_, it, number): &&(Duration, usize, u64)| number == fence && it != daemon;
            assert!(!after.iter().any(|it| same(&it)), "fence {fence} was used twice");
        }
    }
}

/// Time within which a former holder may not act again.
const LENGTH_OF_RULE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy)]
enum Fate {
    Done,
    Lost,
    Late(Duration),
    Refused,
}
