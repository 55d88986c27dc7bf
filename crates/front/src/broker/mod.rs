//! The broker actor, which owns the daemon's state and makes all decisions.

mod accounts;
mod book;
mod brittle;
mod config;
mod crashes;
mod endpoint_limits;
mod era;
mod gossip;
mod history;
mod identity;
mod leader;
mod lifecycle;
mod limits;
mod origin_log;
mod origins;
mod pending;
mod placing;
mod queries;
mod reach;
mod reading;
mod refusal;
mod requests;
mod roster;
mod unread;
mod usage;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::origin::Key;
use balance::origin::Origins;
use balance::pool::Pool;
use balance::reach::Reach;
use balance::runs::Runs;
use balance::services::Unconfirmed;
use balance::settling::Settling;
use balance::software::Coverage;
use balance::software::History;
use balance::spread::Spread;
use balance::subject::Subject;
use balance::suspects::Suspects;
use duty::clock::Clock;
use duty::demand::Demand;
use duty::lease::Lease;
use duty::order::Origin;
use duty::order::Planner;
use duty::reporting::Reporting;
use duty::usage::Usage;
use membership::digest::FANOUT;
use membership::digest::Peers;
use membership::freshness::Freshness;
use membership::pace::Pace;
use membership::reads::Reads;
use platform::era::Eras;
use platform::feed::Document;
use platform::settings::Settings;
use quota::endpoint;
use quota::retry::Budget;
use quota::room::Rooms;
use quota::workspace::Bucket;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use relay::exchange::Exchanges;
use relay::server::Phase;
use route::config::Limits;
use route::delta::Changes;
use route::table::Table;
use stakker::CX;
use stakker::after;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use self::pending::Pending;
use crate::asking::Asking;
use crate::clock;
use crate::cloud;
use crate::drain::Drain;
use crate::durations::Durations;
use crate::event::Event;
use crate::lease;
use crate::metrics;
use crate::origin_calls;
use crate::peers::Streams;
use crate::reach_probe;

/// Minimum interval between log lines that report dropped log lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the periodic work.
const TICK: Duration = Duration::from_millis(50);
/// Interval between plans of the endpoints to order.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Settings, channels and shared state that the broker is created with.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Id of this instance of the daemon.
    pub instance_id: String,
    /// Channel for the leader tasks' calls to the store.
    pub lease_jobs: UnboundedSender<lease::Job>,
    /// Channel for the leader tasks' calls to the cloud API.
    pub cloud_jobs: UnboundedSender<cloud::Job>,
    /// Channel for writes of streams to the store.
    pub stream_writes: UnboundedSender<origin_calls::Job>,
    /// Channel for reads of streams from the store.
    pub stream_reads: UnboundedSender<origin_calls::Job>,
    /// Streams to the other daemons.
    pub streams: Streams,
    /// Limits for new connections of callers.
    pub limits: Rc<Cell<Limits>>,
    /// Publishes the shutdown phase to callers' connections.
    pub phase: watch::Sender<Phase>,
    /// Counts of callers' connections.
    pub exchanges: Exchanges,
    /// Publishes the readiness for the load balancer's probe.
    pub ready: watch::Sender<bool>,
    /// Publishes to the feeds whether this daemon is a store reader.
    pub reader: watch::Sender<bool>,
    /// Endpoints to be probed.
    pub probes: UnboundedSender<reach_probe::Job>,
    /// Eras of the store, as seen by this daemon's clients of it and by other daemons.
    pub eras: Eras,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Lifecycle stage of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Running,
    Stopping(Drain),
}

/// The broker actor.
pub struct Broker {
    context: Context,
    rng: SmallRng,
    stage: Stage,
    activity: lifecycle::Activity,
    started_at: Instant,
    /// Whether the whole fleet started for the first time together with this daemon.
    is_first_start: bool,
    /// Whether this daemon has read the daemon table.
    has_read_daemons: bool,
    table: Rc<Table>,
    pool: Pool,
    suspects: Suspects,
    /// Responses that wait for a sign that their endpoint is alive.
    unconfirmed: Unconfirmed,
    /// Changes of `suspects` that wait to be sent.
    spread: Spread,
    /// Attempts without a complete response, until it is known whether the endpoint
    /// crashed.
    interruptions: VecDeque<crashes::Interruption>,
    /// Whether the store row of rejected subjects was read, so that it may be replaced.
    has_read_rejected: bool,
    /// Subjects in that row, as last read or written.
    stored_rejected: BTreeSet<Subject>,
    /// When that row was last written.
    stored_rejected_at: Instant,
    buckets: HashMap<String, Bucket>,
    budgets: HashMap<String, Budget>,
    endpoint_limits: endpoint::Limits,
    rooms: Rooms,
    /// At which software version streams began.
    origins: Origins,
    runs: Runs,
    origins_swept_at: Instant,
    /// Questions to other daemons about streams that callers take up.
    queries: HashMap<Key, queries::Query>,
    /// Callers that take up streams at processes whose entries were not read yet.
    unread_arrivals: unread::Arrivals,
    /// Requests that wait for accounting daemons.
    asking: Asking,
    is_asking_timer_set: bool,
    /// Silences of accounting daemons since the last log line about one, and its time.
    unreported_silences: u64,
    silence_reported_at: Instant,
    /// Whether this daemon reaches endpoints.
    reach: Reach,
    /// Number of probes of endpoints so far.
    probe_count: usize,
    /// Software versions that have served.
    history: History,
    stored_history: history::Stored,
    stored_streams: origin_log::Stored,
    /// When routes got other back ends.
    rerouted: HashMap<String, Instant>,
    requests: HashMap<u64, Pending>,
    durations: Durations,
    next_ticket: u64,
    peers: Peers,
    /// Number of daemons that come before this one when few daemons do the work of all.
    preceding: usize,
    sequence: u64,
    pace: Pace,
    reporting: Reporting,
    newly_heard: gossip::Heard,
    /// Whether a change must be gossiped at the next tick.
    has_urgent_changes: bool,
    config_changes: Changes,
    /// Whether changes that a peer sent don't lead to its configuration.
    needs_whole_config: bool,
    /// When a newer configuration or roster was last requested from a peer.
    pulled_at: Option<Instant>,
    /// When a skipped message was last logged.
    skip_reported_at: Instant,
    clock: Clock,
    usage: Usage,
    /// Which usage windows may be recorded in the store's era.
    horizon: usage::StoredHorizon,
    lease: Lease,
    /// Whether this daemon had a lease grant for leader tasks at the last tick.
    is_leader: bool,
    /// Fencing token of this daemon's latest term as the lease holder.
    led_fence: Option<u64>,
    /// Who deployed the endpoints that this daemon found at the start of that term.
    fleet_origin: Origin,
    order_book: book::Stored,
    leader_calls: leader::Calls,
    planners: HashMap<String, Planner>,
    planned_at: Instant,
    /// Address of another daemon that holds the lease, and when it last held it.
    remote_holder: Option<(SocketAddr, Instant)>,
    /// Engine time of the other daemons' requests, by instance and service.
    remote_work_ms: HashMap<String, HashMap<String, f64>>,
    /// Engine time of this daemon's requests since its start, by service.
    work_ms: HashMap<String, f64>,
    /// Load as measured by the lease holder, by service.
    demand: HashMap<String, Demand>,
    /// When the last new endpoint joined. After a start, the list of endpoints is
    /// treated as complete once it has not grown for a while.
    list_grew_at: Option<Instant>,
    is_list_complete: bool,
    /// When this daemon last read the endpoints.
    read_at: Option<Instant>,
    /// Latest reads of the store by all daemons.
    reads: Reads,
    /// When any daemon last read the endpoints, as digests state that come without counts.
    stated_read_at: Option<Instant>,
    /// Start of the current period of uninterrupted store reads by any daemon.
    reads_since: Option<Instant>,
    /// Whether this daemon's list of endpoints can be relied on.
    freshness: Freshness,
    listing: identity::Listing,
    settling: Settling,
    /// Number of dropped log lines already reported, and the time of the last report.
    reported_drops: (u64, Instant),
    era: era::View,
    /// Whether the last call of each feed failed.
    store_failures: HashMap<&'static str, bool>,
}

impl Broker {
    /// Creates the actor with empty state and starts its periodic work.
    pub fn init(cx: CX![], context: Context) -> Option<Self> {
        let now = cx.now();
        let since_boot = clock::since_boot();
        after!(TICK, [cx], tick());
        Some(Broker {
            rng: SmallRng::seed_from_u64(context.seed),
            stage: Stage::Running,
            activity: lifecycle::Activity::new(now),
            started_at: now,
            is_first_start: context.settings.is_first_start,
            has_read_daemons: false,
            table: Rc::default(),
            pool: Pool::default(),
            suspects: Suspects::new(crashes::REQUEST_LIMIT),
            unconfirmed: Unconfirmed::default(),
            spread: Spread::default(),
            interruptions: VecDeque::new(),
            has_read_rejected: false,
            stored_rejected: BTreeSet::new(),
            stored_rejected_at: now,
            buckets: HashMap::new(),
            budgets: HashMap::new(),
            endpoint_limits: endpoint::Limits::default(),
            rooms: Rooms::default(),
            origins: Origins::default(),
            runs: Runs::default(),
            origins_swept_at: now,
            queries: HashMap::new(),
            unread_arrivals: unread::Arrivals::default(),
            asking: Asking::default(),
            is_asking_timer_set: false,
            unreported_silences: 0,
            silence_reported_at: now,
            reach: Reach::default(),
            probe_count: 0,
            history: History::new(match context.settings.is_first_start {
                true => Coverage::Whole,
                false => Coverage::Since(now),
            }),
            stored_history: history::Stored::new(now),
            stored_streams: origin_log::Stored::new(now),
            rerouted: HashMap::new(),
            requests: HashMap::new(),
            durations: Durations::default(),
            next_ticket: 0,
            peers: Peers::default(),
            preceding: 0,
            sequence: 0,
            pace: Pace::new(now),
            newly_heard: gossip::Heard { count: 0, since: now },
            reporting: Reporting::new(context.seed as u32, now),
            has_urgent_changes: false,
            config_changes: Changes::default(),
            needs_whole_config: false,
            pulled_at: None,
            skip_reported_at: now,
            clock: Clock::new(clock::wall_ms(), since_boot),
            usage: Usage::new(context.settings.bounds.usage_window),
            horizon: usage::StoredHorizon::default(),
            lease: Lease::new(context.instance_id.clone(), since_boot),
            is_leader: false,
            led_fence: None,
            fleet_origin: Origin::Orders,
            order_book: book::Stored::default(),
            leader_calls: leader::Calls::default(),
            planners: HashMap::new(),
            planned_at: now,
            remote_holder: None,
            remote_work_ms: HashMap::new(),
            work_ms: HashMap::new(),
            demand: HashMap::new(),
            list_grew_at: None,
            is_list_complete: false,
            read_at: None,
            reads: Reads::default(),
            stated_read_at: None,
            reads_since: None,
            freshness: Freshness::new(since_boot),
            listing: identity::Listing::new(context.settings.is_first_start, now),
            settling: Settling::default(),
            reported_drops: (0, now),
            era: era::View::default(),
            store_failures: HashMap::new(),
            context,
        })
    }

    /// Handles an event.
    pub fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Request(message) => {
                self.handle_request_message(message, now);
                self.set_asking_timer(cx);
            }
            Event::Config(Document::Config(config)) => self.set_config(*config, "store", now),
            Event::Config(Document::Malformed { detail }) => {
                spdlog::error!("configuration can't be decoded; the previous one stays in force",
                    kv: { cause = detail, version = self.table.config.version });
            }
            Event::Roster(roster) => {
                let settles_at = self.record_read(roster.version, now);
                let effects = self.pool.replace(roster, settles_at, now);
                self.handle_effects(effects, "store", now);
            }
            Event::Endpoints { changes, version } => {
                let settles_at = self.record_read(version, now);
                roster::report_unusable(&changes);
                let effects = self.pool.apply(changes, version, settles_at, now);
                self.handle_effects(effects, "store", now);
            }
            Event::Store { feed, failure } => self.handle_store_call(feed, failure, now),
            Event::Era(era) => self.handle_era(era, now),
            Event::EraIrregularity(irregularity) => self.handle_era_irregularity(irregularity),
            Event::Daemons(rows) => self.discover_daemons(&rows, now),
            Event::Peer(message) => self.handle_peer_message(*message, now),
            Event::PeerAccepted { stream, protocol } => {
                self.handle_peer_acceptance(stream, protocol);
            }
            Event::PeerSkipped { detail } => self.handle_skipped_message(&detail, now),
            Event::PeerLost { stream, detail } => self.handle_peer_loss(stream, &detail),
            Event::LeaseRead { result, era } => self.handle_lease_read(result, era),
            Event::LeaseWritten(result) => self.handle_lease_write(result),
            Event::RejectedRead(row) => self.handle_rejected_read(&row, now),
            Event::RejectedStored { subjects, result } => {
                self.handle_rejected_stored(subjects, result);
            }
            Event::Probed { service, endpoint, is_success } => {
                self.handle_probe(&service, &endpoint, is_success, now);
            }
            Event::VersionsRead(row) => self.handle_versions_read(&row, now),
            Event::OrdersRead { fence, result } => {
                self.handle_orders_read(fence, result, now);
            }
            Event::OrdersStored(result) => self.handle_orders_stored(result),
            Event::VersionsStored(result) => self.handle_versions_stored(result),
            Event::StreamsStored(result) => self.handle_streams_stored(result),
            Event::StreamsRead(result) => self.handle_streams_read(result, now),
            Event::StreamRowsDeleted(result) => self.handle_stream_rows_deleted(result),
            Event::EraRead(result) => self.handle_era_read(result),
            Event::EraStored(result) => self.handle_era_stored(result),
            Event::UsageRecorded { window, counts, absent, result } => {
                self.handle_usage_record(window, counts, absent, result);
            }
            Event::UsageReported { window, result } => self.handle_usage_report(window, result),
            Event::Ordered { service, order, result } => {
                self.handle_order(&service, &order, result, now);
            }
            Event::Stop => self.stop(now),
            Event::Reload(settings) => self.reload(*settings),
        }
    }

    /// Starts the transport to the other daemons.
    pub fn start_streams(
        &mut self,
        _: CX![],
        address: SocketAddr,
        secret: String,
        events: UnboundedSender<Event>,
    ) {
        if let Err(error) = self.context.streams.start(address, &secret, events) {
            spdlog::error!("failed to start the transport to the other daemons",
                kv: { cause = error.to_string() });
        }
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        self.activity.tick(now);
        self.freshness.tick(self.pool.roster_version, clock::since_boot());
        self.track_list(now);
        self.context.ready.send_replace(self.is_ready());
        self.record_progress(now);
        self.sweep_origins(now);
        self.settle_origins(now);
        self.tick_stored_streams(now);
        self.end_waits_for_entries(now);
        self.judge_links(now);
        let is_urgent = self.has_urgent_changes || self.spread.has_news();
        let is_round = self.pace.is_due(self.peers.count(), is_urgent, now);
        if is_round {
            self.gossip(now);
        }
        // These visit all daemons and endpoints.
        if is_round || self.peers.count() <= FANOUT {
            self.update_preceding(now);
            let expired = self.pool.sweep(self.peers.liveness_timeout(), now);
            self.handle_effects(expired, "lapse", now);
        }
        self.run_leader_tasks(now);
        self.track_reads(now);
        self.report_dropped_lines(now);
        self.update_reader(now);
        self.exit_if_drained(cx, now);
    }

    /// Logs the number of dropped log lines once the reader of the log reads again.
    fn report_dropped_lines(&mut self, now: Instant) {
        let dropped = metrics::dropped_lines();
        if dropped == self.reported_drops.0 || now < self.reported_drops.1 + DROP_REPORT_INTERVAL {
            return;
        }
        spdlog::warn!("log lines dropped", kv: { count = dropped - self.reported_drops.0 });
        // If this line was dropped as well, the number is reported again later.
        if metrics::dropped_lines() == dropped {
            self.reported_drops = (dropped, now);
        } else {
            self.reported_drops.1 = now;
        }
    }
}
