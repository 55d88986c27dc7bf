//! Actor that carries out the actions of the ledger's shards.

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

/// Time between two ticks of the shards that are in use.
const TICK: Duration = Duration::from_millis(500);
/// Pause before a commit without answer is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// Longest time to give leases up at a shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two looks at whether leases are given up.
const RELEASE_POLL: Duration = Duration::from_millis(20);
/// Rows read by one scan.
const SCAN_ROWS: usize = 1000;

/// The shards that this daemon has to do with.
pub struct Shards {
    me: identity::Identity,
    chart: Rc<Chart>,
    shards: HashMap<ShardId, Shard>,
    worker: Worker,
    dispatch: Actor<Dispatch>,
    results: Channel<Answer>,
    _guard: ChannelGuard,
}

/// A platform answer for a shard.
struct Answer {
    shard: ShardId,
    input: Input,
}

impl Shards {
    /// Starts with no shard.
    pub fn init(
        cx: CX![],
        me: identity::Identity,
        chart: Chart,
        worker: Worker,
        dispatch: Actor<Dispatch>,
    ) -> Option<Shards> {
        let forward = fwd_to!([cx], answered() as (Answer));
        let (results, guard) = Channel::new(cx, forward);
        after!(TICK, [cx], tick());
        let shards = HashMap::new();
        let chart = Rc::new(chart);
        Some(Shards { me, chart, shards, worker, dispatch, results, _guard: guard })
    }

    /// Asks whether a call may leave; the verdict goes to the dispatcher.
    pub fn begin(&mut self, cx: CX![], ticket: Ticket, claim: Claim) {
        let shard = claim.identity.shard();
        self.handle(cx, shard, Input::Begin(ticket, claim));
    }

    /// Forgets a call that was turned away before the ledger decided.
    pub fn withdraw(&mut self, cx: CX![], ticket: Ticket, identity: Identity) {
        let shard = identity.shard();
        self.handle(cx, shard, Input::Withdraw(ticket));
    }

    /// Records the end of a call that was granted.
    pub fn end(&mut self, cx: CX![], identity: Identity, step: Step) {
        let shard = identity.shard();
        self.handle(cx, shard, Input::End(identity, step));
    }

    /// Gives all leases up and answers then. A lease that can't be given up in
    /// time lapses.
    pub fn release(&mut self, cx: CX![], ret: Ret<()>) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            self.handle(cx, id, Input::Release);
        }
        let deadline = cx.now() + RELEASE_TIMEOUT;
        self.answer_when_released(cx, deadline, ret);
    }

    /// Gives the shards that this daemon has to do with.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Vec<Lease>>) {
        let leases = self.shards.iter().map(|(id, it)| Lease { shard: id.0, held: it.is_held() });
        let mut leases: Vec<Lease> = leases.collect();
        leases.sort_by_key(|it| it.shard);
        ret!([ret], leases);
    }

    fn answer_when_released(&mut self, cx: CX![], deadline: Instant, ret: Ret<()>) {
        let held = self.shards.values().any(Shard::is_held);
        if !held || cx.now() >= deadline {
            ret!([ret]);
            return;
        }
        after!(RELEASE_POLL, [cx], answer_when_released(deadline, ret));
    }

    fn answered(&mut self, cx: CX![], result: Answer) {
        if unanswered(&result.input) {
            let _ = after!(RESEND_PAUSE, [cx], deliver(result));
            return;
        }
        self.deliver(cx, result);
    }

    fn deliver(&mut self, cx: CX![], result: Answer) {
        self.handle(cx, result.shard, result.input);
    }

    fn tick(&mut self, cx: CX![]) {
        metrics::set_leases(self.shards.values().filter(|it| it.is_held()).count());
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            self.handle(cx, id, Input::Tick);
        }
        after!(TICK, [cx], tick());
    }

    fn handle(&mut self, cx: CX![], id: ShardId, input: Input) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Timestamp { instant: cx.now(), wall_s: since_epoch.as_secs() };
        let (me, chart) = (&self.me, &self.chart);
        let shard = self.shards.entry(id).or_insert_with(|| {
            // Tokens of other daemons and incarnations must not collide with these.
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
            self.carry_out(cx, id, action);
        }
    }

    fn wake(&mut self, cx: CX![], id: ShardId) {
        self.handle(cx, id, Input::Tick);
    }

    fn carry_out(&self, cx: CX![], shard: ShardId, action: Action) {
        let results = self.results.clone();
        let tell = move |input: Input| {
            results.send(Answer { shard, input });
        };
        match action {
            Action::Reply(ticket, verdict) => {
                call!([self.dispatch], ruled(ticket, verdict));
            }
            Action::ReadHead(key) => {
                self.worker.queue(move |client| tell(Input::HeadRead(client.read(&key))));
            }
            Action::ReadBatches(prefix) => {
                let read = move |client: &Client| scan_all(client, &prefix);
                self.worker.queue(move |client| tell(Input::BatchesRead(read(client))));
            }
            Action::ReadSnapshot(name) => {
                self.worker.queue(move |client| tell(Input::SnapshotRead(client.get(&name))));
            }
            Action::Commit(transaction) => {
                let commit = move |client: &Client| client.commit(&transaction);
                self.worker.queue(move |client| tell(Input::Committed(commit(client))));
            }
            Action::WriteSnapshot { name, content } => {
                self.worker.queue(move |client| {
                    let written = client.put(&name, &content);
                    tell(Input::SnapshotWritten(name, written));
                });
            }
            Action::DeleteSnapshot(name) => {
                // One that stays is an object too many and does no harm.
                self.worker.queue(move |client| drop(client.delete(&name)));
            }
            Action::ScheduleTick(after) => {
                after!(after, [cx], wake(shard));
            }
            Action::Report(error) => {
                spdlog::error!("shard refused", kv: {
                    shard = shard.0,
                    error = error.to_string(),
                });
            }
        }
    }
}

fn unanswered(input: &Input) -> bool {
    matches!(input, Input::Committed(Err(_)))
}

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
