//! Daemons in front of engines, with messages that take time, played by events.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::account;
use balance::account::Question;
use balance::account::Report;
use balance::choose;
use balance::choose::Choice;
use balance::choose::Cost;
use balance::choose::Query;
use balance::endpoint::Change;
use balance::endpoint::Endpoint;
use balance::load::Load;
use balance::pool::Pool;
use balance::software::Requirement;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::config::Engine;
use route::request::Attributes;
use route::request::Part;
use route::request::Size;

const DAEMONS: usize = 67;
const FANOUT: usize = 7;
const SUBJECTS: u64 = 120;
const ROUND_MS: u64 = 250;
const HOP_MS: u64 = 1;
const MAX_WAIT_MS: u64 = 8;
const DURATION_MS: u64 = 10_000;
const ENGINE: Engine = Engine { slots: 64, memory_tokens: 560_000, event_tokens: 3 };
/// Prompt tokens per millisecond of each kind of engine.
const SPEEDS: [f64; 2] = [27.5, 60.0];
const NO_ENDPOINTS: &BTreeSet<&str> = &BTreeSet::new();

/// How daemons choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    Present,
    WeightedRandom,
    /// Counts what a prompt costs others, without accounting daemons.
    Weighed,
    Accounts,
}

/// Engines and their load.
#[derive(Clone, Debug)]
pub struct Scene {
    pub endpoints: usize,
    pub per_second: u64,
    /// Factor of the load from the fourth to the fifth second.
    pub burst: u64,
    /// Share of prompts with the same shared parts.
    pub hot_percent: u64,
    /// Whether a third of the endpoints ends after six seconds.
    pub has_wave: bool,
    /// Number of daemons that hear nothing from the others between three and six seconds.
    pub cut_daemons: usize,
}

impl Default for Scene {
    fn default() -> Scene {
        Scene {
            endpoints: 60,
            per_second: 230,
            burst: 1,
            hot_percent: 5,
            has_wave: false,
            cut_daemons: 0,
        }
    }
}

/// Percentiles are the 50th, 90th and 99th.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Time from arrival to first token.
    pub wait_ms: [f64; 3],
    /// Time to first token beyond the prediction.
    pub excess_ms: [f64; 3],
    /// Shared tokens read although another engine had read them, of all that were read.
    pub reread_percent: f64,
    /// Placements behind two unstarted requests while a fifth of the engines has none.
    pub blind_percent: f64,
    /// Work of the busiest engine in relation to the mean.
    pub busiest: f64,
    /// Messages per request, without gossip.
    pub messages: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Round,
    Wave,
    Decision { request: usize },
    Start { request: usize },
    Report { to: usize, from: usize, endpoint: usize, load: (u32, u32, u32), parts: Vec<u64> },
}

struct Request {
    daemon: usize,
    attributes: Attributes,
    arrived_ms: u64,
    sent_ms: u64,
    choice: Option<Choice>,
}

#[derive(Clone, Default)]
struct State {
    speed: f64,
    free_ms: f64,
    worked_ms: f64,
    unstarted: usize,
    cached: BTreeSet<u64>,
    has_ended: bool,
}

struct Play<'a> {
    scene: &'a Scene,
    design: Design,
    epoch: Instant,
    now_ms: u64,
    rng: SmallRng,
    pools: Vec<Pool>,
    engines: Vec<State>,
    read: BTreeSet<u64>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    waits: Vec<f64>,
    excesses: Vec<f64>,
    tokens: (f64, f64),
    blind: usize,
    messages: usize,
}

/// Plays a scene until all requests have begun.
pub fn play(scene: &Scene, design: Design) -> Figures {
    let mut play = Play::new(scene, design);
    while let Some(Reverse((at, _, event))) = play.events.pop() {
        play.now_ms = at;
        play.handle(event);
    }
    play.figures()
}

impl Play<'_> {
    fn new(scene: &Scene, design: Design) -> Play<'_> {
        let endpoints = (0..scene.endpoints).map(endpoint).map(Change::Updated).collect::<Vec<_>>();
        let epoch = Instant::now();
        let mut pool = Pool::default();
        pool.apply(endpoints, 1, epoch, epoch);
        let engine = |it: usize| State { speed: SPEEDS[it % 2], ..State::default() };
        let mut play = Play {
            scene,
            design,
            epoch,
            now_ms: 0,
            rng: SmallRng::seed_from_u64(7),
            pools: vec![pool; DAEMONS],
            engines: (0..scene.endpoints).map(engine).collect(),
            read: BTreeSet::new(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            waits: Vec::new(),
            excesses: Vec::new(),
            tokens: (0.0, 0.0),
            blind: 0,
            messages: 0,
        };
        play.push(0, Event::Arrival);
        play.push(0, Event::Round);
        if scene.has_wave {
            play.push(6_000, Event::Wave);
        }
        play
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Round => self.gossip(),
            Event::Wave => self.end_zone(),
            Event::Decision { request } => self.send(request),
            Event::Start { request } => self.start(request),
            Event::Report { to, from, endpoint, load, parts } => {
                let report = self.report(from, endpoint, load, parts);
                let now = self.now();
                account::merge_report(&mut self.pools[to], &report, now);
            }
        }
    }

    fn arrive(&mut self) {
        let is_burst = (4_000..5_000).contains(&self.now_ms);
        let rate = self.scene.per_second * if is_burst { self.scene.burst } else { 1 };
        let gap_ms = -self.rng.random::<f64>().max(1e-9).ln() * 1e3 / rate as f64;
        if self.now_ms < DURATION_MS {
            // Several arrivals may fall into a millisecond.
            let at = self.now_ms + (gap_ms + self.rng.random::<f64>()) as u64;
            self.push(at, Event::Arrival);
        }
        let request = self.requests.len();
        let daemon = self.rng.random_range(0..DAEMONS);
        let attributes = self.prompt(request as u64);
        let arrived_ms = self.now_ms;
        let new = Request { daemon, attributes, arrived_ms, sent_ms: 0, choice: None };
        self.requests.push(new);
        let waited_ms = if self.design == Design::Accounts { self.ask(request) } else { 0 };
        self.push(self.now_ms + waited_ms, Event::Decision { request });
    }

    /// Asks the accounting daemons; returns how long the request waits for them.
    fn ask(&mut self, request: usize) -> u64 {
        let best = self.candidates(request);
        if best.first().is_none_or(|it| it.total_prefill_tokens < account::MIN_TOKENS) {
            return 0;
        }
        let daemon = self.requests[request].daemon;
        let parts: Vec<u64> =
            self.requests[request].attributes.parts.iter().map(|it| it.id).collect();
        let mut waited_ms = 0;
        for choice in best {
            let to = accounting(&choice.id);
            if to == daemon {
                continue;
            }
            self.messages += 1;
            if self.is_cut(to) || self.is_cut(daemon) {
                waited_ms = MAX_WAIT_MS;
                continue;
            }
            self.messages += 1;
            waited_ms = waited_ms.max(2 * HOP_MS);
            let question = Question {
                daemon: daemon.to_string(),
                to: address(0),
                number: 0,
                endpoints: vec![choice.id],
                parts: parts.clone(),
            };
            let now = self.now();
            let answer = account::answer(&self.pools[to], &question, address(0), now);
            account::merge_answer(&mut self.pools[daemon], &answer, &parts, now);
        }
        waited_ms
    }

    fn send(&mut self, request: usize) {
        let mut best =
            self.best(request, if self.design == Design::WeightedRandom { 6 } else { 1 });
        let weight = |it: &Choice| it.predicted.as_secs_f64().powi(-3);
        let mut left = best.iter().map(weight).sum::<f64>() * self.rng.random::<f64>();
        let picked = best.iter().position(|it| {
            left -= weight(it);
            left <= 0.0
        });
        let choice = best.swap_remove(picked.unwrap_or(0));
        let index: usize = choice.id[2..].parse().unwrap();
        let idle = self.engines.iter().filter(|it| !it.has_ended && it.unstarted == 0).count();
        let live = self.engines.iter().filter(|it| !it.has_ended).count();
        self.blind += usize::from(self.engines[index].unstarted >= 2 && idle * 5 >= live);
        let parts = self.requests[request].attributes.parts.clone();
        let begins_ms = self.compute(index, &parts);
        let (daemon, now) = (self.requests[request].daemon, self.now());
        let member = self.pools[daemon].member_mut(&choice.id).unwrap();
        member.own_load = member.own_load.plus(choice.load);
        parts.iter().for_each(|it| member.record_cached(it.id, now));
        self.tell(daemon, index, &choice, parts.iter().map(|it| it.id).collect());
        self.requests[request].choice = Some(choice);
        self.requests[request].sent_ms = self.now_ms;
        self.push(begins_ms, Event::Start { request });
    }

    /// Reads the uncached parts of a prompt; returns when the first token is sent.
    fn compute(&mut self, index: usize, parts: &[Part]) -> u64 {
        let engine = &mut self.engines[index];
        let is_cached = |it: &&Part| engine.cached.contains(&it.id);
        let cached = parts.iter().take_while(is_cached).count();
        let mut tokens = 0.0;
        for part in &parts[cached..] {
            tokens += f64::from(part.tokens);
            self.tokens.1 += f64::from(part.tokens);
            if !self.read.insert(part.id) {
                self.tokens.0 += f64::from(part.tokens);
            }
            engine.cached.insert(part.id);
        }
        let work_ms = tokens / engine.speed;
        engine.worked_ms += work_ms;
        engine.free_ms = engine.free_ms.max(self.now_ms as f64) + work_ms;
        engine.unstarted += 1;
        engine.free_ms as u64 + 30
    }

    fn start(&mut self, request: usize) {
        let Request { daemon, arrived_ms, sent_ms, .. } = self.requests[request];
        let choice = self.requests[request].choice.clone().unwrap();
        let index: usize = choice.id[2..].parse().unwrap();
        self.engines[index].unstarted -= 1;
        if self.engines[index].has_ended {
            return;
        }
        let waited_ms = self.now_ms - sent_ms;
        self.waits.push((self.now_ms - arrived_ms) as f64);
        self.excesses.push(waited_ms as f64 - choice.predicted.as_secs_f64() * 1e3);
        if let Some(member) = self.pools[daemon].member_mut(&choice.id) {
            // The output follows at once.
            member.own_load = member.own_load.minus(choice.load);
            if choice.load.prefill_tokens > 0 {
                let waited = Duration::from_millis(waited_ms);
                member.speed.learn(choice.total_prefill_tokens, waited);
            }
        }
        self.tell(daemon, index, &choice, Vec::new());
    }

    /// Tells the accounting daemon what a daemon has outstanding at an endpoint.
    fn tell(&mut self, from: usize, endpoint: usize, choice: &Choice, parts: Vec<u64>) {
        let to = accounting(&choice.id);
        let is_large = choice.load.prefill_tokens >= account::MIN_TOKENS;
        if self.design != Design::Accounts || !is_large || to == from {
            return;
        }
        self.messages += 1;
        if self.is_cut(to) || self.is_cut(from) {
            return;
        }
        let Some(member) = self.pools[from].member(&choice.id) else { return };
        let load = member.own_load;
        let load = (load.open_requests, load.prefill_tokens, load.held_tokens);
        self.push(self.now_ms + HOP_MS, Event::Report { to, from, endpoint, load, parts });
    }

    fn gossip(&mut self) {
        if self.now_ms < DURATION_MS {
            self.push(self.now_ms + ROUND_MS, Event::Round);
        }
        let now = self.now();
        for from in 0..DAEMONS {
            let loaded = self.pools[from].members().filter(|it| it.own_load.open_requests > 0);
            let loads: HashMap<String, Load> =
                loaded.map(|it| (it.endpoint.id.clone(), it.own_load)).collect();
            for _ in 0..FANOUT {
                let to = self.rng.random_range(0..DAEMONS);
                if to != from && !self.is_cut(to) && !self.is_cut(from) {
                    self.pools[to].set_remote_loads(&from.to_string(), loads.clone(), now);
                }
            }
        }
    }

    fn end_zone(&mut self) {
        let ended: Vec<usize> = (0..self.engines.len()).filter(|it| it % 3 == 0).collect();
        let now = self.now();
        for index in ended {
            self.engines[index].has_ended = true;
            for pool in &mut self.pools {
                pool.mark_leaving(&endpoint(index).id, 0);
                pool.sweep(Duration::from_secs(9), now);
            }
        }
    }

    fn best(&mut self, request: usize, count: usize) -> Vec<Choice> {
        let cost = match self.design {
            Design::Present | Design::WeightedRandom => Cost::Own,
            Design::Weighed | Design::Accounts => Cost::Shared,
        };
        let (request, now) = (&self.requests[request], self.now());
        let pool = &self.pools[request.daemon];
        choose::best(pool, &query(&request.attributes), cost, count, now, &mut self.rng)
    }

    fn candidates(&mut self, request: usize) -> Vec<Choice> {
        let (request, now) = (&self.requests[request], self.now());
        let pool = &self.pools[request.daemon];
        choose::candidates(pool, &query(&request.attributes), now, &mut self.rng)
    }

    /// Returns a prompt of a common part, one of a subject and an own one, or a short prompt.
    fn prompt(&mut self, request: u64) -> Attributes {
        let is_hot = self.rng.random_range(0..100) < self.scene.hot_percent;
        let subject = if is_hot { 0 } else { self.rng.random_range(1..SUBJECTS) };
        let is_short = self.rng.random_range(0..3) == 0;
        let own = Part { id: 1_000_000 + request, tokens: if is_short { 400 } else { 3_000 } };
        let common = Part { id: 1, tokens: 800 };
        let shared = Part { id: 1_000 + subject, tokens: 12_000 };
        let parts = if is_short { vec![common, own] } else { vec![common, shared, own] };
        let prompt = parts.iter().map(|it| it.tokens).sum();
        let size = Some(Size { prompt, output: 100 });
        Attributes { size, parts, ..Attributes::default() }
    }

    fn report(
        &self,
        from: usize,
        index: usize,
        (open_requests, prefill_tokens, held_tokens): (u32, u32, u32),
        parts: Vec<u64>,
    ) -> Report {
        let endpoint = endpoint(index);
        Report {
            daemon: from.to_string(),
            instance: endpoint.instance(),
            endpoint: endpoint.id,
            load: Load { open_requests, prefill_tokens, held_tokens },
            parts,
        }
    }

    fn figures(mut self) -> Figures {
        let worked = self.engines.iter().map(|it| it.worked_ms);
        let mean = worked.clone().sum::<f64>() / self.engines.len() as f64;
        Figures {
            wait_ms: percentiles(&mut self.waits),
            excess_ms: percentiles(&mut self.excesses),
            reread_percent: 100.0 * self.tokens.0 / self.tokens.1,
            blind_percent: 100.0 * self.blind as f64 / self.requests.len() as f64,
            busiest: worked.fold(0.0, f64::max) / mean,
            messages: self.messages as f64 / self.requests.len() as f64,
        }
    }

    fn is_cut(&self, daemon: usize) -> bool {
        daemon < self.scene.cut_daemons && (3_000..6_000).contains(&self.now_ms)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }
}

fn query(attributes: &Attributes) -> Query<'_> {
    Query {
        service: "pool",
        engine: Some(&ENGINE),
        attributes,
        requirement: &Requirement::Any,
        tried: &[],
        exhausted: NO_ENDPOINTS,
    }
}

fn accounting(endpoint: &str) -> usize {
    (0..DAEMONS).min_by_key(|it| account::rank(endpoint, &it.to_string())).unwrap()
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{index}"),
        service: "pool".to_owned(),
        address: address(index as u16),
        zone: String::new(),
        software: String::new(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        leaves_ms: None,
        version: 1,
        started_at_ms: 0,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + port))
}

fn percentiles(values: &mut [f64]) -> [f64; 3] {
    values.sort_unstable_by(f64::total_cmp);
    [50, 90, 99].map(|it| values[(values.len() - 1) * it / 100])
}
