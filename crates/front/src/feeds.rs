//! Tasks that watch the store's tables.

use std::net::SocketAddr;
use std::time::Duration;

use membership::reads::CONFIG_POLL_TIMEOUT;
use platform::era::Eras;
use platform::exchange::Client;
use platform::feed;
use platform::feed::Update;
use platform::rows;
use store::Error;
use store::table::ABSENT;
use store::table::Put;
use store::table::Row;
use store::table::Transaction;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::event::Event;
use crate::lease::REJECTED_KEY;
use crate::lease::VERSIONS_KEY;

/// Long-poll timeout for changes of endpoints. Endpoints write heartbeats more
/// often, so a missing response reveals a dead connection.
const ENDPOINTS_POLL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Minimum interval between calls for endpoints. Each endpoint writes every
/// 1.2 s, and one call per write would be too many. The interval is shorter than
/// the 2 s within which a leaving endpoint must become known.
const ENDPOINTS_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between calls for the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads of the daemon table. Daemons also learn of each other
/// through gossip.
const DAEMONS_INTERVAL: Duration = Duration::from_secs(12);
/// Delay before retrying a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Name of the feed of the operators' configuration.
pub const CONFIG: &str = "config";
/// Table with one row per daemon, keyed by its address.
pub const DAEMONS: &str = "daemons";

/// Watches the operators' configuration while this daemon is a store reader.
pub async fn config(
    mut client: Client,
    events: UnboundedSender<Event>,
    mut is_reader: watch::Receiver<bool>,
) {
    let mut since = None;
    loop {
        if wait_until_reader(&mut is_reader).await {
            since = None;
        }
        let result = match since {
            None => feed::read_config(&mut client).await.map(|(config, version)| Update::Changes {
                items: config.into_iter().collect(),
                version,
            }),
            Some(since) => feed::follow_config(&mut client, since, CONFIG_POLL_TIMEOUT).await,
        };
        let next = publish(result, since, CONFIG, &events, |items, _| {
            items.into_iter().map(Event::Config).collect()
        });
        since = next.pause(CONFIG_INTERVAL).await;
    }
}

/// Watches the endpoints' descriptions while this daemon is a store reader.
pub async fn endpoints(
    mut client: Client,
    events: UnboundedSender<Event>,
    mut is_reader: watch::Receiver<bool>,
) {
    let mut since = None;
    loop {
        if wait_until_reader(&mut is_reader).await {
            since = None;
        }
        let Some(version) = since else {
            let result = feed::read_endpoints(&mut client).await;
            let update = result.map(|it| Update::Changes { version: it.version, items: vec![it] });
            let next = publish(update, since, "endpoints", &events, |items, _| {
                items.into_iter().map(Event::Roster).collect()
            });
            since = next.pause(ENDPOINTS_INTERVAL).await;
            continue;
        };
        let result = feed::follow_endpoints(&mut client, version, ENDPOINTS_POLL_TIMEOUT).await;
        let next = publish(result, since, "endpoints", &events, |changes, version| {
            vec![Event::Endpoints { changes, version }]
        });
        since = next.pause(ENDPOINTS_INTERVAL).await;
    }
}

/// Registers this daemon and reads the daemon table, at the start and whenever the store
/// returns from a copy.
pub async fn daemons(
    mut client: Client,
    own: SocketAddr,
    instance_id: String,
    events: UnboundedSender<Event>,
    mut is_reader: watch::Receiver<bool>,
    mut returns: Returns,
) {
    let key = format!("{DAEMONS}/{own}");
    let put = Put { key, value: instance_id };
    let registration = Transaction { puts: vec![put], ..Transaction::default() };
    loop {
        while let Err(error) = rows::commit(&mut client, &registration).await {
            report_call(&events, "daemons", Some(error));
            sleep(RETRY_DELAY).await;
        }
        // The copy may lack the row.
        tokio::select! {
            () = read_daemons(&mut client, &events, &mut is_reader) => {}
            () = returns.next() => {}
        }
    }
}

/// Reads the daemon table once, and periodically while this daemon is a store reader.
async fn read_daemons(
    client: &mut Client,
    events: &UnboundedSender<Event>,
    is_reader: &mut watch::Receiver<bool>,
) {
    loop {
        let pause = match rows::scan(client, DAEMONS).await {
            Ok((rows, _)) => {
                let _ = events.send(Event::Daemons(rows));
                DAEMONS_INTERVAL
            }
            Err(error) => {
                report_call(events, "daemons", Some(error));
                RETRY_DELAY
            }
        };
        sleep(pause).await;
        if pause == DAEMONS_INTERVAL {
            wait_until_reader(is_reader).await;
        }
    }
}

/// Reads the rows of rejected requests and of software versions that former daemons have
/// left. There are none when the whole fleet starts for the first time.
pub async fn former(mut client: Client, is_first_start: bool, events: UnboundedSender<Event>) {
    let absent = |key: &str| Row { key: key.to_owned(), version: ABSENT, value: String::new() };
    let mut row = absent(REJECTED_KEY);
    if !is_first_start {
        row = read_once(&mut client, REJECTED_KEY, "rejected", &events).await;
    }
    let _ = events.send(Event::RejectedRead(row));
    let mut row = absent(VERSIONS_KEY);
    if !is_first_start {
        row = read_once(&mut client, VERSIONS_KEY, "versions", &events).await;
    }
    let _ = events.send(Event::VersionsRead(row));
}

async fn read_once(
    client: &mut Client,
    key: &str,
    feed: &'static str,
    events: &UnboundedSender<Event>,
) -> Row {
    loop {
        match rows::read(client, key).await {
            Ok(row) => return row,
            Err(error) => report_call(events, feed, Some(error)),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Waits for the store to return from older copies.
#[derive(Debug)]
pub struct Returns {
    eras: watch::Receiver<Option<u64>>,
    era: Option<u64>,
}

impl Returns {
    /// Creates a receiver of the returns from now on.
    pub fn new(eras: &Eras) -> Returns {
        Returns { eras: eras.subscribe(), era: eras.latest() }
    }

    /// Waits for the next return. The first era that the store states is none.
    pub(crate) async fn next(&mut self) {
        loop {
            let known = self.era;
            // Waiting fails only while the daemon shuts down.
            let Ok(era) = self.eras.wait_for(|it| *it != known).await.map(|it| *it) else {
                return std::future::pending().await;
            };
            self.era = era;
            if known.is_some() {
                return;
            }
        }
    }
}

/// Waits until this daemon is a store reader. Returns whether it had to wait.
async fn wait_until_reader(is_reader: &mut watch::Receiver<bool>) -> bool {
    if *is_reader.borrow() {
        return false;
    }
    // Waiting fails only while the daemon shuts down.
    let _ = is_reader.wait_for(|it| *it).await;
    true
}

/// Sends the result of a call to the broker and returns how to continue.
fn publish<T>(
    result: Result<Update<T>, Error>,
    since: Option<u64>,
    name: &'static str,
    events: &UnboundedSender<Event>,
    event: impl FnOnce(Vec<T>, u64) -> Vec<Event>,
) -> Continuation {
    match result {
        Ok(Update::Changes { items, version }) => {
            report_call(events, name, None);
            for event in event(items, version) {
                let _ = events.send(event);
            }
            Continuation { since: Some(version.max(since.unwrap_or(0))), has_failed: false }
        }
        Ok(Update::Expired) => {
            spdlog::warn!("store history has expired; reading the table again",
                kv: { feed = name });
            Continuation { since: None, has_failed: false }
        }
        Err(error) => {
            report_call(events, name, Some(error));
            Continuation { since, has_failed: true }
        }
    }
}

fn report_call(events: &UnboundedSender<Event>, feed: &'static str, failure: Option<Error>) {
    let _ = events.send(Event::Store { feed, failure });
}

/// How a feed continues after a call.
struct Continuation {
    /// Version to continue from; none to read the whole table again.
    since: Option<u64>,
    has_failed: bool,
}

impl Continuation {
    /// Sleeps until the next call and returns the version to continue from.
    async fn pause(self, interval: Duration) -> Option<u64> {
        sleep(if self.has_failed { RETRY_DELAY } else { interval }).await;
        self.since
    }
}
