//! Actor that accepts calls, routes them to an endpoint or another daemon, and relays
//! the replies.

mod admission;
mod attempts;
mod check;
mod fingerprints;
mod handover;
mod job;
mod lifecycle;
mod load;
mod lookup;
mod problems;
mod recorded;
pub mod recovery;
mod relays;
mod routing;
mod waiting;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ::job::call::Body;
use ::job::call::Call;
use ::job::problem::Problem;
use ::job::reply::Reply;
use balance::suspects::Suspects;
use config::catalog::Catalog;
use config::object::Service;
use endpoint::attempt::AttemptId;
use gateway::arrival::Arrival;
use gateway::arrival::ArrivalId;
use gateway::arrival::Content;
use ledger::message::Ticket;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use peer::transport::Event;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Forward;
use peer::wire::Frame;
use policy::route::Mode;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker::ret;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;

use self::admission::Admission;
use self::fingerprints::Crash;
use self::handover::Pending;
use self::job::Job;
use self::job::JobId;
use self::job::Sink;
use self::job::Stage;
use self::job::Waiter;
use self::load::Poller;
use self::load::Response;
use self::lookup::Lookup;
use self::recorded::Counters;
use self::recorded::Retry;
use self::recorded::ledger_identity;
use self::recovery::Recovery;
use self::relays::Relay;
use self::routing::Routing;
use crate::daemon::identity;
use crate::daemon::lifecycle::request;
use crate::daemon::lifecycle::request::Chart;
use crate::daemon::shards::Shards;

/// Maximum wait for the ledger's verdict on a call. The call is rejected afterwards.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an ended job with a key is retained for callers that repeat the request.
const ENDED_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of times that a call is forwarded between daemons.
const MAX_HOPS: u8 = 2;
/// Interval at which a draining daemon checks whether it is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The actor's state: all calls that are open on this daemon.
pub struct Dispatch {
    me: identity::Identity,
    chart: Chart,
    transport: Transport,
    shards: Actor<Shards>,
    events: Channel<Update>,
    _guard: ChannelGuard,
    catalog: Rc<Catalog>,
    daemons: BTreeMap<String, Vm>,
    endpoints: BTreeMap<String, Target>,
    jobs: HashMap<JobId, Job>,
    by_identity: HashMap<String, JobId>,
    by_attempt: HashMap<AttemptId, JobId>,
    relays: HashMap<StreamId, Relay>,
    recovery: Recovery,
    suspects: Suspects,
    /// Latest crash of each endpoint.
    crashes: BTreeMap<String, Crash>,
    is_round_scheduled: bool,
    lookups: HashMap<StreamId, Lookup>,
    handovers: HashMap<StreamId, Pending>,
    routing: Routing,
    admission: Admission,
    poller: Poller,
    _poll_guard: ChannelGuard,
    last_number: u64,
    draining: bool,
    counters: Counters,
    retries: Channel<Retry>,
    _retries_guard: ChannelGuard,
    pending_retries: usize,
}

/// An endpoint and the number of attempts that this daemon has open there.
struct Target {
    vm: Vm,
    in_flight: u32,
}

/// An event of an attempt at an endpoint.
struct Update {
    attempt: AttemptId,
    event: endpoint::attempt::Event,
}

impl Dispatch {
    /// Creates the actor without calls and starts polling the endpoints' load.
    pub fn init(
        cx: CX![],
        me: identity::Identity,
        chart: Chart,
        transport: Transport,
        shards: Actor<Shards>,
        mode: Mode,
    ) -> Option<Dispatch> {
        let forward = fwd_to!([cx], attempt_event() as (Update));
        let (events, guard) = Channel::new(cx, forward);
        let retry = fwd_to!([cx], retry_call() as (Retry));
        let (retries, retries_guard) = Channel::new(cx, retry);
        let forward_response = fwd_to!([cx], handle_poll_response() as (Response));
        let (poll_responses, poll_guard) = Channel::new(cx, forward_response);
        call!([cx], poll_next());
        Some(Dispatch {
            me,
            chart,
            transport,
            shards,
            events,
            _guard: guard,
            catalog: Rc::default(),
            daemons: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            jobs: HashMap::new(),
            by_identity: HashMap::new(),
            by_attempt: HashMap::new(),
            relays: HashMap::new(),
            recovery: Recovery::new(cx),
            suspects: Suspects::new(fingerprints::REQUEST_LIMIT),
            crashes: BTreeMap::new(),
            is_round_scheduled: false,
            lookups: HashMap::new(),
            handovers: HashMap::new(),
            routing: Routing::new(mode, cx.now()),
            admission: Admission::new(cx.now()),
            poller: Poller::start(poll_responses, cx.now()),
            _poll_guard: poll_guard,
            last_number: 4,
            draining: false,
            counters: Counters::default(),
            retries,
            _retries_guard: retries_guard,
            pending_retries: 0,
        })
    }

    /// Applies a new configuration.
    pub fn configured(&mut self, _cx: CX![], catalog: Rc<Catalog>) {
        self.catalog = catalog;
    }

    /// Handles a state change of a VM.
    pub fn vm_changed(&mut self, cx: CX![], vm: Vm) {
        match vm.role {
            Role::Daemon => {
                let is_live = |it: &Vm| it.state == State::Live && it.incarnation == vm.incarnation;
                let was_live = self.daemons.get(&vm.id).is_some_and(is_live);
                if is_live(&vm) && !was_live {
                    self.report_suspects(cx, &vm);
                }
                self.daemons.insert(vm.id.clone(), vm);
            }
            Role::Endpoint => {
                self.routing.vm_changed(&vm);
                let in_flight = self.endpoints.get(&vm.id).map_or(0, |it| it.in_flight);
                self.endpoints.insert(vm.id.clone(), Target { vm: vm.clone(), in_flight });
                self.endpoint_changed(cx, &vm);
            }
        }
    }

    /// Handles a caller's request.
    pub fn arrived(&mut self, cx: CX![], arrival: Arrival) {
        if arrival.content == Content::Job {
            self.look_up(arrival);
            return;
        }
        let validated = check::check(&self.catalog, &arrival);
        let sink = Sink::Gateway { id: arrival.id, replies: arrival.replies };
        match validated {
            Ok(validated) => self.dispatch_call(cx, validated.call, validated.service, sink, 0),
            Err(problem) => sink.send(&self.transport, Reply::Problem(problem)),
        }
    }

    /// Handles a caller's disconnect before its reply was complete.
    pub fn disconnected(&mut self, cx: CX![], arrival: ArrivalId) {
        let is_disconnected =
            |sink: &Sink| matches!(sink.underlying(), Sink::Gateway { id, .. } if *id == arrival);
        self.drop_relays(is_disconnected);
        self.remove_waiters(cx, is_disconnected);
    }

    /// Handles a transport event on one of this actor's streams.
    pub fn peer_event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Frame { stream, frame: Frame::Forward(forward) } => {
                self.forwarded(cx, stream, *forward);
            }
            Event::Frame { stream, frame: Frame::Lookup(identity) } => {
                self.report_job(&identity, Sink::Peer(stream));
            }
            Event::Frame { stream, frame: Frame::Reply(reply) } => {
                if self.lookup_reply(stream, &reply) {
                    return;
                }
                self.relay_reply(cx, stream, reply);
            }
            Event::Frame { stream, frame: Frame::Suspects(reports) } => {
                self.merge_suspects(cx, stream, &reports);
            }
            Event::Frame { stream, frame: Frame::Handover(handover) } => {
                self.receive_handover(cx, stream, *handover);
            }
            Event::Frame { stream, frame: Frame::HandoverAccepted } => {
                self.handover_accepted(cx, stream);
            }
            Event::Frame { .. } | Event::Accepted { .. } | Event::Skipped { .. } => {}
            Event::Finished { stream } | Event::Failed { stream, .. }
                if self.lookups.contains_key(&stream) =>
            {
                self.lookup_failed(stream);
            }
            Event::Finished { stream } => {
                // A successor that closes the stream without a confirmation has not
                // accepted the copy.
                self.handover_failed(cx, stream);
                self.relay_ended(cx, stream, true);
            }
            Event::Failed { stream, sent, .. } => {
                self.handover_failed(cx, stream);
                self.relay_ended(cx, stream, sent);
                self.remove_waiters(
                    cx,
                    |sink| matches!(sink.underlying(), Sink::Peer(it) if *it == stream),
                );
            }
        }
    }

    /// Stops accepting work after `delay` and completes `ret` once no call is open.
    pub fn drain_after(&mut self, cx: CX![], delay: Duration, ret: Ret<()>) {
        after!(delay, [cx], drain(ret));
    }

    fn drain(&mut self, cx: CX![], ret: Ret<()>) {
        if !self.draining {
            self.draining = true;
            let open = self.open_count();
            spdlog::info!("draining", kv: { open = open });
        }
        if self.open_count() == 0 {
            self.hand_over_retained();
        }
        if self.open_count() == 0 {
            ret!([ret]);
            return;
        }
        after!(DRAIN_POLL_INTERVAL, [cx], drain(ret));
    }

    /// Returns the number of open calls through `ret`.
    pub fn count_open(&mut self, _cx: CX![], ret: Ret<usize>) {
        ret!([ret], self.open_count());
    }

    fn open_count(&self) -> usize {
        let is_retained = |it: &&Job| matches!(it.stage, Stage::Ended(_) | Stage::Standby);
        let retained = self.jobs.values().filter(is_retained).count();
        self.jobs.len() - retained + self.relays.len() + self.handovers.len() + self.pending_retries
    }

    fn forwarded(&mut self, cx: CX![], stream: StreamId, forward: Forward) {
        let sink = Sink::Peer(stream);
        let Some(service) = self.catalog.service(&forward.call.service).cloned() else {
            let problem = Problem::not_run(404, "unknown service", "call again in a few seconds");
            sink.send(&self.transport, Reply::Problem(problem.retry_after(2)));
            return;
        };
        self.dispatch_call(cx, forward.call, service, sink, forward.hops);
    }

    /// Forwards a call to the daemon that owns its key, or serves it here.
    fn dispatch_call(&mut self, cx: CX![], call: Call, service: Service, sink: Sink, hops: u8) {
        if let Some(identity) = call.identity() {
            if let Some(id) = self.by_identity.get(&identity).copied() {
                self.join(cx, id, &call, sink);
                return;
            }
            let owner = self.owner(&call, &identity);
            if hops == 0
                && let Some(owner) = owner
                && owner.id != self.me.daemon
            {
                self.relay(cx, owner, call, service, sink, hops);
                return;
            }
        }
        if self.draining && matches!(sink, Sink::Gateway { .. }) {
            sink.send(&self.transport, Reply::Problem(problems::draining()));
            return;
        }
        self.serve(cx, call, service, sink);
    }

    /// Returns the live daemon that owns a key.
    fn owner(&self, call: &Call, identity: &str) -> Option<Vm> {
        let name = match ledger_identity(call) {
            Some(recorded) => format!("shard/{}", recorded.shard().0),
            None => identity.to_owned(),
        };
        let live = self.daemons.values().filter(|vm| vm.state == State::Live);
        let id = policy::ring::owner(&name, live.map(|vm| vm.id.as_str()))?;
        self.daemons.get(id).cloned()
    }

    fn join(&mut self, cx: CX![], id: JobId, call: &Call, sink: Sink) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !same_request(&job.call, call) {
            sink.send(&self.transport, Reply::Problem(problems::key_reused()));
            return;
        }
        let next_index = match &call.body {
            Body::Chat(chat) => chat.from_index,
            Body::Plain(_) => 0,
        };
        let mut waiter = Waiter { sink, next_index };
        waiter.catch_up(&self.transport, &job.progress);
        match &job.stage {
            Stage::Ended(reply) => waiter.sink.send(&self.transport, reply.clone()),
            Stage::Standby => {
                job.waiters.push(waiter);
                self.attempt(cx, id);
            }
            _ => job.waiters.push(waiter),
        }
    }

    fn serve(&mut self, cx: CX![], call: Call, service: Service, sink: Sink) {
        let id = JobId(self.next_number());
        let identity = call.identity();
        let recorded = recorded::claim(&call);
        let next_index = match &call.body {
            Body::Chat(chat) => chat.from_index,
            Body::Plain(_) => 0,
        };
        let mut job = Job::new(call, service, cx.now());
        job.waiters.push(Waiter { sink, next_index });
        job.state = self.chart.initial();
        self.jobs.insert(id, job);
        self.advance(id, request::Event::Admitted);
        if let Some(identity) = identity {
            self.by_identity.insert(identity, id);
        }
        match recorded {
            Some(claim) => {
                call!([self.shards], begin(Ticket(id.0), claim));
                after!(RECORD_TIMEOUT, [cx], record_timed_out(id));
            }
            None => self.admit(cx, id),
        }
    }

    /// Ends a job. A job with a key is retained for callers that repeat the request.
    fn end(&mut self, cx: CX![], id: JobId, reply: Reply) {
        let Some(job) = self.jobs.get(&id) else { return };
        let reply = problems::checked(&job.call, reply);
        self.advance_to_final(id, &reply);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let is_retained = job.call.key.is_some();
        job.stage = Stage::Ended(reply.clone());
        for waiter in job.waiters.drain(..) {
            waiter.sink.send(&self.transport, reply.clone());
        }
        if is_retained {
            after!(ENDED_RETENTION, [cx], remove_ended(id));
        } else {
            self.remove_job(id);
        }
    }

    /// Ends a job that was not run and removes it, so that its key can be used for a
    /// retry.
    fn end_and_remove(&mut self, id: JobId, reply: Reply) {
        self.advance_to_final(id, &reply);
        if let Some(job) = self.jobs.get_mut(&id) {
            for waiter in job.waiters.drain(..) {
                waiter.sink.send(&self.transport, reply.clone());
            }
        }
        self.remove_job(id);
    }

    fn remove_ended(&mut self, _cx: CX![], id: JobId) {
        self.remove_job(id);
    }

    fn remove_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        if let Some(identity) = job.call.identity()
            && self.by_identity.get(&identity) == Some(&id)
        {
            self.by_identity.remove(&identity);
        }
    }

    /// Removes disconnected waiters. An idempotent job without a key is cancelled with
    /// its last waiter.
    fn remove_waiters(&mut self, cx: CX![], is_disconnected: impl Fn(&Sink) -> bool) {
        let mut abandoned = Vec::new();
        for (id, job) in &mut self.jobs {
            let before = job.waiters.len();
            job.waiters.retain(|waiter| !is_disconnected(&waiter.sink));
            let emptied = before > 0 && job.waiters.is_empty();
            if emptied && job.call.key.is_none() && !job.call.is_non_idempotent() {
                abandoned.push(*id);
            }
        }
        for id in abandoned {
            self.cancel(cx, id);
        }
    }

    fn next_number(&mut self) -> u64 {
        // Job, attempt and stream identifiers share this sequence. Multiples of four
        // differ from the stream identifiers of the fleet actor.
        self.last_number += 4;
        self.last_number
    }
}

/// Whether a repeated call has the same content as the first one.
fn same_request(first: &Call, repeated: &Call) -> bool {
    match (&first.body, &repeated.body) {
        (Body::Chat(one), Body::Chat(other)) => {
            one.messages == other.messages && one.max_tokens == other.max_tokens
        }
        (Body::Plain(one), Body::Plain(other)) => {
            one.method == other.method && one.target == other.target && one.body == other.body
        }
        _ => false,
    }
}
