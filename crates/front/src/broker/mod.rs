//! The actor that decides: what it knows, and how it learns.

mod duties;
mod gossip;
mod requests;

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balance::pool::Effect;
use balance::pool::Pool;
use balance::suspects::Suspects;
use duty::clock::Clock;
use duty::demand::Demand;
use duty::lease::Lease;
use duty::order::Planner;
use duty::usage::Usage;
use membership::digest::Peers;
use platform::feed::Document;
use platform::settings;
use platform::settings::Settings;
use quota::retry::Budget;
use quota::workspace::Bucket;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use relay::server::Phase;
use route::config::Config;
use route::config::Limits;
use route::table::Table;
use stakker::CX;
use stakker::StopCause;
use stakker::after;
use store::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use self::requests::Open;
use crate::clock;
use crate::cloud;
use crate::event::Event;
use crate::lease;
use crate::metrics;
use crate::peers::Streams;

/// Time between lines that tell of dropped ones.
const TELL_DROPPED_EVERY: Duration = Duration::from_secs(1);
/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between summaries to the other daemons while all are told each time:
/// load that is known late sends bursts to the same engine.
const GOSSIP_EVERY: Duration = Duration::from_millis(100);
/// The same with more daemons, for which the messages would grow with their
/// number.
const GOSSIP_EVERY_MANY: Duration = Duration::from_millis(250);
/// Time between plans of the endpoints to order.
const PLAN_EVERY: Duration = Duration::from_millis(500);
/// Time for which entries may be missing after the store was out of reach.
const STORE_SETTLES: Duration = Duration::from_secs(4);
/// Time after SIGTERM in which the balancer still sends new connections: it
/// asks once a second and takes a daemon out after two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// Time before SIGKILL at which a daemon ends with requests open.
const LAST_MOMENT: Duration = Duration::from_millis(400);

/// What the broker starts with.
#[derive(Debug)]
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Name of this life of the daemon.
    pub life: String,
    /// Calls of the duties to the store.
    pub lease_jobs: UnboundedSender<lease::Job>,
    /// Calls of the duties to the cloud API.
    pub cloud_jobs: UnboundedSender<cloud::Job>,
    /// Streams to the other daemons.
    pub streams: Streams,
    /// Bounds for new connections of callers.
    pub limits: Rc<Cell<Limits>>,
    /// Tells the callers' connections of the end.
    pub phase: watch::Sender<Phase>,
    /// Tells the balancer.
    pub ready: watch::Sender<bool>,
    /// Tells the feeds whether this daemon reads the store for others.
    pub reads: watch::Sender<bool>,
    /// Seed of random choices.
    pub seed: u64,
}

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Running,
    Stopping { since: Instant },
}

/// The actor.
pub struct Broker {
    parts: Parts,
    rng: SmallRng,
    stage: Stage,
    table: Rc<Table>,
    pool: Pool,
    suspects: Suspects,
    /// Requests whose endpoint broke off, until it shows whether it crashed.
    broken: VecDeque<requests::Broken>,
    buckets: HashMap<String, Bucket>,
    budgets: HashMap<String, Budget>,
    requests: HashMap<u64, Open>,
    next_ticket: u64,
    peers: Peers,
    sequence: u64,
    gossiped_at: Instant,
    /// When the account was last told to all.
    account_told_at: Instant,
    /// Whether something changed that others are to hear with the next tick.
    has_news: bool,
    /// When each peer was last asked for what it knows better.
    pulled_at: Option<Instant>,
    clock: Clock,
    usage: Usage,
    lease: Lease,
    /// Whether the lease allowed to act at the last look.
    leads: bool,
    duties: duties::Open,
    planners: HashMap<String, Planner>,
    planned_at: Instant,
    /// Where another daemon holds the lease, and when it said so.
    holder_heard: Option<(SocketAddr, Instant)>,
    /// Engine time of the other daemons' requests, by daemon and service.
    work_heard: HashMap<String, HashMap<String, f64>>,
    /// Engine time of this daemon's requests since its start, by service.
    work_ms: HashMap<String, f64>,
    /// Load as the holder of the lease knows it, by service.
    demand: HashMap<String, Demand>,
    /// When the last new endpoint showed, until the list of a starting daemon
    /// counts as complete.
    list_grew_at: Option<Instant>,
    is_list_complete: bool,
    /// When this daemon last read the endpoints.
    read_at: Option<Instant>,
    /// When others last read them, as heard.
    others_read_at: Option<Instant>,
    /// Since when somebody reads the store without a gap.
    steady_since: Option<Instant>,
    /// Dropped log lines that were told, and when.
    dropped_told: (u64, Instant),
    /// Feeds whose last call failed.
    store_away: HashMap<&'static str, bool>,
}

impl Broker {
    /// Starts with nothing known.
    pub fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let now = cx.now();
        let boot = clock::since_boot();
        after!(TICK, [cx], tick());
        Some(Broker {
            rng: SmallRng::seed_from_u64(parts.seed),
            stage: Stage::Running,
            table: Rc::default(),
            pool: Pool::default(),
            suspects: Suspects::default(),
            broken: VecDeque::new(),
            buckets: HashMap::new(),
            budgets: HashMap::new(),
            requests: HashMap::new(),
            next_ticket: 0,
            peers: Peers::default(),
            sequence: 0,
            gossiped_at: now,
            account_told_at: now,
            has_news: false,
            pulled_at: None,
            clock: Clock::new(clock::wall_ms(), boot),
            usage: Usage::new(parts.settings.bounds.usage_window),
            lease: Lease::new(parts.life.clone()),
            leads: false,
            duties: duties::Open::default(),
            planners: HashMap::new(),
            planned_at: now,
            holder_heard: None,
            work_heard: HashMap::new(),
            work_ms: HashMap::new(),
            demand: HashMap::new(),
            list_grew_at: None,
            is_list_complete: false,
            read_at: None,
            others_read_at: None,
            steady_since: None,
            dropped_told: (0, now),
            store_away: HashMap::new(),
            parts,
        })
    }

    /// Takes an event.
    pub fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Ask(ask) => self.ask(ask, now),
            Event::Config(Document::Config(config)) => self.set_config(*config, "store", now),
            Event::Config(Document::Malformed { detail }) => {
                spdlog::error!("configuration can't be decoded; the former one stays in force",
                    kv: { cause = detail, version = self.table.config.version });
            }
            Event::Roster(roster) => {
                self.read_at = Some(now);
                let was_away = self.was_away(now);
                let effects = self.pool.replace(roster, was_away, now);
                self.note_effects(effects, "store", now);
            }
            Event::Endpoints { changes, version } => {
                self.read_at = Some(now);
                let was_away = self.was_away(now);
                let effects = self.pool.apply(changes, version, was_away, now);
                self.note_effects(effects, "store", now);
            }
            Event::Store { feed, failure } => self.note_store(feed, failure),
            Event::Daemons(rows) => self.learn_daemons(&rows, now),
            Event::Peer(message) => self.peer_message(*message, now),
            Event::PeerLost { stream, detail } => self.peer_lost(stream, &detail),
            Event::LeaseRead(result) => self.lease_read(result),
            Event::LeaseWritten(result) => self.lease_written(result),
            Event::Fixed { window, counts, result } => self.fixed(window, counts, result),
            Event::Reported { window, result } => self.reported(window, result),
            Event::Ordered { service, order, result } => {
                self.ordered(&service, &order, result, now);
            }
            Event::Stop => self.stop(now),
            Event::Reload(settings) => self.reload(*settings),
        }
    }

    /// Starts to talk to the other daemons.
    pub fn start_streams(
        &mut self,
        _: CX![],
        address: SocketAddr,
        secret: String,
        events: UnboundedSender<Event>,
    ) {
        if let Err(error) = self.parts.streams.start(address, &secret, events) {
            spdlog::error!("daemons not heard", kv: { cause = error.to_string() });
        }
    }

    /// Takes over what can change while the daemon runs.
    fn reload(&mut self, settings: Result<Settings, settings::Error>) {
        let settings = match settings {
            Ok(settings) => settings,
            Err(error) => {
                let cause = error.to_string();
                spdlog::error!("settings not reloaded; the former ones stay", kv: { cause = cause });
                return;
            }
        };
        let before = &mut self.parts.settings;
        let is_changed = *before != settings;
        let needs_restart = before.callers != settings.callers
            || before.readiness != settings.readiness
            || before.peers != settings.peers
            || before.metrics != settings.metrics
            || before.store != settings.store
            || before.cloud != settings.cloud;
        before.bounds = settings.bounds;
        before.seeds = settings.seeds;
        before.reports_usage = settings.reports_usage;
        before.orders_endpoints = settings.orders_endpoints;
        // Budgets take the new bounds with the next request.
        self.budgets.clear();
        spdlog::info!("settings reloaded", kv: {
            changed = is_changed,
            needs_restart = needs_restart,
        });
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        self.parts.ready.send_replace(self.is_ready());
        if self.has_news || now >= self.gossiped_at + self.gossip_period() {
            self.gossip(now);
        }
        self.tend_duties(now);
        self.watch_reads(now);
        self.note_dropped_lines(now);
        let lapsed = self.pool.sweep(self.peers.liveness_timeout(), now);
        self.note_effects(lapsed, "lapse", now);
        self.parts.reads.send_if_modified(|it| {
            let reads = self.is_reader(now);
            std::mem::replace(it, reads) != reads
        });
        self.end_if_due(cx, now);
    }

    /// Tells the reader of the logs, once it reads again, what it has missed.
    fn note_dropped_lines(&mut self, now: Instant) {
        let dropped = metrics::lines_dropped();
        if dropped == self.dropped_told.0 || now < self.dropped_told.1 + TELL_DROPPED_EVERY {
            return;
        }
        spdlog::warn!("log lines dropped", kv: { count = dropped - self.dropped_told.0 });
        // The line itself may have been dropped; it is told again then.
        if metrics::lines_dropped() == dropped {
            self.dropped_told = (dropped, now);
        } else {
            self.dropped_told.1 = now;
        }
    }

    fn is_ready(&self) -> bool {
        self.stage == Stage::Running && self.table.config.version > 0 && self.pool.store_version > 0
    }

    fn stop(&mut self, now: Instant) {
        if self.stage != Stage::Running {
            return;
        }
        self.stage = Stage::Stopping { since: now };
        self.parts.ready.send_replace(false);
        self.parts.phase.send_replace(Phase::Closing);
        spdlog::info!("stopping", kv: { open = self.requests.len() });
        self.gossip(now);
    }

    fn end_if_due(&mut self, cx: CX![], now: Instant) {
        let Stage::Stopping { since } = self.stage else { return };
        let passed = now.saturating_duration_since(since);
        if passed < BALANCER_LAG {
            return;
        }
        self.parts.phase.send_replace(Phase::Closed);
        let is_last = passed + LAST_MOMENT >= self.parts.settings.bounds.grace;
        if self.requests.is_empty() && passed > BALANCER_LAG + TICK * 3 || is_last {
            spdlog::info!("stopped", kv: { open = self.requests.len() });
            cx.shutdown(StopCause::Stopped);
        }
    }

    /// Puts a configuration in force if it is newer than the one that is.
    fn set_config(&mut self, config: Config, source: &'static str, now: Instant) {
        // Invariant: within a life of the daemon the version only grows.
        if config.version <= self.table.config.version {
            return;
        }
        spdlog::info!("configuration in force", kv: {
            version = config.version,
            before = self.table.config.version,
            source = source,
            routes = config.routes.len(),
        });
        metrics::state("configuration", config.version as i64);
        self.parts.limits.set(config.limits);
        for workspace in &config.workspaces {
            let Some(quota) = workspace.quota else {
                self.buckets.remove(&workspace.name);
                continue;
            };
            let limit = quota::workspace::Limit { rate: quota.rate, burst: quota.burst };
            match self.buckets.get_mut(&workspace.name) {
                Some(bucket) => bucket.set_limit(limit, now),
                None => {
                    self.buckets.insert(workspace.name.clone(), Bucket::new(limit, now));
                }
            }
        }
        self.table = Rc::new(Table::new(Arc::new(config)));
        self.has_news = true;
    }

    fn note_effects(
        &mut self,
        mut effects: Vec<(String, Effect)>,
        source: &'static str,
        now: Instant,
    ) {
        effects.retain(|(_, effect)| *effect != Effect::Unchanged);
        self.has_news |= !effects.is_empty();
        if effects.iter().any(|(_, effect)| *effect == Effect::Joined) {
            self.list_grew_at = Some(now);
        }
        for (id, effect) in effects {
            match effect {
                Effect::Joined => self.confirm_crash(&id, now),
                Effect::Left | Effect::Unchanged => {}
            }
            spdlog::info!("endpoint", kv: {
                endpoint = id,
                effect:? = effect,
                source = source,
                version = self.pool.store_version,
            });
        }
    }

    fn note_store(&mut self, feed: &'static str, failure: Option<Error>) {
        let is_away = failure.is_some();
        let was_away = self.store_away.insert(feed, is_away).unwrap_or(false);
        if let Some(error) = failure {
            metrics::count("store_failed", feed);
            if !was_away {
                spdlog::warn!("store lost", kv: { feed = feed, cause = error.to_string() });
            }
        } else if was_away {
            spdlog::info!("store regained", kv: { feed = feed });
        }
    }

    /// Whether the store was out of everybody's reach so lately that entries may
    /// have lapsed meanwhile.
    fn was_away(&self, now: Instant) -> bool {
        self.steady_since.is_none_or(|it| now < it + STORE_SETTLES)
    }
}
