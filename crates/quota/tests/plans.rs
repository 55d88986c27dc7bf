//! A workspace's limit under random plans of failures and load.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use quota::scarcity::Request;
use quota::workspace::Bucket;
use quota::workspace::Limit;
use quota::workspace::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 1_000;
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;
/// Size of the random input from which a plan is made.
const RANDOM_BYTES: u64 = 64;
const UNITS: [f64; 4] = [17_000.0, 9_200.0, 1_800.0, 200.0];

#[test]
fn no_plan_extends_the_limit() {
    (1..30).for_each(|seed| check(7, seed));
    (1..12).for_each(|seed| check(67, seed));
    check(420, 1);
}

/// Most of 67 daemons are killed, and a third of them once more 7.5 s later.
#[test]
fn repeated_kills_of_most_daemons_do_not_extend_the_limit() {
    check(67, 26);
}

fn check(daemons: usize, seed: u64) {
    let plan = |u: &mut Unstructured<'_>| {
        let plan = Plan::new(daemons, u)?;

        let excess = plan.play(seed);

        assert!(excess <= 0.0, "{excess:.0} units too many, seed {seed}: {plan:?}");
        Ok(())
    };
    arbtest(plan).seed((seed << 32) | RANDOM_BYTES).run();
}

/// What happens to daemons, chosen at random.
#[derive(Clone, Copy, Debug)]
enum Event {
    Kill { daemons: usize },
    Cut { daemons: usize },
    Heal,
    Join,
    Limit { factor: f64 },
}

#[derive(Debug)]
struct Plan {
    daemons: usize,
    rate: f64,
    /// Units asked for, as a multiple of the rate, from the fourth second on.
    demand: f64,
    events: Vec<(u32, Event)>,
}

impl Plan {
    fn new(daemons: usize, u: &mut Unstructured<'_>) -> arbitrary::Result<Plan> {
        let rate = *u.choose(&[140_000.0, 400_000.0, 1_590_000.0])?;
        let demand = *u.choose(&[0.6, 1.5, 4.0, 7.5])?;
        let mut events = Vec::new();
        for _ in 0..u.int_in_range(1..=4)? {
            let part = u.int_in_range(1..=daemons)?;
            let event = match u.int_in_range(0..=4)? {
                0 => Event::Kill { daemons: part },
                1 => Event::Cut { daemons: part },
                2 => Event::Heal,
                3 => Event::Join,
                _ => Event::Limit { factor: *u.choose(&[0.5, 0.8, 1.25])? },
            };
            events.push((u.int_in_range(200..=800)?, event));
        }
        events.sort_by_key(|(step, _)| *step);
        Ok(Plan { daemons, rate, demand, events })
    }

    /// Returns the most units that were admitted in any window beyond what is allowed in it.
    fn play(&self, seed: u64) -> f64 {
        let mut fleet = Fleet::new(self, seed);
        let mean = UNITS.iter().sum::<f64>() / UNITS.len() as f64;
        for step in 0..STEPS {
            let now = fleet.start + STEP * step;
            for (_, event) in self.events.iter().filter(|(at, _)| *at == step) {
                fleet.apply(*event, now);
            }
            let demand = if step < 200 { self.demand.min(0.6) } else { self.demand };
            let due = demand * self.rate / mean * STEP.as_secs_f64();
            let count = due as u32 + u32::from(fleet.rng.random_bool(due.fract()));
            let admitted = (0..count).map(|_| fleet.request(now)).sum();
            fleet.admitted.push(admitted);
            fleet.limits.push(fleet.limit);
            fleet.gossip(step, now);
        }
        fleet.most_over()
    }
}

struct Daemon {
    id: String,
    bucket: Bucket,
    started_at: Option<Instant>,
    ready_at: Instant,
    is_cut: bool,
}

struct Fleet {
    rng: SmallRng,
    start: Instant,
    limit: Limit,
    daemons: Vec<Daemon>,
    started: usize,
    admitted: Vec<f64>,
    limits: Vec<Limit>,
}

impl Fleet {
    fn new(plan: &Plan, seed: u64) -> Fleet {
        let start = Instant::now();
        let mut fleet = Fleet {
            rng: SmallRng::seed_from_u64(seed),
            start,
            limit: Limit { rate: plan.rate, burst: plan.rate },
            daemons: Vec::new(),
            started: 0,
            admitted: Vec::new(),
            limits: Vec::new(),
        };
        for _ in 0..plan.daemons {
            let bucket = Bucket::new(fleet.limit, start);
            fleet.add(bucket, None, start);
        }
        fleet.set_daemons(start);
        fleet
    }

    fn add(&mut self, bucket: Bucket, started_at: Option<Instant>, ready_at: Instant) {
        self.started += 1;
        let id = self.started.to_string();
        self.daemons.push(Daemon { id, bucket, started_at, ready_at, is_cut: false });
    }

    fn set_daemons(&mut self, now: Instant) {
        let count = self.daemons.len();
        let rounds = (count - 1).div_ceil(7).max(1) as u32;
        let timeout = match rounds {
            1 => Duration::from_millis(1_500),
            _ => Duration::from_millis(500) * (rounds + 3),
        };
        for (index, it) in self.daemons.iter_mut().enumerate() {
            it.bucket.set_report_timeout(timeout);
            it.bucket.set_daemons(Some(count), now.max(it.ready_at));
            it.bucket.set_phase(index as f64 / count as f64);
        }
    }

    fn apply(&mut self, event: Event, now: Instant) {
        match event {
            Event::Kill { daemons } => {
                for _ in 0..daemons.min(self.daemons.len()) {
                    self.daemons.remove(0);
                    self.join(now);
                }
            }
            Event::Cut { daemons } => {
                self.daemons.iter_mut().take(daemons).for_each(|it| it.is_cut = true);
            }
            Event::Heal => self.daemons.iter_mut().for_each(|it| it.is_cut = false),
            Event::Join => self.join(now),
            Event::Limit { factor } => {
                let Limit { rate, burst } = self.limit;
                self.limit = Limit { rate: rate * factor, burst: burst * factor };
                self.daemons.iter_mut().for_each(|it| it.bucket.set_limit(self.limit, now));
            }
        }
        self.set_daemons(now);
    }

    fn join(&mut self, now: Instant) {
        let ready_at = now + Duration::from_millis(600);
        self.add(Bucket::joining(self.limit, ready_at), Some(ready_at), ready_at);
    }

    fn request(&mut self, now: Instant) -> f64 {
        let target = self.rng.random_range(0..self.daemons.len());
        let kind = self.rng.random_range(0..UNITS.len());
        let request = Request { rank: 3 - kind as u8, kind: kind as u64, units: UNITS[kind] };
        let daemon = &mut self.daemons[target];
        if now < daemon.ready_at {
            return 0.0;
        }
        daemon.bucket.admit(&request, now).map_or(0.0, |()| request.units)
    }

    /// Sends reports of daemons to seven random peers on the same side of a cut.
    fn gossip(&mut self, step: u32, now: Instant) {
        let interval = if self.daemons.len() > 8 { 12 } else { 5 };
        for sender in 0..self.daemons.len() {
            let from = &self.daemons[sender];
            if now < from.ready_at || !(step + sender as u32).is_multiple_of(interval) {
                continue;
            }
            let age = from.started_at.map_or(Duration::MAX, |it| now - it);
            let (admitted, level) = (from.bucket.admitted(), from.bucket.known_level());
            let (id, is_cut) = (from.id.clone(), from.is_cut);
            for _ in 0..7 {
                let receiver = self.rng.random_range(0..self.daemons.len());
                let to = &mut self.daemons[receiver];
                if receiver != sender && to.is_cut == is_cut && now >= to.ready_at {
                    to.bucket.merge_remote(&id, &Report { admitted, level, age }, now);
                }
            }
        }
    }

    /// Returns the most by which a window exceeds what is allowed in it. A lower limit binds one
    /// window after the change.
    fn most_over(&self) -> f64 {
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let over = (0..self.admitted.len().saturating_sub(steps)).map(|from| {
            let admitted: f64 = self.admitted[from..from + steps].iter().sum();
            let limits = &self.limits[from.saturating_sub(steps)..from + steps];
            let allowed = limits.iter().map(|it| it.rate * WINDOW.as_secs_f64() + it.burst);
            admitted - allowed.fold(0.0, f64::max) * (1.0 + OVERAGE) - SLACK
        });
        over.fold(f64::MIN, f64::max)
    }
}
