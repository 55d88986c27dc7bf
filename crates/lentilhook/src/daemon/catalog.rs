//! Actor that carries out the actions of this daemon's replica of the
//! configuration.

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
use config::replica::ReplyTo;
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

/// Rows read by one scan.
const SCAN_ROWS: usize = 500;
/// Snapshots that are kept.
const SNAPSHOTS_KEPT: u64 = 2;

/// The configuration.
pub struct Configuration {
    replica: Replica,
    next_ticket: u64,
    operators: HashMap<Ticket, Ret<Result<u64, Error>>>,
    readiness: Readiness,
    worker: Worker,
    dispatch: Actor<Dispatch>,
    fleet: Actor<Fleet>,
    placement: Actor<Placement>,
    answers: Channel<Input>,
    _guard: ChannelGuard,
}

impl Configuration {
    /// Starts with nothing in force and reads the platform.
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
        let (answers, guard) = Channel::new(cx, forward);
        call!([cx], tick());
        Some(Configuration {
            replica: Replica::new(token_seed, cx.now()),
            next_ticket: 1,
            operators: HashMap::new(),
            readiness,
            worker,
            dispatch,
            fleet,
            placement,
            answers,
            _guard: guard,
        })
    }

    /// Puts an operator's change in force; answers with its revision.
    pub fn change(&mut self, cx: CX![], change: Change, ret: Ret<Result<u64, Error>>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.operators.insert(ticket, ret);
        self.handle(cx, Input::Change(ticket, change));
    }

    /// Gives the catalog in force.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Rc<Catalog>>) {
        ret!([ret], Rc::clone(self.replica.catalog()));
    }

    /// The peer at this address has this revision in force.
    pub fn heard_of(&mut self, cx: CX![], revision: u64, peer: String) {
        self.handle(cx, Input::PeerRevision { revision, peer });
    }

    /// A peer sent a message of the configuration on this stream.
    pub fn received(&mut self, cx: CX![], stream: StreamId, text: String) {
        match message::decode(&text) {
            Ok(it) => self.handle(cx, Input::Received(ReplyTo(stream.0), it)),
            Err(error) => spdlog::error!("peer's message on the configuration is malformed; \
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
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::ReadHead => self.ask_table(|client| Input::HeadRead(client.read(HEAD_KEY))),
            Action::ReadEntries(after) => self.ask_table(move |client| {
                Input::EntriesRead(client.scan(ENTRY_PREFIX, &after, SCAN_ROWS))
            }),
            Action::ReadSnapshot => {
                self.ask_table(|client| Input::SnapshotRead(read_snapshot(client)));
            }
            Action::Commit(token, transaction) => {
                self.ask_table(move |client| Input::Committed(token, client.commit(&transaction)))
            }
            Action::ReadEntry(token, key) => {
                self.ask_table(move |client| Input::EntryRead(token, client.read(&key)));
            }
            Action::SaveSnapshot(snapshot) => self.worker.queue(move |client| {
                if let Err(error) = save_snapshot(client, &snapshot) {
                    spdlog::warn!("snapshot of the configuration not saved", kv: {
                        revision = snapshot.pointer.revision,
                        error = error.to_string(),
                    });
                }
            }),
            Action::Complete(ticket, result) => self.tell(ticket, result),
            Action::Publish => self.publish(),
            Action::Ready(ready) => {
                spdlog::info!("configuration confirmed", kv: { ready = ready });
                self.readiness.set_configured(ready);
            }
            Action::Push(message, fanout) => {
                if let Some(text) = encode(&message) {
                    call!([self.fleet], spread(text, fanout));
                }
            }
            Action::Query(peer, message) => {
                if let Some(text) = encode(&message) {
                    call!([self.fleet], ask(peer, text));
                }
            }
            Action::Reply(ReplyTo(stream), message) => {
                if let Some(text) = encode(&message) {
                    call!([self.fleet], reply(StreamId(stream), text));
                }
            }
            Action::Report(detail) => spdlog::error!("configuration", kv: { fault = detail }),
        }
    }

    fn ask_table(&self, read: impl FnOnce(&Client) -> Input + Send + 'static) {
        let answers = self.answers.clone();
        self.worker.queue(move |client| {
            answers.send(read(client));
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

    fn tell(&mut self, ticket: Ticket, result: Result<u64, config::Error>) {
        let Some(ret) = self.operators.remove(&ticket) else { return };
        ret!([ret], result.map_err(Error::from));
    }
}

fn encode(message: &Message) -> Option<String> {
    message::encode(message).ok()
}

fn read_snapshot(client: &Client) -> Result<Option<Snapshot>, store::Error> {
    let row = client.read(POINTER_KEY)?;
    if row.version == ABSENT {
        return Ok(None);
    }
    let pointer: Pointer = serde_json::from_str(&row.value).map_err(|error| {
        spdlog::error!("row of the newest snapshot is malformed; remove it", kv: {
            key = POINTER_KEY,
            error = error.to_string(),
        });
        store::Error::Malformed { detail: error.to_string() }
    })?;
    let content = client.get(&object_name(pointer.revision))?;
    Ok(content.map(|content| Snapshot { pointer, content }))
}

fn save_snapshot(client: &Client, snapshot: &Snapshot) -> Result<(), store::Error> {
    let revision = snapshot.pointer.revision;
    client.put(&object_name(revision), &snapshot.content)?;
    let value = serde_json::to_string(&snapshot.pointer).unwrap_or_default();
    let put = Put { key: POINTER_KEY.to_owned(), value };
    client.commit(&Transaction { puts: vec![put], ..Transaction::default() })?;
    if let Some(outdated) = revision.checked_sub(SNAPSHOTS_KEPT * INTERVAL) {
        client.delete(&object_name(outdated))?;
    }
    Ok(())
}
