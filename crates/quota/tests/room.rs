//! Rejections of brittle endpoints, over random loads of several daemons that hear of each
//! other's open requests with a delay.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use quota::room::Endpoint;
use quota::room::Rooms;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

const SERVICE: &str = "pool";
/// Time step of the simulation.
const TICK: Duration = Duration::from_millis(10);
/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the first statement until the bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Duration of a simulation.
const DURATION: Duration = Duration::from_secs(20);

/// A load and the fleet that serves it.
#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    daemons: usize,
    endpoints: usize,
    slots: u32,
    /// Number of requests that an endpoint takes at once.
    taken: u32,
    survived: u32,
    /// Requests as a share of what the endpoints can serve.
    demand: f64,
    /// Share of the requests that come to the first daemon.
    skew: f64,
}

#[test]
fn brittle_endpoints_reject_no_more_than_they_survive() {
    let check = |plan: Plan| {
        let world = World::run(plan);

        let most = world.busiest_second();
        assert!(most <= plan.survived as usize, "{plan:?}: {most} rejections in a second");
    };

    for seed in 0..4 {
        let plan = plan(seed);
        check(plan);
        check(Plan { daemons: 1, ..plan });
        check(Plan { survived: 1, ..plan });
        check(Plan { survived: 6, demand: 5.0, ..plan });
        check(Plan { daemons: 20, endpoints: 3, ..plan });
        check(Plan { skew: 0.7, ..plan });
        check(Plan { taken: 3, ..plan });
        check(Plan { taken: 0, daemons: 20, ..plan });
    }
}

#[test]
fn brittle_endpoints_serve_most_of_what_they_can() {
    let check = |plan: Plan, least: f64| {
        let world = World::run(plan);

        let seconds = (DURATION - CONTACT).as_secs_f64();
        let served = world.served as f64 / (plan.capacity_per_s() * seconds);
        assert!(served >= least * plan.demand.min(1.0), "{plan:?}: {served:.2} of the capacity");
    };

    for seed in 0..4 {
        let plan = plan(seed);
        check(plan, 0.7);
        check(Plan { demand: 0.5, ..plan }, 0.85);
        check(Plan { daemons: 20, endpoints: 10, ..plan }, 0.6);
        check(Plan { skew: 0.7, ..plan }, 0.6);
    }
}

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        daemons: 7,
        endpoints: 12,
        slots: 8,
        taken: 8,
        survived: 2,
        demand: 1.5,
        skew: 0.0,
    }
}

impl Plan {
    /// Requests last between 0.2 s and 1 s.
    fn capacity_per_s(&self) -> f64 {
        self.endpoints as f64 * f64::from(self.taken.max(1)) / 0.6
    }
}

/// A request that an endpoint runs.
struct Run {
    daemon: usize,
    ends_at: Duration,
}

#[derive(Default)]
struct Daemon {
    rooms: Rooms,
    open: BTreeMap<usize, u32>,
    /// Open requests of the other daemons as last heard, by daemon.
    heard: BTreeMap<usize, BTreeMap<usize, u32>>,
    gossips_at: Duration,
}

struct World {
    plan: Plan,
    start: Instant,
    rng: StdRng,
    daemons: Vec<Daemon>,
    names: Vec<String>,
    endpoint_names: Vec<String>,
    running: Vec<Vec<Run>>,
    rejections: Vec<Vec<Duration>>,
    served: usize,
}

impl World {
    fn run(plan: Plan) -> World {
        let name = |prefix: &str, count: usize| -> Vec<String> {
            (0..count).map(|it| format!("{prefix}{it}")).collect()
        };
        let mut world = World {
            plan,
            start: Instant::now(),
            rng: StdRng::seed_from_u64(plan.seed),
            daemons: (0..plan.daemons).map(|_| Daemon::default()).collect(),
            names: name("daemon", plan.daemons),
            endpoint_names: name("endpoint", plan.endpoints),
            running: (0..plan.endpoints).map(|_| Vec::new()).collect(),
            rejections: vec![Vec::new(); plan.endpoints],
            served: 0,
        };
        let mut now = Duration::ZERO;
        while now < DURATION {
            world.end_requests(now);
            (0..plan.daemons).for_each(|it| world.gossip(it, now));
            let wanted = plan.demand * plan.capacity_per_s() * TICK.as_secs_f64();
            let count = wanted as usize + usize::from(world.rng.random_bool(wanted.fract()));
            for _ in 0..count {
                world.arrive(now);
            }
            now += TICK;
        }
        world
    }

    fn end_requests(&mut self, now: Duration) {
        for (index, running) in self.running.iter_mut().enumerate() {
            for ended in running.extract_if(.., |it| it.ends_at <= now) {
                *self.daemons[ended.daemon].open.entry(index).or_default() -= 1;
                self.served += usize::from(now >= CONTACT);
            }
        }
    }

    fn gossip(&mut self, index: usize, now: Duration) {
        if now < self.daemons[index].gossips_at {
            return;
        }
        let jitter = Duration::from_millis(self.rng.random_range(0..50));
        self.daemons[index].gossips_at = now + GOSSIP_INTERVAL + jitter;
        let instant = self.start + now;
        let (open, notices) =
            (self.daemons[index].open.clone(), self.daemons[index].rooms.notices(instant));
        for receiver in (0..self.plan.daemons).filter(|it| *it != index) {
            let daemon = &mut self.daemons[receiver];
            daemon.heard.insert(index, open.clone());
            for notice in &notices {
                daemon.rooms.merge_remote(notice, instant);
            }
        }
        self.choose_senders(index, instant);
    }

    fn choose_senders(&mut self, index: usize, now: Instant) {
        let (own, slots) = (self.names[index].as_str(), self.plan.slots);
        let others: Vec<&str> =
            self.names.iter().map(String::as_str).filter(|it| *it != own).collect();
        let endpoints =
            self.endpoint_names.iter().map(|id| Endpoint { id, service: SERVICE, slots });
        self.daemons[index].rooms.choose_senders(Some(own), &others, endpoints, rank, now);
    }

    /// A request comes to a daemon, which sends it to an endpoint or has a sender do so.
    fn arrive(&mut self, now: Duration) {
        let daemon = match self.rng.random_bool(self.plan.skew) {
            true => 0,
            false => self.rng.random_range(0..self.plan.daemons),
        };
        if self.send(daemon, now) || self.plan.daemons == 1 {
            return;
        }
        let others: Vec<&str> = self.names.iter().map(String::as_str).collect();
        let instant = self.start + now;
        let first = self.rng.random_range(0..self.plan.endpoints);
        let endpoint =
            Endpoint { id: &self.endpoint_names[first], service: SERVICE, slots: self.plan.slots };
        let rooms = &self.daemons[daemon].rooms;
        let senders = rooms.senders(&others, endpoint, rank, instant);
        if let Some(sender) =
            senders.first().and_then(|it| self.names.iter().position(|name| name == it))
        {
            self.send(sender, now);
        }
    }

    /// Sends a request to the endpoint with the fewest open requests of those with room. Returns
    /// whether there is one.
    fn send(&mut self, index: usize, now: Duration) -> bool {
        let (instant, slots) = (self.start + now, self.plan.slots);
        let daemon = &self.daemons[index];
        let own = |it: usize| daemon.open.get(&it).copied().unwrap_or(0);
        let heard = |it: usize| daemon.heard.values().filter_map(|open| open.get(&it)).sum::<u32>();
        let chosen = (0..self.plan.endpoints)
            .filter(|it| {
                let endpoint = Endpoint { id: &self.endpoint_names[*it], service: SERVICE, slots };
                daemon.rooms.is_open(endpoint, own(*it), own(*it) + heard(*it), instant)
            })
            .min_by_key(|it| (own(*it) + heard(*it), rank(&self.names[index], &it.to_string())));
        let Some(chosen) = chosen else { return false };
        let endpoint = Endpoint { id: &self.endpoint_names[chosen], service: SERVICE, slots };
        let own = own(chosen);
        let rooms = &mut self.daemons[index].rooms;
        rooms.record_sent(endpoint.id, instant);
        let is_first = rooms.state(SERVICE, self.plan.survived, instant);
        if self.running[chosen].len() >= self.plan.taken as usize {
            rooms.record_rejection(endpoint, own, instant);
            self.rejections[chosen].push(now);
        } else {
            rooms.record_start(endpoint.id);
            let ends_at = now + Duration::from_millis(self.rng.random_range(200..1_000));
            self.running[chosen].push(Run { daemon: index, ends_at });
            *self.daemons[index].open.entry(chosen).or_default() += 1;
        }
        if is_first {
            self.choose_senders(index, instant);
        }
        true
    }

    /// Returns the largest number of rejections of an endpoint in a second.
    fn busiest_second(&self) -> usize {
        let windows = self.rejections.iter().flat_map(|rejections| {
            let late: Vec<&Duration> = rejections.iter().filter(|it| **it >= CONTACT).collect();
            let count = |from: Duration| {
                late.iter()
                    .filter(|it| (from..from + Duration::from_secs(1)).contains(**it))
                    .count()
            };
            late.iter().map(|it| count(**it)).collect::<Vec<usize>>()
        });
        windows.max().unwrap_or(0)
    }
}

fn rank(daemon: &str, endpoint: &str) -> u64 {
    xxh3_64(format!("{endpoint} {daemon}").as_bytes())
}
