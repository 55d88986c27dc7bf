//! Startup, wiring and shutdown of the daemon.

use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use platform::era::Eras;
use platform::era::Irregularity;
use platform::exchange::Client;
use platform::settings;
use platform::settings::Settings;
use rand::RngExt;
use relay::admission::Message;
use relay::budget::Budget;
use relay::exchange::Exchanges;
use relay::open;
use relay::open::Connections;
use relay::server;
use relay::server::Phase;
use relay::server::Server;
use route::config::Limits;
use snafu::ResultExt;
use snafu::Snafu;
use stakker::ActorOwn;
use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::broker::Broker;
use crate::broker::Context;
use crate::cloud;
use crate::doors;
use crate::event::Event;
use crate::feeds;
use crate::feeds::Returns;
use crate::lease;
use crate::origin_calls;
use crate::peers::Streams;
use crate::probe;
use crate::reach_probe;
use crate::secret;

/// Maximum sleep when no timer is pending.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(5);
/// Interval at which expired idle connections to endpoints are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long the process waits before it exits, so that the last gossip round is sent.
const LINGER: Duration = Duration::from_millis(50);
/// Number of events handled before timers run.
const EVENT_BATCH: usize = 64;
/// Length of the secret shared by the daemons.
const SECRET_BYTES: usize = 32;

/// An error that prevents the daemon from running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime could not be created.
    #[snafu(display("cannot start: {source}; check the limits of the process"))]
    Start {
        /// Underlying error.
        source: io::Error,
    },
    /// An address could not be bound.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the port or correct the settings"
    ))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
}

/// Runs the daemon until it has drained. SIGHUP makes it read the settings from
/// `path` again.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build().context(StartSnafu)?;
    LocalSet::new().block_on(&runtime, serve(settings, path))
}

async fn serve(settings: Settings, path: PathBuf) -> Result<(), Error> {
    let listen = |address| server::listen(address).context(ListenSnafu { address });
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(settings.metrics)?;
    let mut rng = rand::rng();
    let instance_id = format!("{}#{:016x}", settings.daemon, rng.random::<u64>());
    spdlog::info!("started", kv: {
        life = instance_id.as_str(),
        zone = settings.zone.as_str(),
        is_first_start = settings.is_first_start,
        callers = settings.callers.to_string(),
        metrics = settings.metrics.to_string(),
    });
    let (events, received) = unbounded_channel();
    let (lease_jobs, lease_calls) = unbounded_channel();
    let (cloud_jobs, cloud_calls) = unbounded_channel();
    let (stream_writes, stream_write_calls) = unbounded_channel();
    let (stream_reads, stream_read_calls) = unbounded_channel();
    let (phase, phases) = watch::channel(Phase::default());
    let (ready, is_ready) = watch::channel(false);
    let (reader, is_reader) = watch::channel(false);
    let limits = Rc::new(Cell::new(Limits::default()));
    let exchanges = Exchanges::default();
    let (irregular, irregularities) = unbounded_channel();
    let eras = Eras::new(irregular);
    let (probes, probe_jobs) = unbounded_channel();
    let context = Context {
        settings: settings.clone(),
        instance_id: instance_id.clone(),
        lease_jobs,
        cloud_jobs,
        stream_writes,
        stream_reads,
        streams: Streams::new(),
        limits: limits.clone(),
        phase,
        exchanges: exchanges.clone(),
        ready,
        reader,
        probes,
        eras: eras.clone(),
        seed: rng.random(),
    };
    let mut stakker = Stakker::new(Instant::now());
    let broker = actor!(&mut stakker, Broker::init(context), ret_nop!());
    spawn_local(watch_eras(eras.subscribe(), irregularities, events.clone()));
    let client = || Client::for_store(settings.store, eras.clone());
    spawn_local(feeds::config(client(), events.clone(), is_reader.clone()));
    spawn_local(feeds::endpoints(client(), events.clone(), is_reader.clone()));
    spawn_local(feeds::daemons(
        client(),
        settings.peers,
        instance_id,
        events.clone(),
        is_reader,
        Returns::new(&eras),
    ));
    spawn_local(feeds::former(client(), settings.is_first_start, events.clone()));
    spawn_local(reach_probe::run(probe_jobs, events.clone()));
    spawn_local(lease::run(client(), lease_calls, events.clone()));
    spawn_local(origin_calls::run(client(), stream_write_calls, events.clone()));
    spawn_local(origin_calls::run(client(), stream_read_calls, events.clone()));
    if let Some(address) = settings.cloud {
        let daemon = settings.daemon.clone();
        spawn_local(cloud::run(address, daemon, cloud_calls, events.clone()));
    }
    spawn_local(probe::run(readiness, is_ready.clone()));
    spawn_local(probe::run(metrics, is_ready));
    spawn_local(watch_signals(path, events.clone()));
    let budget = Budget::new(settings.memory_bytes);
    let connections = Connections::new(open::capacity(settings.descriptors, settings.memory_bytes));
    let (messages, requests) = unbounded_channel();
    spawn_local(pass_messages(requests, events.clone()));
    let (doors_budget, doors_connections) = (budget.clone(), connections.clone());
    let server = Server::new(messages, limits, phases, exchanges, budget, connections);
    spawn_local(server.clone().run(callers));
    spawn_local(close_idle_connections(server));
    spawn_local(doors::watch(doors_budget, doors_connections));
    let (secret_sender, secret) = unbounded_channel();
    let candidate: String =
        (0..SECRET_BYTES).map(|_| format!("{:02x}", rng.random::<u8>())).collect();
    let (mut secret_client, returns) = (client(), Returns::new(&eras));
    let keeper = client();
    spawn_local(async move {
        let obtained =
            secret::obtain(&mut secret_client, &candidate, settings.is_first_start).await;
        let _ = secret_sender.send(obtained.clone());
        secret::keep(keeper, obtained, returns).await;
    });
    run_actor(stakker, &broker, received, secret, &events, &settings).await;
    sleep(LINGER).await;
    Ok(())
}

/// Runs the actor until it shuts the daemon down.
async fn run_actor(
    mut stakker: Stakker,
    broker: &ActorOwn<Broker>,
    mut received: UnboundedReceiver<Event>,
    mut secret: UnboundedReceiver<String>,
    events: &UnboundedSender<Event>,
    settings: &Settings,
) {
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_IDLE_WAIT, false);
        tokio::select! {
            Some(event) = received.recv() => {
                call!([broker], handle(event));
                for _ in 0..EVENT_BATCH {
                    let Ok(event) = received.try_recv() else { break };
                    call!([broker], handle(event));
                }
            }
            Some(secret) = secret.recv() => {
                let (address, events) = (settings.peers, events.clone());
                call!([broker], start_streams(address, secret, events));
            }
            () = sleep(wait) => {}
        }
        stakker.run(Instant::now(), false);
    }
}

/// Passes messages of callers' requests on to the broker.
async fn pass_messages(mut messages: UnboundedReceiver<Message>, events: UnboundedSender<Event>) {
    while let Some(message) = messages.recv().await {
        let _ = events.send(Event::Request(message));
    }
}

async fn close_idle_connections(server: Server) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        server.pool().remove_expired();
    }
}

/// Reports new eras of the store to the broker, and responses whose era can't be used.
async fn watch_eras(
    mut eras: watch::Receiver<Option<u64>>,
    mut irregularities: UnboundedReceiver<Irregularity>,
    events: UnboundedSender<Event>,
) {
    loop {
        let event = tokio::select! {
            Ok(()) = eras.changed() => Event::Era(eras.borrow_and_update().unwrap_or(0)),
            Some(irregularity) = irregularities.recv() => Event::EraIrregularity(irregularity),
            else => return,
        };
        let _ = events.send(event);
    }
}

async fn watch_signals(path: PathBuf, events: UnboundedSender<Event>) {
    let kinds = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()];
    let [terminate, interrupt, hangup] = kinds.map(signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (terminate, interrupt, hangup)
    else {
        spdlog::error!("failed to install the signal handlers; check the limits of the process");
        return;
    };
    loop {
        let event = tokio::select! {
            _ = terminate.recv() => Event::Stop,
            _ = interrupt.recv() => Event::Stop,
            _ = hangup.recv() => Event::Reload(Box::new(settings::read(path.clone()))),
        };
        let _ = events.send(event);
    }
}
