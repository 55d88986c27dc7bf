//! Actor that executes the actions of this daemon's configuration replica.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use admin::error::Error;
use config::catalog::Catalog;
use config::change::Change;
use config::log::ENTRY_PREFIX;
use config::log::HEAD_KEY;
use config::replica::Action;
use config::replica::Input;
use config::replica::Replica;
use config::replica::Stream;
use config::replica::TICK_INTERVAL;
use config::replica::Ticket;
use config::replica::message;
use config::replica::message::Message;
use config::replica::snapshot::INTERVAL;
use config::replica::snapshot::POINTER_KEY;
use config::replica::snapshot::Pointer;
use config::replica::snapshot::Snapshot;
use config::replica::snapshot::object_name;
use gateway::server::Readiness;
use peer::transport::StreamId;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker::ret;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;
use store::client::Client;
use store::objects::Objects;
use store::table::ABSENT;
use store::table::Put;
use store::table::Table;
use store::table::Transaction;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::fleet::Fleet;
use crate::daemon::metrics;
use crate::daemon::placement::Placement;
use crate::daemon::worker::Worker;

/// Number of rows read by one scan.
const SCAN_ROWS: usize = 500;
/// Number of snapshots kept. Older ones are deleted.
const RETAINED_SNAPSHOTS: u64 = 2;

/// Actor around the configuration replica.
pub struct Configuration {
    replica: Replica,
    next_ticket: u64,
    pending_changes: HashMap<Ticket, Ret<Result<u64, Error>>>,
    readiness: Readiness,
    worker: Worker,
    dispatch: Actor<Dispatch>,
    fleet: Actor<Fleet>,
    placement: Actor<Placement>,
    inputs: Channel<Input>,
    _guard: ChannelGuard,
}

impl Configuration {
    /// Creates the actor with an empty catalog and starts reading the
    /// configuration from the platform.
    pub fn init(
        cx: CX![],
        token_seed: u64,
        readiness: Readiness,
        worker: Worker,
        dispatch: Actor<Dispatch>,
        fleet: Actor<Fleet>,
        placement: Actor<Placement>,
    ) -> Option<Configuration> {
        let forward = fwd_to!([cx], handle() as (Input));
        let (inputs, guard) = Channel::new(cx, forward);
        call!([cx], tick());
        Some(Configuration {
            replica: Replica::new(token_seed, cx.now()),
            next_ticket: 1,
            pending_changes: HashMap::new(),
            readiness,
            worker,
            dispatch,
            fleet,
            placement,
            inputs,
            _guard: guard,
        })
    }

    /// Commits an operator's change and returns its revision through `ret`.
    pub fn change(&mut self, cx: CX![], change: Change, ret: Ret<Result<u64, Error>>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.pending_changes.insert(ticket, ret);
        self.handle(cx, Input::Change(ticket, change));
    }

    /// Returns the catalog in force through `ret`.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Rc<Catalog>>) {
        ret!([ret], Rc::clone(self.replica.catalog()));
    }

    /// Handles a report that the peer at this address has this revision in force.
    pub fn peer_revision(&mut self, cx: CX![], revision: u64, peer: String) {
        self.handle(cx, Input::PeerRevision { revision, peer });
    }

    /// Handles a configuration message that a peer sent on this stream.
    pub fn received(&mut self, cx: CX![], stream: StreamId, text: String) {
        match message::decode(&text) {
            Ok(it) => self.handle(cx, Input::Received(Stream(stream.0), it)),
            Err(error) => spdlog::error!("malformed configuration message from a peer; \
                run the same version on all daemons", kv: { error = error.to_string() }),
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle(cx, Input::Tick);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn handle(&mut self, cx: CX![], input: Input) {
        let actions = self.replica.handle(cx.now(), input);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::ReadHead => self.call_platform(|client| Input::HeadRead(client.read(HEAD_KEY))),
            Action::ReadEntries(after) => self.call_platform(move |client| {
                Input::EntriesRead(client.scan(ENTRY_PREFIX, &after, SCAN_ROWS))
            }),
            Action::ReadSnapshot => {
                self.call_platform(|client| Input::SnapshotRead(read_snapshot(client)));
            }
            Action::Commit(token, transaction) => self
                .call_platform(move |client| Input::Committed(token, client.commit(&transaction))),
            Action::ReadEntry(token, key) => {
                self.call_platform(move |client| Input::EntryRead(token, client.read(&key)));
            }
            Action::SaveSnapshot(snapshot) => self.worker.queue(move |client| {
                if let Err(error) = save_snapshot(client, &snapshot) {
                    spdlog::warn!("failed to save a configuration snapshot", kv: {
                        revision = snapshot.pointer.revision,
                        error = error.to_string(),
                    });
                }
            }),
            Action::Complete(ticket, result) => self.complete(ticket, result),
            Action::Publish => self.publish(),
            Action::Ready(ready) => {
                spdlog::info!("configuration confirmed", kv: { ready = ready });
                self.readiness.set_configured(ready);
            }
            Action::Push(message, fanout) => {
                if let Some(text) = encode(&message) {
                    call!([self.fleet], push(text, fanout));
                }
            }
            Action::Query(peer, message) => {
                if let Some(text) = encode(&message) {
                    call!([self.fleet], query(peer, text));
                }
            }
            Action::Reply(Stream(stream), message) => {
                if let Some(text) = encode(&message) {
                    call!([self.fleet], reply(StreamId(stream), text));
                }
            }
            Action::Report(detail) => spdlog::error!("configuration", kv: { fault = detail }),
        }
    }

    /// Runs a blocking platform call on the worker and handles its result as an
    /// input of the replica.
    fn call_platform(&self, platform_call: impl FnOnce(&Client) -> Input + Send + 'static) {
        let inputs = self.inputs.clone();
        self.worker.queue(move |client| {
            inputs.send(platform_call(client));
        });
    }

    fn publish(&self) {
        let catalog = self.replica.catalog();
        spdlog::info!("configured", kv: { revision = catalog.revision });
        call!([self.dispatch], configured(Rc::clone(catalog)));
        call!([self.fleet], configured(catalog.revision));
        call!([self.placement], configured(Rc::clone(catalog)));
        metrics::set_revision(catalog.revision);
    }

    fn complete(&mut self, ticket: Ticket, result: Result<u64, config::Error>) {
        let Some(ret) = self.pending_changes.remove(&ticket) else { return };
        ret!([ret], result.map_err(Error::from));
    }
}

fn encode(message: &Message) -> Option<String> {
    message::encode(message).ok()
}

/// Reads the latest snapshot, or `None` if there is none.
fn read_snapshot(client: &Client) -> Result<Option<Snapshot>, store::Error> {
    let row = client.read(POINTER_KEY)?;
    if row.version == ABSENT {
        return Ok(None);
    }
    let pointer: Pointer = serde_json::from_str(&row.value).map_err(|error| {
        spdlog::error!("row of the latest snapshot is malformed; delete it", kv: {
            key = POINTER_KEY,
            error = error.to_string(),
        });
        store::Error::Malformed { detail: error.to_string() }
    })?;
    let content = client.get(&object_name(pointer.revision))?;
    Ok(content.map(|content| Snapshot { pointer, content }))
}

/// Writes a snapshot and its pointer row, then deletes the snapshot that has
/// become outdated.
fn save_snapshot(client: &Client, snapshot: &Snapshot) -> Result<(), store::Error> {
    let revision = snapshot.pointer.revision;
    client.put(&object_name(revision), &snapshot.content)?;
    let value = serde_json::to_string(&snapshot.pointer).unwrap_or_default();
    let put = Put { key: POINTER_KEY.to_owned(), value };
    client.commit(&Transaction { puts: vec![put], ..Transaction::default() })?;
    if let Some(outdated) = revision.checked_sub(RETAINED_SNAPSHOTS * INTERVAL) {
        client.delete(&object_name(outdated))?;
    }
    Ok(())
}
