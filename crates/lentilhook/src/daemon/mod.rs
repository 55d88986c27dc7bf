//! The daemon: its actors, the I/O threads around them and their wiring.

mod catalog;
mod departure;
mod dispatch;
mod fleet;
mod identity;
pub mod lifecycle;
mod metrics;
mod operators;
mod placement;
mod runtime;
mod shards;
mod worker;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use admin::convert;
use admin::generated;
use gateway::arrival;
use gateway::server::Readiness;
use peer::transport::Event;
use peer::transport::Sink;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Frame;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use snafu::Snafu;
use stakker::ActorOwn;
use stakker::Fwd;
use stakker::Stakker;
use stakker::actor_new;
use stakker::call;
use stakker::fwd_do;
use stakker::fwd_to;
use stakker::ret_do;
use stakker::ret_nop;
use stakker::sync::Channel;
use statechart::Label;
use store::client::Client;
use web::server::Limits;

use self::catalog::Configuration;
use self::departure::Departure;
use self::departure::Departures;
use self::departure::Subsystems;
use self::dispatch::Dispatch;
use self::fleet::Fleet;
use self::fleet::Subscribers;
use self::identity::Identity;
use self::lifecycle::Charts;
use self::operators::Operation;
use self::placement::Placement;
use self::runtime::Runtime;
use self::shards::Shards;
use self::worker::Worker;
use crate::settings::Settings;

/// Number of threads for the platform calls of all actors except placement.
const PLATFORM_THREADS: usize = 4;
/// Number of threads for the platform and endpoint calls of placement.
const PLACEMENT_THREADS: usize = 2;
/// Error that keeps a daemon from running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A state chart is invalid.
    #[snafu(display("{source}"))]
    Lifecycle {
        /// Cause.
        source: statechart::Error,
    },
    /// An HTTP server could not start.
    #[snafu(display("{source}"))]
    Server {
        /// Cause.
        source: web::Error,
    },
    /// The transport between daemons could not start.
    #[snafu(display("{source}"))]
    Peers {
        /// Cause.
        source: peer::transport::Error,
    },
    /// A metric could not be registered, for example because its name is taken.
    #[snafu(display("cannot register metrics: {source}; report this as a bug"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot receive signals: {source}; check the process limits"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}

/// Owning handles of the daemon's actors.
struct Actors {
    dispatch: ActorOwn<Dispatch>,
    shards: ActorOwn<Shards>,
    configuration: ActorOwn<Configuration>,
    fleet: ActorOwn<Fleet>,
    departures: ActorOwn<Departures>,
    placement: ActorOwn<Placement>,
}

/// Runs a daemon until it has shut down.
pub fn run(settings: &Settings, secret: &str) -> Result<(), Error> {
    let charts = lifecycle::load().context(LifecycleSnafu)?;
    spdlog::debug!("charts", kv: {
        drain = charts.drain.initial().name(),
        vm = charts.vm.initial().name(),
        lease = charts.lease.initial().name(),
        request = charts.request.initial().name(),
    });
    metrics::init().context(MetricsSnafu)?;
    let mut runtime = Runtime::new();
    let stakker = &mut runtime.stakker;
    let actors = Actors {
        dispatch: actor_new!(stakker, Dispatch, ret_nop!()),
        shards: actor_new!(stakker, Shards, ret_nop!()),
        configuration: actor_new!(stakker, Configuration, ret_nop!()),
        fleet: actor_new!(stakker, Fleet, ret_nop!()),
        departures: actor_new!(stakker, Departures, ret_nop!()),
        placement: actor_new!(stakker, Placement, ret_nop!()),
    };
    let transport = Transport::start(&settings.listen.peers, secret, peer_sink(stakker, &actors))
        .context(PeersSnafu)?;
    let me = identity(settings, &transport);
    let readiness = Readiness::default();
    let departures = departure_channel(stakker, &actors);
    let subsystems = Subsystems {
        dispatch: actors.dispatch.clone(),
        shards: actors.shards.clone(),
        fleet: actors.fleet.clone(),
        placement: actors.placement.clone(),
        transport: transport.clone(),
    };
    let chart = charts.drain.clone();
    let close_timeout = limits(settings).write_timeout;
    call!(
        [actors.departures],
        Departures::init(chart, readiness.clone(), subsystems, close_timeout)
    );
    start_actors(settings, charts, &actors, &me, &transport, &readiness, &departures);
    let callers = gateway::server::start(
        &settings.listen.callers,
        limits(settings),
        readiness.clone(),
        gateway_sink(stakker, &actors),
    )
    .context(ServerSnafu)?;
    metrics::set_open_counter(callers.open_counter());
    let operators = operators::start(
        &settings.listen.operators,
        limits(settings),
        settings.access.operator_token_sha256.clone(),
        operators_sink(stakker, &actors, departures.clone()),
    )
    .context(ServerSnafu)?;
    watch_signals(departures)?;
    let addresses = (callers.address, operators.address);
    call!([actors.departures], ready(vec![callers, operators]));
    println!(
        "ready daemon={} callers={} operators={} peers={}",
        settings.daemon, addresses.0, addresses.1, transport.address
    );
    runtime.run();
    spdlog::info!("stopped", kv: { daemon = settings.daemon.as_str() });
    Ok(())
}

/// Validates the built-in state charts.
pub fn check_charts() -> Result<(), statechart::Error> {
    lifecycle::load().map(|_| ())
}

fn identity(settings: &Settings, transport: &Transport) -> Identity {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Identity {
        daemon: settings.daemon.clone(),
        incarnation: since_epoch.as_millis() as u64,
        zone: settings.zone.clone(),
        peer_address: transport.address.to_string(),
        seeds: settings.seeds.clone(),
    }
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        body_bytes: settings.limits.body_bytes,
        open_requests: settings.limits.open_requests,
        connections: settings.limits.connections,
        read_timeout: Duration::from_millis(settings.limits.read_timeout_ms),
        write_timeout: Duration::from_millis(settings.limits.write_timeout_ms),
    }
}

fn start_actors(
    settings: &Settings,
    charts: Charts,
    actors: &Actors,
    me: &Identity,
    transport: &Transport,
    readiness: &Readiness,
    departures: &Channel<Departure>,
) {
    let client = Client::new(&settings.platform.address, settings.platform_timeout())
        .with_observer(metrics::record_platform_call);
    let worker = Worker::start(&client, PLATFORM_THREADS);
    // Placement has its own threads: endpoints that don't respond must not delay
    // the ledger's commits.
    let placement_worker = Worker::start(&client, PLACEMENT_THREADS);
    let dispatch = actors.dispatch.clone();
    let shards = actors.shards.clone();
    let fleet = actors.fleet.clone();
    let configuration = actors.configuration.clone();
    let seed = me.incarnation.rotate_left(32) ^ xxhash_rust::xxh3::xxh3_64(me.daemon.as_bytes());
    call!([shards], Shards::init(me.clone(), charts.lease, worker.clone(), dispatch.clone()));
    let mode = settings.routing.mode;
    call!([dispatch], Dispatch::init(me.clone(), charts.request, transport.clone(), shards, mode));
    call!(
        [configuration],
        Configuration::init(
            seed,
            readiness.clone(),
            worker.clone(),
            dispatch.clone(),
            fleet.clone(),
            actors.placement.clone()
        )
    );
    let placement = actors.placement.clone();
    call!([placement], Placement::init(me.clone(), placement_worker, fleet.clone()));
    let subscribers = Subscribers { dispatch, configuration, departures: departures.clone() };
    call!([fleet], Fleet::init(me.clone(), charts.vm, transport.clone(), worker, subscribers));
}

/// Returns a sink that forwards each transport event to the actor that owns its
/// stream.
fn peer_sink(stakker: &mut Stakker, actors: &Actors) -> Sink {
    let to_dispatch: Fwd<Event> = fwd_to!([actors.dispatch], peer_event() as (Event));
    let to_fleet: Fwd<Event> = fwd_to!([actors.fleet], peer_event() as (Event));
    let route = fwd_do!(move |event: Event| {
        if is_for_fleet(&event) { to_fleet.fwd(event) } else { to_dispatch.fwd(event) }
    });
    let (channel, guard) = Channel::new(stakker, route);
    // The channel stays open for the lifetime of the process.
    std::mem::forget(guard);
    Arc::new(move |event| {
        channel.send(event);
    })
}

/// Whether an event belongs to the fleet actor: gossip and configuration frames,
/// and all events on the streams that the fleet opens.
fn is_for_fleet(event: &Event) -> bool {
    let (stream, is_fleet_frame) = match event {
        Event::Frame { stream, frame } => {
            (*stream, matches!(frame, Frame::Gossip(_) | Frame::Config { .. }))
        }
        Event::Accepted { stream, .. }
        | Event::Skipped { stream, .. }
        | Event::Finished { stream }
        | Event::Failed { stream, .. } => (*stream, false),
    };
    let StreamId(number) = stream;
    is_fleet_frame || number % 4 == 2
}

fn gateway_sink(stakker: &mut Stakker, actors: &Actors) -> gateway::server::Sink {
    let dispatch = actors.dispatch.clone();
    let route = fwd_do!(move |event: arrival::Event| match event {
        arrival::Event::Arrived(arrival) => call!([dispatch], arrived(*arrival)),
        arrival::Event::Disconnected(id) => call!([dispatch], disconnected(id)),
    });
    let (channel, guard) = Channel::new(stakker, route);
    std::mem::forget(guard);
    Arc::new(move |event| {
        channel.send(event);
    })
}

fn operators_sink(
    stakker: &mut Stakker,
    actors: &Actors,
    departures: Channel<Departure>,
) -> operators::Sink {
    let configuration = actors.configuration.clone();
    let fleet = actors.fleet.clone();
    let dispatch = actors.dispatch.clone();
    let shards = actors.shards.clone();
    let route = fwd_do!(move |request: operators::Request| {
        let reply = request.reply;
        match request.operation {
            Operation::Change(change) => {
                let ret = ret_do!(move |result: Option<Result<u64, admin::error::Error>>| {
                    let result = result.unwrap_or_else(|| Err(shutting_down()));
                    let applied = result.map(|revision| generated::Applied { revision });
                    let _ = reply.send(applied.and_then(|it| operators::encode(&it)));
                });
                call!([configuration], change(change, ret));
            }
            Operation::GetCatalog => {
                let ret = ret_do!(move |catalog: Option<std::rc::Rc<config::catalog::Catalog>>| {
                    let catalog = catalog.ok_or_else(shutting_down);
                    let body = catalog.and_then(|it| operators::encode(&convert::catalog(&it)));
                    let _ = reply.send(body);
                });
                call!([configuration], read(ret));
            }
            Operation::ListVms => {
                let ret = ret_do!(move |vms: Option<Vec<membership::update::Vm>>| {
                    let vms = operators::vm_list(&vms.unwrap_or_default());
                    let _ = reply.send(operators::encode(&vms));
                });
                call!([fleet], read(ret));
            }
            Operation::ListLeases => {
                let ret = ret_do!(move |leases: Option<Vec<generated::Lease>>| {
                    let leases = leases.unwrap_or_default();
                    let _ = reply.send(operators::encode(&generated::LeaseList { leases }));
                });
                call!([shards], read(ret));
            }
            Operation::SetLogLevel(level) => {
                crate::log::set_level(level);
                let _ = reply.send(operators::encode(&generated::SetLogLevelReply {}));
            }
            Operation::Drain => {
                let departures = departures.clone();
                let ret = ret_do!(move |open: Option<usize>| {
                    let open_requests = open.unwrap_or_default() as u32;
                    let _ = reply.send(operators::encode(&generated::DrainReply { open_requests }));
                    departures.send(Departure::Stop);
                });
                call!([dispatch], count_open(ret));
            }
        }
    });
    let (channel, guard) = Channel::new(stakker, route);
    std::mem::forget(guard);
    Arc::new(move |request| {
        channel.send(request);
    })
}

fn shutting_down() -> admin::error::Error {
    let msg = "the daemon is shutting down; ask another one";
    admin::error::Error::new(admin::error::Code::Unavailable, msg)
}

/// Returns a channel on which a message makes the daemon shut down.
fn departure_channel(stakker: &mut Stakker, actors: &Actors) -> Channel<Departure> {
    let depart = fwd_to!([actors.departures], depart() as (Departure));
    let (channel, guard) = Channel::new(stakker, depart);
    std::mem::forget(guard);
    channel
}

fn watch_signals(departures: Channel<Departure>) -> Result<(), Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).context(SignalSnafu)?;
    thread::spawn(move || {
        for _ in signals.forever() {
            departures.send(Departure::Stop);
        }
    });
    Ok(())
}
