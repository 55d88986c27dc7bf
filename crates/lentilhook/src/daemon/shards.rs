//! Actor that executes the actions of the ledger's shards.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use admin::generated::Lease;
use ledger::lifecycle::Chart;
use ledger::message::Action;
use ledger::message::Input;
use ledger::message::Ticket;
use ledger::message::Timestamp;
use ledger::record::Claim;
use ledger::record::Identity;
use ledger::record::ShardId;
use ledger::record::Step;
use ledger::shard::Shard;
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
use store::table::Row;
use store::table::Table;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::identity;
use crate::daemon::metrics;
use crate::daemon::worker::Worker;

/// Interval between ticks of the shards in use.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a shard is informed of a failed commit, after which it sends the
/// commit again.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout for releasing the leases at a shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks whether all leases are released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of rows read by one scan.
const SCAN_ROWS: usize = 1000;

/// The ledger's shards that are in use on this daemon.
pub struct Shards {
    me: identity::Identity,
    chart: Rc<Chart>,
    shards: HashMap<ShardId, Shard>,
    worker: Worker,
    dispatch: Actor<Dispatch>,
    responses: Channel<Response>,
    _guard: ChannelGuard,
}

/// Result of a platform call for a shard.
struct Response {
    shard: ShardId,
    input: Input,
}

impl Shards {
    /// Creates the actor without any shard.
    pub fn init(
        cx: CX![],
        me: identity::Identity,
        chart: Chart,
        worker: Worker,
        dispatch: Actor<Dispatch>,
    ) -> Option<Shards> {
        let forward = fwd_to!([cx], handle_response() as (Response));
        let (responses, guard) = Channel::new(cx, forward);
        after!(TICK_INTERVAL, [cx], tick());
        let shards = HashMap::new();
        let chart = Rc::new(chart);
        Some(Shards { me, chart, shards, worker, dispatch, responses, _guard: guard })
    }

    /// Requests permission to send a call. The verdict goes to the dispatcher.
    pub fn begin(&mut self, cx: CX![], ticket: Ticket, claim: Claim) {
        let shard = claim.identity.shard();
        self.handle(cx, shard, Input::Begin(ticket, claim));
    }

    /// Withdraws a call that was rejected before the ledger reached a verdict.
    pub fn withdraw(&mut self, cx: CX![], ticket: Ticket, identity: Identity) {
        let shard = identity.shard();
        self.handle(cx, shard, Input::Withdraw(ticket));
    }

    /// Records the end of a granted call.
    pub fn end(&mut self, cx: CX![], identity: Identity, step: Step) {
        let shard = identity.shard();
        self.handle(cx, shard, Input::End(identity, step));
    }

    /// Releases all leases and completes `ret` afterwards, or once `RELEASE_TIMEOUT`
    /// has passed. A lease that can't be released in time expires.
    pub fn release(&mut self, cx: CX![], ret: Ret<()>) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            self.handle(cx, id, Input::Release);
        }
        let deadline = cx.now() + RELEASE_TIMEOUT;
        self.await_release(cx, deadline, ret);
    }

    /// Returns the shards in use and whether this daemon holds their leases.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Vec<Lease>>) {
        let leases = self.shards.iter().map(|(id, it)| Lease { shard: id.0, held: it.is_held() });
        let mut leases: Vec<Lease> = leases.collect();
        leases.sort_by_key(|it| it.shard);
        ret!([ret], leases);
    }

    fn await_release(&mut self, cx: CX![], deadline: Instant, ret: Ret<()>) {
        let is_any_held = self.shards.values().any(Shard::is_held);
        if !is_any_held || cx.now() >= deadline {
            ret!([ret]);
            return;
        }
        after!(RELEASE_POLL_INTERVAL, [cx], await_release(deadline, ret));
    }

    fn handle_response(&mut self, cx: CX![], response: Response) {
        if is_failed_commit(&response.input) {
            let _ = after!(COMMIT_RETRY_DELAY, [cx], deliver(response));
            return;
        }
        self.deliver(cx, response);
    }

    fn deliver(&mut self, cx: CX![], response: Response) {
        self.handle(cx, response.shard, response.input);
    }

    fn tick(&mut self, cx: CX![]) {
        metrics::set_leases(self.shards.values().filter(|it| it.is_held()).count());
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            self.handle(cx, id, Input::Tick);
        }
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn handle(&mut self, cx: CX![], id: ShardId, input: Input) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Timestamp { instant: cx.now(), wall_s: since_epoch.as_secs() };
        let (me, chart) = (&self.me, &self.chart);
        let shard = self.shards.entry(id).or_insert_with(|| {
            // Seeds the shard's tokens: they must not collide with those of other
            // daemons and incarnations.
            let name = format!("{}/{}/{}", me.daemon, me.incarnation, id.0);
            let seed = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
            Shard::new(id, me.holder(), seed, Rc::clone(chart))
        });
        let was_held = shard.is_held();
        let actions = shard.handle(now, input);
        if shard.is_held() != was_held {
            spdlog::info!("lease", kv: {
                shard = id.0,
                held = shard.is_held(),
                fence = shard.fence().unwrap_or(0),
            });
        }
        for action in actions {
            self.execute(cx, id, action);
        }
    }

    fn tick_shard(&mut self, cx: CX![], id: ShardId) {
        self.handle(cx, id, Input::Tick);
    }

    fn execute(&self, cx: CX![], shard: ShardId, action: Action) {
        let responses = self.responses.clone();
        let respond = move |input: Input| {
            responses.send(Response { shard, input });
        };
        match action {
            Action::Reply(ticket, verdict) => {
                call!([self.dispatch], verdict_received(ticket, verdict));
            }
            Action::ReadHead(key) => {
                self.worker.queue(move |client| respond(Input::HeadRead(client.read(&key))));
            }
            Action::ReadBatches(prefix) => {
                let read = move |client: &Client| scan_all(client, &prefix);
                self.worker.queue(move |client| respond(Input::BatchesRead(read(client))));
            }
            Action::ReadSnapshot(name) => {
                self.worker.queue(move |client| respond(Input::SnapshotRead(client.get(&name))));
            }
            Action::Commit(transaction) => {
                let commit = move |client: &Client| client.commit(&transaction);
                self.worker.queue(move |client| respond(Input::Committed(commit(client))));
            }
            Action::WriteSnapshot { name, content } => {
                self.worker.queue(move |client| {
                    let written = client.put(&name, &content);
                    respond(Input::SnapshotWritten(name, written));
                });
            }
            Action::DeleteSnapshot(name) => {
                // If this fails, an unused object remains, which does no harm.
                self.worker.queue(move |client| drop(client.delete(&name)));
            }
            Action::ScheduleTick(after) => {
                after!(after, [cx], tick_shard(shard));
            }
            Action::Report(error) => {
                spdlog::error!("shard is unusable", kv: {
                    shard = shard.0,
                    error = error.to_string(),
                });
            }
        }
    }
}

fn is_failed_commit(input: &Input) -> bool {
    matches!(input, Input::Committed(Err(_)))
}

/// Reads all rows with this key prefix, one page after the other.
fn scan_all(table: &impl Table, prefix: &str) -> Result<Vec<Row>, store::Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        let page = table.scan(prefix, &after, SCAN_ROWS)?;
        let complete = page.len() < SCAN_ROWS;
        rows.extend(page);
        if complete {
            return Ok(rows);
        }
    }
}
