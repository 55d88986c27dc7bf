//! Daemons that send requests to endpoints, of which some crash, in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::spread::Spread;
use balance::subject::Subject;
use balance::suspect;
use balance::suspect::Evidence;
use balance::suspect::Verdict;
use balance::suspects::Report;
use balance::suspects::Suspects;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::REQUEST_LIMIT;

/// Part of requests that crash endpoints.
pub const DEADLY: u64 = 1;
/// Part that all requests contain.
const COMMON: u64 = 2;
/// Part that requests which crash endpoints share with sound ones.
const NEIGHBOUR: u64 = 3;
/// First of the parts that only sound requests contain.
const FIRST_SOUND: u64 = 10;
/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time for which an endpoint is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Time from the start of a response until it counts as progress.
const MIN_PROGRESS: Duration = Duration::from_millis(250);
/// Interval at which the subjects over their limits are stored.
const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of subjects in a message or in the store.
const MAX_REPORTS: usize = 64;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub daemons: usize,
    pub endpoints: usize,
    pub duration: Duration,
    /// Time at which requests with the deadly part begin, and their interval.
    pub deadly: Option<(Duration, Duration)>,
    /// Whether the endpoint responds for a moment before it crashes.
    pub crashes_after_start: bool,
    /// Interval between sound requests.
    pub sound_interval: Duration,
    /// Number of parts that sound requests share.
    pub sound_parts: u64,
    /// Interval at which a share of the endpoints ends at once, in percent.
    pub losses: Option<(Duration, u32)>,
    /// Interval at which one daemon after the other restarts.
    pub restarts: Option<Duration>,
    /// Time at which all daemons restart at once.
    pub restart_of_all: Option<Duration>,
    /// Whether sound requests with the neighbour part begin with the deadly ones.
    pub is_neighbour_new: bool,
    /// Maximum delay of messages between daemons.
    pub max_delay: Duration,
}

/// What was seen in a simulation, with times since its start.
#[derive(Debug, Default)]
pub struct Record {
    /// Crashes by the deadly part.
    pub crashes: Vec<Duration>,
    /// Requests with the deadly part that were sent to endpoints.
    pub deadly_sent: Vec<Duration>,
    /// Sound requests, and whether they were sent.
    pub sound: Vec<(Duration, bool)>,
}

struct Daemon {
    suspects: Suspects,
    spread: Spread,
}

struct Request {
    daemon: usize,
    endpoint: usize,
    subjects: Vec<Subject>,
    is_deadly: bool,
    begins_at: Duration,
    ends_at: Duration,
    is_progress_known: bool,
}

struct Endpoint {
    instance: u64,
    up_at: Duration,
}

struct World {
    plan: Plan,
    rng: SmallRng,
    started_at: Instant,
    now: Duration,
    daemons: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    /// Reports on their way, by arrival and receiver.
    messages: BTreeMap<(Duration, usize), Vec<Report>>,
    stored: Vec<Report>,
    next_instance: u64,
    next_request: u128,
    record: Record,
}

/// Plays a plan.
pub fn play(plan: Plan, seed: u64) -> Record {
    let daemons = (0..plan.daemons).map(|_| Daemon::new()).collect();
    let endpoints: Vec<Endpoint> = (0..plan.endpoints as u64)
        .map(|instance| Endpoint { instance, up_at: Duration::ZERO })
        .collect();
    let mut world = World {
        plan,
        rng: SmallRng::seed_from_u64(seed),
        started_at: Instant::now(),
        now: Duration::ZERO,
        daemons,
        next_instance: endpoints.len() as u64,
        endpoints,
        requests: Vec::new(),
        messages: BTreeMap::new(),
        stored: Vec::new(),
        next_request: 0,
        record: Record::default(),
    };
    while world.now < plan.duration {
        world.step();
        world.now += STEP;
    }
    world.record
}

impl Daemon {
    fn new() -> Daemon {
        Daemon { suspects: Suspects::new(REQUEST_LIMIT), spread: Spread::default() }
    }
}

impl World {
    fn step(&mut self) {
        self.deliver();
        self.disturb();
        self.arrive();
        self.proceed();
        self.gossip();
    }

    fn clock(&self) -> Instant {
        self.started_at + self.now
    }

    fn is_due(&self, interval: Duration) -> bool {
        !self.now.is_zero() && self.now.as_millis() % interval.as_millis() < STEP.as_millis()
    }

    fn deliver(&mut self) {
        let now = self.clock();
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let receiver = entry.key().1;
            let daemon = &mut self.daemons[receiver];
            for report in entry.remove() {
                if daemon.suspects.merge_remote(&report, now) {
                    daemon.spread.push(&daemon.suspects, report.subject, false);
                }
            }
        }
    }

    fn disturb(&mut self) {
        if let Some((interval, percent)) = self.plan.losses
            && self.is_due(interval)
        {
            for endpoint in 0..self.endpoints.len() {
                if self.rng.random_range(0..100) < percent {
                    self.crash(endpoint);
                }
            }
        }
        if let Some(interval) = self.plan.restarts
            && self.is_due(interval)
        {
            let turn = (self.now.as_millis() / interval.as_millis()) as usize;
            self.restart(turn % self.daemons.len());
        }
        if self.plan.restart_of_all.is_some_and(|it| it <= self.now && self.now < it + STEP) {
            (0..self.daemons.len()).for_each(|it| self.restart(it));
        }
    }

    fn restart(&mut self, index: usize) {
        let now = self.clock();
        let mut daemon = Daemon::new();
        for report in &self.stored {
            daemon.suspects.merge_remote(report, now);
        }
        self.daemons[index] = daemon;
        self.requests.retain(|it| it.daemon != index);
        for other in self.daemons.iter_mut() {
            other.spread.push_again(&other.suspects, MAX_REPORTS);
        }
    }

    fn arrive(&mut self) {
        if let Some((from, interval)) = self.plan.deadly
            && self.now >= from
            && self.is_due(interval)
        {
            let mut parts = vec![COMMON, DEADLY];
            if self.rng.random_range(0..100) < 80 {
                parts.insert(1, NEIGHBOUR);
            }
            self.send(&parts, true);
        }
        if self.is_due(self.plan.sound_interval) {
            let is_new = self.plan.deadly.is_some_and(|(from, _)| self.now < from);
            let has_neighbour = !(is_new && self.plan.is_neighbour_new);
            let part = match self.rng.random_range(0..100) {
                0..10 if has_neighbour => NEIGHBOUR,
                _ => FIRST_SOUND + self.rng.random_range(0..self.plan.sound_parts),
            };
            self.send(&[COMMON, part], false);
        }
    }

    fn send(&mut self, shared: &[u64], is_deadly: bool) {
        let now = self.clock();
        self.next_request += 1;
        let own = u64::MAX - self.next_request as u64;
        let parts: Vec<u64> = shared.iter().copied().chain([own]).collect();
        let subjects = Subject::of_request(self.next_request, parts.into_iter());
        let daemon = self.rng.random_range(0..self.daemons.len());
        let is_rejected = subjects.iter().any(|it| !self.may_send(daemon, *it, &subjects));
        if !is_deadly {
            self.record.sound.push((self.now, !is_rejected));
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|it| self.endpoints[*it].up_at <= self.now).collect();
        if is_rejected || up.is_empty() {
            return;
        }
        let Daemon { suspects, spread } = &mut self.daemons[daemon];
        for subject in &subjects {
            if suspects.record_trial(*subject, &subjects, now) {
                spread.push(suspects, *subject, true);
            }
        }
        if is_deadly {
            self.record.deadly_sent.push(self.now);
        }
        let waits = Duration::from_millis(self.rng.random_range(20..300));
        let runs = Duration::from_millis(self.rng.random_range(300..4_000));
        self.requests.push(Request {
            daemon,
            endpoint: up[self.rng.random_range(0..up.len())],
            subjects,
            is_deadly,
            begins_at: self.now + waits,
            ends_at: self.now + waits + runs,
            is_progress_known: false,
        });
    }

    fn may_send(&self, daemon: usize, subject: Subject, subjects: &[Subject]) -> bool {
        match self.daemons[daemon].suspects.verdict(subject, subjects, self.clock()) {
            Verdict::Admitted => true,
            Verdict::Rejected { .. } => false,
            Verdict::Expired { since } => {
                let rank = |it: usize| subject.rank(&it.to_string());
                let preceding = (0..self.daemons.len()).filter(|it| rank(*it) < rank(daemon));
                self.clock() >= since + suspect::trial_delay(preceding.count())
            }
        }
    }

    fn proceed(&mut self) {
        let delay = if self.plan.crashes_after_start { STEP * 2 } else { Duration::ZERO };
        let crashed: Vec<usize> = self
            .requests
            .iter()
            .filter(|it| it.is_deadly && it.begins_at + delay <= self.now)
            .map(|it| it.endpoint)
            .collect();
        for endpoint in crashed {
            if self.endpoints[endpoint].up_at <= self.now {
                self.record.crashes.push(self.now);
                self.crash(endpoint);
            }
        }
        let now = self.clock();
        for request in &mut self.requests {
            let daemon = &mut self.daemons[request.daemon];
            let has_progressed = self.now >= request.begins_at + MIN_PROGRESS;
            if has_progressed && !std::mem::replace(&mut request.is_progress_known, true) {
                for subject in &request.subjects {
                    if daemon.suspects.record_progress(*subject) {
                        daemon.spread.push(&daemon.suspects, *subject, true);
                    }
                }
            }
            if request.ends_at <= self.now {
                for subject in &request.subjects {
                    if daemon.suspects.record_service(*subject, now) {
                        daemon.spread.push(&daemon.suspects, *subject, true);
                    }
                }
            }
        }
        self.requests.retain(|it| it.ends_at > self.now);
    }

    /// Ends an endpoint and interrupts its requests.
    fn crash(&mut self, endpoint: usize) {
        let now = self.clock();
        let instance = Instance(self.endpoints[endpoint].instance);
        let up_at = self.now + DOWNTIME;
        self.endpoints[endpoint] = Endpoint { instance: self.next_instance, up_at };
        self.next_instance += 1;
        for request in self.requests.extract_if(.., |it| it.endpoint == endpoint) {
            let daemon = &mut self.daemons[request.daemon];
            let has_progressed = self.now >= request.begins_at + MIN_PROGRESS;
            for subject in daemon.suspects.accused(&request.subjects) {
                let evidence = match subject {
                    Subject::Part(_) if has_progressed => Evidence::Progressed,
                    _ => Evidence::Interrupted,
                };
                if daemon.suspects.record(subject, instance, evidence, now) {
                    daemon.spread.push(&daemon.suspects, subject, true);
                }
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.clock();
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            let mut reports = daemon.spread.take_unreported(&daemon.suspects, now);
            reports.extend(daemon.spread.take_gossip(&daemon.suspects, MAX_REPORTS, now));
            if reports.is_empty() {
                continue;
            }
            for receiver in (0..self.daemons.len()).filter(|it| *it != index) {
                let longest = self.plan.max_delay.as_millis() as u64;
                let delay = Duration::from_millis(self.rng.random_range(10..longest));
                let at = (self.now + delay, receiver);
                self.messages.entry(at).or_default().extend(reports.iter().cloned());
            }
        }
        if self.is_due(STORE_INTERVAL) {
            let holder = &self.daemons[0].suspects;
            self.stored = holder.over_limit(MAX_REPORTS, now);
        }
    }
}
