//! Several daemons compete for one lease row, with lost responses, pauses and an
//! unreachable store.

use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use duty::lease::Action;
use duty::lease::DURATION;
use duty::lease::Lease;
use duty::lease::Outcome;
use store::position;
use store::table::ABSENT;
use store::table::Row;

const SEEDS: u64 = 300;
const ENTROPY_BYTES: u64 = 4 * 1024;
const DAEMONS: usize = 3;

/// A daemon with its pending store call.
struct Daemon {
    lease: Lease,
    pending: Option<Action>,
    paused_until: Duration,
    /// Latest era that one of its clients has seen.
    era: u64,
}

struct World {
    now: Duration,
    row: Row,
    version: u64,
    /// Era of the store; 0 if it states none.
    era: u64,
    /// Highest number of a random step; those from 20 on are about eras.
    last_step: u32,
    /// States of the store from which it may return: row and version.
    copies: Vec<(Row, u64)>,
    restarts: usize,
    daemons: Vec<Daemon>,
    /// Writes that the store applies later: time, expected version and content.
    delayed: Vec<(Duration, u64, String)>,
    /// Actions of lease holders: time, daemon and fencing token.
    acted: Vec<(Duration, usize, u64)>,
}

#[test]
fn one_daemon_acts_at_a_time_with_increasing_fences() {
    let acted = play(World::new, SEEDS);

    assert!(acted as u64 > 10 * SEEDS, "too few actions were simulated: {acted}");
}

#[test]
fn one_daemon_acts_at_a_time_while_the_store_returns_from_copies() {
    let acted = play(World::with_eras, seeds());

    assert!(acted as u64 > 5 * seeds(), "too few actions were simulated: {acted}");
}

#[test]
fn the_lease_is_taken_over_after_its_holder_stops() {
    let mut world = World::new();
    world.run_for(Duration::from_secs(3), &[]);
    let holder = world.acted.last().expect("a daemon holds the lease").1;

    world.run_for(DURATION + Duration::from_secs(3), &[holder]);

    assert_ne!(world.acted.last().unwrap().1, holder);
    world.check();
}

#[test]
fn the_former_holder_in_a_restored_row_does_not_act_beside_the_current_one() {
    let mut world = World::with_eras();
    world.run_for(DURATION + Duration::from_secs(1), &[]);
    let former = world.acted.last().expect("a daemon holds the lease").1;
    world.copies.push((world.row.clone(), world.version));
    world.run_for(DURATION + Duration::from_secs(3), &[former]);
    assert_ne!(world.acted.last().unwrap().1, former);

    (world.row, world.version) = world.copies[0].clone();
    world.era += 1;
    world.run_for(DURATION + Duration::from_secs(3), &[]);

    world.check();
    let (last, ..) = world.acted.last().unwrap();
    assert!(*last > world.now - Duration::from_secs(1), "no daemon holds the lease");
}

#[test]
fn followers_do_not_read_the_row_while_the_holder_is_known() {
    let mut lease = Lease::new("b".to_owned(), Duration::ZERO);
    let mut reads = 0;
    for tick in 0..200 {
        let now = Duration::from_millis(tick * 50);
        lease.observe_holder(now);
        reads += usize::from(lease.tick(now, Duration::ZERO).is_some());
    }

    assert_eq!(reads, 0);
}

impl Daemon {
    /// A client of the daemon sees the era that the store states.
    fn learn_era(&mut self, era: u64, now: Duration) {
        if era > 0 {
            self.era = era;
            self.lease.observe_era(era, now);
        }
    }
}

impl World {
    /// A store that states its era and returns from older copies in random steps.
    fn with_eras() -> World {
        World { era: 1, last_step: 31, ..World::new() }
    }

    fn new() -> World {
        let daemon = |index: usize| Daemon {
            lease: Lease::new(format!("daemon-{index}"), Duration::ZERO),
            pending: None,
            paused_until: Duration::ZERO,
            era: 0,
        };
        World {
            now: Duration::from_secs(100),
            row: Row { key: "lease".to_owned(), version: ABSENT, value: String::new() },
            version: 1,
            era: 0,
            last_step: 19,
            copies: Vec::new(),
            restarts: 0,
            daemons: (0..DAEMONS).map(daemon).collect(),
            delayed: Vec::new(),
            acted: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.advance(Duration::from_millis(u.int_in_range(10..=200)?));
        let index = u.choose_index(DAEMONS)?;
        if self.now < self.daemons[index].paused_until {
            return Ok(());
        }
        match u.int_in_range(0..=self.last_step)? {
            20 => self.copies.push((self.row.clone(), self.version)),
            21 => self.restore(u)?,
            22 => self.restart(index),
            23 => self.daemons[index].learn_era(self.era, self.now),
            0 => {
                let pause = Duration::from_millis(u.int_in_range(100..=7_000)?);
                self.daemons[index].paused_until = self.now + pause;
            }
            1 => self.complete(index, CallResult::Lost),
            2 => self.complete(index, CallResult::Rejected),
            3 => {
                let delay = Duration::from_millis(u.int_in_range(500..=6_000)?);
                self.complete(index, CallResult::Late(delay));
            }
            4..=9 => self.complete(index, CallResult::Done),
            _ => self.poll(index),
        }
        Ok(())
    }

    fn run_for(&mut self, time: Duration, without: &[usize]) {
        let until = self.now + time;
        while self.now < until {
            self.advance(Duration::from_millis(50));
            for index in (0..DAEMONS).filter(|it| !without.contains(it)) {
                self.poll(index);
                self.complete(index, CallResult::Done);
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let (due, delayed) = self.delayed.drain(..).partition(|(at, ..)| *at <= self.now);
        self.delayed = delayed;
        let due: Vec<(Duration, u64, String)> = due;
        for (_, version, value) in due {
            self.write(version, &value);
        }
    }

    fn poll(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if daemon.pending.is_none() {
            daemon.pending = daemon.lease.tick(self.now, Duration::ZERO);
        }
        if let Some(grant) = daemon.lease.grant(self.now, Duration::ZERO) {
            self.acted.push((self.now, index, grant.fence));
        }
    }

    fn complete(&mut self, index: usize, result: CallResult) {
        let Some(action) = self.daemons[index].pending.take() else { return };
        match action {
            Action::Read => {
                let row = Row { version: self.position(self.row.version), ..self.row.clone() };
                let daemon = &mut self.daemons[index];
                daemon.pending = match result {
                    CallResult::Done => {
                        daemon.learn_era(self.era, self.now);
                        daemon.lease.read_completed(&row, self.now)
                    }
                    _ => {
                        daemon.lease.read_failed();
                        None
                    }
                };
            }
            Action::Write { version, value } => {
                let outcome = self.call_write(index, version, &value, result);
                self.daemons[index].lease.write_completed(&outcome, self.now);
            }
        }
    }

    /// Writes the row as the client of the store does. It never sends a version of another era, nor
    /// relies on a row that was absent in another one, and can't tell the outcome of a write during which a new era began.
    fn call_write(
        &mut self,
        index: usize,
        position: u64,
        value: &str,
        result: CallResult,
    ) -> Outcome {
        if position::era(position) != self.daemons[index].era {
            return Outcome::Conflict;
        }
        let version = position::version(position);
        match result {
            CallResult::Done => {
                let written = self.write(version, value);
                let has_era_begun = self.daemons[index].era != self.era;
                self.daemons[index].era = self.era;
                match written {
                    _ if has_era_begun => Outcome::Unknown,
                    Some(version) => Outcome::Committed(self.position(version)),
                    None => Outcome::Conflict,
                }
            }
            CallResult::Lost => {
                self.write(version, value);
                Outcome::Unknown
            }
            CallResult::Late(delay) => {
                self.delayed.push((self.now + delay, version, value.to_owned()));
                Outcome::Unknown
            }
            CallResult::Rejected => Outcome::Rejected,
        }
    }

    fn position(&self, version: u64) -> u64 {
        position::join(self.era, version)
    }

    /// The store returns from one of its copies.
    fn restore(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.copies.is_empty() {
            let copy = u.choose_index(self.copies.len())?;
            // Later states never existed in the new era.
            self.copies.truncate(copy + 1);
            (self.row, self.version) = self.copies[copy].clone();
            self.era += 1;
        }
        Ok(())
    }

    /// A daemon is killed and started again.
    fn restart(&mut self, index: usize) {
        self.restarts += 1;
        let daemon = &mut self.daemons[index];
        daemon.lease = Lease::new(format!("daemon-{index}-{}", self.restarts), self.now);
        daemon.era = 0;
        daemon.pending = None;
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
            let within = after.iter().take_while(|(then, ..)| *then < *at + MIN_HANDOVER_TIME);
            let holders: Vec<usize> = within.map(|(_, it, _)| *it).collect();
            let mut changes = holders.clone();
            changes.dedup();
            assert!(changes.len() <= 2, "{changes:?} within a lease from {at:?}");
            let same = |(_, it, number): &&(Duration, usize, u64)| number == fence && it != daemon;
            assert!(!after.iter().any(|it| same(&it)), "fence {fence} was used twice");
        }
    }
}

/// Plays a random interleaving for each seed and checks it. Returns the number of actions of
/// lease holders.
fn play(world: impl Fn() -> World, seeds: u64) -> usize {
    let mut acted = 0;
    for number in 1..=seeds {
        arbtest(|u| {
            let mut world = world();
            while !u.is_empty() {
                world.step(u)?;
            }
            world.check();
            acted += world.acted.len();
            Ok(())
        })
        .seed(number << 32 | ENTROPY_BYTES);
    }
    acted
}

/// Number of interleavings with eras; `SEEDS` sets another one.
fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS)
}

/// Time after a change of the lease holder in which the previous holder must not
/// act again.
const MIN_HANDOVER_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy)]
enum CallResult {
    Done,
    Lost,
    Late(Duration),
    Rejected,
}
