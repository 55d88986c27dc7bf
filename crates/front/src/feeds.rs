//! Tasks that follow the store's tables.

use std::net::SocketAddr;
use std::time::Duration;

use platform::exchange::Client;
use platform::feed;
use platform::feed::Update;
use platform::rows;
use store::Error;
use store::table::Commit;
use store::table::Put;
use store::table::Transaction;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::event::Event;

/// Longest wait of a call for changes of endpoints, which write heartbeats more
/// often. A connection that has gone silent shows by the missing answer.
const ENDPOINTS_WAIT: Duration = Duration::from_millis(1_200);
/// Longest wait of a call for the configuration.
const CONFIG_WAIT: Duration = Duration::from_secs(4);
/// Least time between calls for endpoints: they write every 1.2 s each, and a
/// call at every write would be many. Within the 2 s in which a leaving one
/// must be known.
const ENDPOINTS_EVERY: Duration = Duration::from_millis(500);
/// Least time between calls for the configuration.
const CONFIG_EVERY: Duration = Duration::from_millis(100);
/// Time between calls for the daemons, which hear of each other by gossip.
const DAEMONS_EVERY: Duration = Duration::from_secs(12);
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(400);
/// Table of the daemons; one row each, its address as the key.
pub const DAEMONS: &str = "daemons";

/// Follows the operators' configuration while this daemon reads for others.
pub async fn config(
    store: SocketAddr,
    events: UnboundedSender<Event>,
    mut reads: watch::Receiver<bool>,
) {
    let mut client = Client::new(store);
    let mut since = None;
    loop {
        if wait_for_turn(&mut reads).await {
            since = None;
        }
        let result = match since {
            None => feed::read_config(&mut client).await.map(|(config, version)| Update::Changes {
                items: config.into_iter().collect(),
                version,
            }),
            Some(since) => feed::follow_config(&mut client, since, CONFIG_WAIT).await,
        };
        let next = follow(result, since, "config", &events, |items, _| {
            items.into_iter().map(Event::Config).collect()
        });
        since = next.pause(CONFIG_EVERY).await;
    }
}

/// Follows the endpoints' descriptions while this daemon reads for others.
pub async fn endpoints(
    store: SocketAddr,
    events: UnboundedSender<Event>,
    mut reads: watch::Receiver<bool>,
) {
    let mut client = Client::new(store);
    let mut since = None;
    loop {
        if wait_for_turn(&mut reads).await {
            since = None;
        }
        let Some(known) = since else {
            let result = feed::read_endpoints(&mut client).await;
            let news = result.map(|it| Update::Changes { version: it.version, items: vec![it] });
            let next = follow(news, since, "endpoints", &events, |items, _| {
                items.into_iter().map(Event::Roster).collect()
            });
            since = next.pause(ENDPOINTS_EVERY).await;
            continue;
        };
        let result = feed::follow_endpoints(&mut client, known, ENDPOINTS_WAIT).await;
        let next = follow(result, since, "endpoints", &events, |changes, version| {
            vec![Event::Endpoints { changes, version }]
        });
        since = next.pause(ENDPOINTS_EVERY).await;
    }
}

/// Enters this daemon and reads the others now and then.
pub async fn daemons(
    store: SocketAddr,
    own: SocketAddr,
    life: String,
    events: UnboundedSender<Event>,
    mut reads: watch::Receiver<bool>,
) {
    let mut client = Client::new(store);
    let key = format!("{DAEMONS}/{own}");
    let put = Put { key, value: life };
    let entry = Transaction { puts: vec![put], ..Transaction::default() };
    while let Err(error) = rows::commit(&mut client, &entry).await {
        tell(&events, "daemons", Some(error));
        sleep(FAILED_PAUSE).await;
    }
    loop {
        wait_for_turn(&mut reads).await;
        let pause = match rows::scan(&mut client, DAEMONS).await {
            Ok((rows, _)) => {
                let _ = events.send(Event::Daemons(rows));
                DAEMONS_EVERY
            }
            Err(error) => {
                tell(&events, "daemons", Some(error));
                FAILED_PAUSE
            }
        };
        sleep(pause).await;
    }
}

/// Reads the secret that daemons share, or makes it.
pub async fn secret(store: SocketAddr, fresh: String) -> String {
    let mut client = Client::new(store);
    let key = "secrets/peers";
    loop {
        match read_or_make(&mut client, key, &fresh).await {
            Ok(secret) => return secret,
            Err(error) => {
                spdlog::warn!("secret of the daemons not read", kv: { cause = error.to_string() });
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

async fn read_or_make(client: &mut Client, key: &str, fresh: &str) -> Result<String, Error> {
    let row = rows::read(client, key).await?;
    if !row.value.is_empty() {
        return Ok(row.value);
    }
    let made = Transaction {
        checks: vec![store::table::Check { key: key.to_owned(), version: row.version }],
        puts: vec![Put { key: key.to_owned(), value: fresh.to_owned() }],
        deletes: Vec::new(),
    };
    match rows::commit(client, &made).await? {
        Commit::Done { .. } => Ok(fresh.to_owned()),
        Commit::Conflict { .. } => Ok(rows::read(client, key).await?.value),
    }
}

/// Waits until this daemon reads; gives whether it did not before.
async fn wait_for_turn(reads: &mut watch::Receiver<bool>) -> bool {
    if *reads.borrow() {
        return false;
    }
    // Without a sender the daemon is about to end.
    let _ = reads.wait_for(|it| *it).await;
    true
}

/// Tells what came; gives the version to go on from, or none to read anew.
fn follow<T>(
    result: Result<Update<T>, Error>,
    since: Option<u64>,
    name: &'static str,
    events: &UnboundedSender<Event>,
    event: impl FnOnce(Vec<T>, u64) -> Vec<Event>,
) -> Next {
    match result {
        Ok(Update::Changes { items, version }) => {
            tell(events, name, None);
            for event in event(items, version) {
                let _ = events.send(event);
            }
            Next { since: Some(version.max(since.unwrap_or(0))), has_failed: false }
        }
        Ok(Update::Expired) => {
            spdlog::warn!("store has dropped its history", kv: { feed = name });
            Next { since: None, has_failed: false }
        }
        Err(error) => {
            tell(events, name, Some(error));
            Next { since, has_failed: true }
        }
    }
}

fn tell(events: &UnboundedSender<Event>, feed: &'static str, failure: Option<Error>) {
    let _ = events.send(Event::Store { feed, failure });
}

/// Where a feed goes on.
struct Next {
    /// Version to go on from; none to read anew.
    since: Option<u64>,
    has_failed: bool,
}

impl Next {
    async fn pause(self, least: Duration) -> Option<u64> {
        sleep(if self.has_failed { FAILED_PAUSE } else { least }).await;
        self.since
    }
}
