//! Daemons, endpoints of several versions, and callers that take up streams, in simulated time.

mod plan;
mod streams;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Endpoint;
use balance::endpoint::Roster;
use balance::origin;
use balance::origin::Key;
use balance::origin::Origins;
use balance::pool::Pool;
use balance::software::Coverage;
use balance::software::History;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::plan::Plan;
pub use self::plan::Record;
pub use self::plan::Release;

/// Length of a step, and interval at which daemons tell each other of streams.
const STEP: Duration = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(60);
/// Time in which an entry reaches all daemons, in a small fleet, in which it is gossiped to all
/// at once, and in a large one.
const MAX_ENTRY_DELAY_MS: [u64; 2] = [300, 1_000];
/// Number of daemons in a fleet in which all remember all streams.
const SMALL_FLEET: usize = 8;
/// How long ago a stream may have begun that is taken up.
const WINDOW: Duration = Duration::from_secs(10);

/// Interval at which releases begin.
const RELEASE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time between restarts of a release.
const MAX_GAP_MS: u64 = 300;
/// Time for which an endpoint is down before it restarts under its id.
const DOWNTIME: Duration = Duration::from_secs(2);

/// Returns a pool with these endpoints and software versions.
pub fn pool(endpoints: &[(&str, &str)]) -> Pool {
    let endpoints: Vec<Endpoint> =
        endpoints.iter().map(|(id, software)| endpoint(id, software, 1)).collect();
    let mut pool = Pool::default();
    let now = Instant::now();
    pool.replace(Roster { version: 1, endpoints }, now, now);
    pool
}

struct Daemon {
    id: String,
    started_at: Duration,
    origins: Origins,
    history: History,
    pool: Pool,
    /// Version of the roster that it has read.
    seen: usize,
}

impl Daemon {
    /// Reads the next roster.
    fn read(&mut self, roster: &Roster, began: Instant, now: Instant) {
        self.seen += 1;
        let effects = self.pool.replace(roster.clone(), now, now);
        self.history.observe(&self.pool, now);
        for (id, _) in effects {
            let Some(member) = self.pool.member_mut(&id) else { continue };
            if let Some((instance, software)) = member.replaced.take()
                && software != member.endpoint.software
            {
                let started = Duration::from_millis(member.endpoint.started_at_ms);
                self.origins.doubt(instance, began + started);
            }
            self.origins.learn(member.endpoint.confirmed(), &member.endpoint.software);
        }
    }

    /// Returns the version of a stream; an empty one until the entry of its endpoint is read.
    fn version(&self, key: Key, now: Instant) -> Option<String> {
        self.origins.get(key, now).and_then(|it| it.origin.software.clone())
    }
}

struct Stream {
    key: Key,
    software: String,
    daemon: String,
    endpoint: (String, u64),
    ends_at: Duration,
}

/// A caller that waits at a daemon for an entry.
struct Waiting {
    daemon: String,
    until: Duration,
    /// Whether the stream counts as taken up.
    counts: bool,
    stream: Stream,
}

struct Message {
    at: Duration,
    to: String,
    from: Rc<str>,
    streams: Vec<origin::Notice>,
}

struct World {
    plan: Plan,
    rng: SmallRng,
    began: Instant,
    now: Duration,
    daemons: Vec<Daemon>,
    /// Endpoints as they are.
    endpoints: Vec<Endpoint>,
    /// Rosters with the time from which on daemons see them.
    rosters: Vec<(Duration, Roster)>,
    /// Endpoints that are yet to restart, with the time.
    restarts: Vec<(Duration, usize)>,
    /// End of the time in which no entry can be read.
    outage_until: Duration,
    streams: Vec<Stream>,
    /// Broken streams and when they are taken up.
    broken: Vec<(Duration, Stream)>,
    waiting: Vec<Waiting>,
    messages: Vec<Message>,
    next_id: u64,
    next_version: u32,
    record: Record,
}

/// Plays a plan.
pub fn play(plan: Plan, seed: u64) -> Record {
    let mut world = World {
        plan,
        rng: SmallRng::seed_from_u64(seed),
        began: Instant::now() + Duration::from_secs(1_000),
        now: Duration::ZERO,
        daemons: Vec::new(),
        endpoints: Vec::new(),
        rosters: Vec::new(),
        restarts: Vec::new(),
        outage_until: Duration::ZERO,
        streams: Vec::new(),
        broken: Vec::new(),
        waiting: Vec::new(),
        messages: Vec::new(),
        next_id: 0,
        next_version: 3,
        record: Record::default(),
    };
    world.endpoints =
        (0..8).map(|it| endpoint(&format!("e{it}"), if it < 4 { "v1" } else { "v2" }, 1)).collect();
    world.publish(Duration::ZERO);
    for index in 0..plan.daemons {
        let daemon = world.start(index, Coverage::Whole);
        world.daemons.push(daemon);
    }
    while world.now < DURATION {
        world.step();
        world.now += STEP;
    }
    world.record
}

impl World {
    fn step(&mut self) {
        let step = (self.now.as_millis() / STEP.as_millis()) as u32;
        let is_due = |interval: Duration| step.is_multiple_of((interval.as_millis() / 100) as u32);
        if self.plan.replacements && is_due(Duration::from_secs(1)) {
            self.replace_endpoint();
        }
        if self.plan.unnoticed_restarts.is_some_and(is_due) {
            let index = self.rng.random_range(0..self.endpoints.len());
            self.restart_endpoint(index, DOWNTIME);
        }
        if let Some(release) = self.plan.releases {
            if is_due(RELEASE_INTERVAL) && step > 0 {
                self.begin_release(release);
            }
            for (_, index) in
                self.restarts.extract_if(.., |(at, _)| self.now >= *at).collect::<Vec<_>>()
            {
                self.restart_endpoint(index, release.downtime);
            }
        }
        if let Some(interval) = self.plan.restarts
            && is_due(interval)
        {
            let daemon = (self.now.as_millis() / interval.as_millis()) as usize;
            self.kill(daemon % self.plan.daemons);
        }
        if is_due(Duration::from_secs(9)) && step > 0 {
            let all = self.plan.daemons;
            let killed = if self.plan.kills_all { all } else { all / 2 };
            if self.plan.kills_half || self.plan.kills_all {
                (0..killed).for_each(|it| self.kill(it));
            }
        }
        self.read_rosters();
        self.deliver();
        (0..3).for_each(|_| self.begin_stream());
        self.break_streams();
        self.end_waits();
        self.take_up();
        self.tell();
    }

    fn instant(&self) -> Instant {
        self.began + self.now
    }

    /// Starts a daemon, which two others tell what it has to know.
    fn start(&mut self, index: usize, coverage: Coverage) -> Daemon {
        self.next_id += 1;
        let now = self.instant();
        let id = format!("d{index}-{}", self.next_id);
        let mut daemon = Daemon {
            id,
            started_at: self.now,
            origins: Origins::default(),
            history: History::new(coverage),
            pool: Pool::default(),
            seen: 0,
        };
        let is_small = self.plan.daemons <= SMALL_FLEET;
        for sponsor in self.daemons.iter().filter(|it| it.id != daemon.id).take(2) {
            daemon.history.merge_remote(&sponsor.history.notice(now), now);
            let from: Rc<str> = Rc::from(sponsor.id.as_str());
            for notice in sponsor.origins.latest(if is_small { 4_096 } else { 0 }, now) {
                daemon.origins.merge_remote(&notice, &from, true, now);
            }
        }
        daemon
    }

    fn kill(&mut self, index: usize) {
        let killed = self.daemons[index].id.clone();
        // Those that are killed at the same time can't tell each other anything.
        let daemon = self.start(index, Coverage::Since(self.instant()));
        self.daemons[index] = daemon;
        self.break_where(|it| it.daemon == killed);
    }

    fn replace_endpoint(&mut self) {
        let index = self.rng.random_range(0..self.endpoints.len());
        if self.rng.random_range(0..8) == 0 {
            self.next_version += 1;
        }
        self.next_id += 1;
        let software = format!("v{}", self.next_version);
        let former = self.endpoints[index].clone();
        let started_ms = self.now.as_millis() as u64 + 2;
        self.endpoints[index] = endpoint(&format!("e{}", self.next_id), &software, started_ms);
        self.publish(Duration::ZERO);
        self.break_where(|it| it.endpoint == (former.id.clone(), former.started_at_ms));
    }

    fn begin_release(&mut self, release: Release) {
        let count = self.rng.random_range(1..self.endpoints.len());
        let first = self.rng.random_range(0..self.endpoints.len());
        let outage_ms = self.rng.random_range(0..=release.max_outage.as_millis() as u64);
        self.outage_until = self.now + Duration::from_millis(outage_ms);
        let mut at = self.now;
        for index in first..first + count {
            self.restarts.push((at, index % self.endpoints.len()));
            at += Duration::from_millis(self.rng.random_range(0..=MAX_GAP_MS));
        }
    }

    /// Restarts an endpoint under its id, with another version.
    fn restart_endpoint(&mut self, index: usize, downtime: Duration) {
        let former = self.endpoints[index].clone();
        let software = if former.software == "v1" { "v2" } else { "v1" };
        let up_at = self.now + downtime;
        self.endpoints[index] = endpoint(&former.id, software, up_at.as_millis() as u64);
        self.publish(downtime);
        self.break_where(|it| it.endpoint == (former.id.clone(), former.started_at_ms));
    }

    fn publish(&mut self, delay: Duration) {
        let version = self.rosters.len() as u64 + 1;
        let endpoints = self.endpoints.clone();
        let at = (self.now + delay).max(self.outage_until);
        self.rosters.push((at, Roster { version, endpoints }));
    }

    fn read_rosters(&mut self) {
        let now = self.instant();
        let max_ms = MAX_ENTRY_DELAY_MS[usize::from(self.daemons.len() > SMALL_FLEET)];
        for daemon in &mut self.daemons {
            let delay = Duration::from_millis(self.rng.random_range(0..max_ms));
            if daemon.seen == 0 {
                // A daemon that starts reads the list as it is.
                daemon.seen = self.rosters.iter().take_while(|(at, _)| self.now >= *at).count() - 1;
                daemon.read(&self.rosters[daemon.seen].1, self.began, now);
            }
            while let Some((at, roster)) = self.rosters.get(daemon.seen)
                && self.now >= *at + delay
            {
                daemon.read(roster, self.began, now);
            }
        }
    }
}

/// Returns an endpoint.
pub fn endpoint(id: &str, software: &str, started_at_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: address(id),
        zone: "a".to_owned(),
        software: software.to_owned(),
        slots: 8,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: started_at_ms,
        started_at_ms,
    }
}

/// Returns an address of the endpoint's own; one that describes itself at the address of another
/// supersedes it.
fn address(id: &str) -> SocketAddr {
    let number: u32 = id.trim_start_matches('e').parse().unwrap();
    SocketAddr::new(Ipv4Addr::from(number).into(), 80)
}
