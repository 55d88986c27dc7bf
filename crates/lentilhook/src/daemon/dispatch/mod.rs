//! Actor that takes calls, places them and carries answers back.

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
use policy::suspects::Suspects;
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
use self::handover::Sent;
use self::job::Job;
use self::job::JobId;
use self::job::Stage;
use self::job::Waiter;
use self::job::Way;
use self::load::Answer;
use self::load::Poller;
use self::lookup::Lookup;
use self::recorded::Again;
use self::recorded::Words;
use self::recorded::ledger_identity;
use self::recovery::Recovery;
use self::relays::Relay;
use self::routing::Routing;
use crate::daemon::identity;
use crate::daemon::lifecycle::request;
use crate::daemon::lifecycle::request::Chart;
use crate::daemon::shards::Shards;

/// Longest wait for the ledger before a call is turned away.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an ended job with a key is kept for callers who ask again.
const KEEP_ENDED: Duration = Duration::from_secs(600);
/// Most daemons that may send a call on.
const HOPS_LIMIT: u8 = 2;
/// Time between two looks at whether a draining daemon is idle.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Calls and their state.
pub struct Dispatch {
    me: identity::Identity,
    chart: Chart,
    transport: Transport,
    shards: Actor<Shards>,
    events: Channel<Endpoint>,
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
    rounds_due: bool,
    lookups: HashMap<StreamId, Lookup>,
    handovers: HashMap<StreamId, Sent>,
    routing: Routing,
    admission: Admission,
    poller: Poller,
    _poll_guard: ChannelGuard,
    next: u64,
    draining: bool,
    words: Words,
    retries: Channel<Again>,
    _retries_guard: ChannelGuard,
    asking_again: usize,
}

/// An endpoint and what this daemon has there.
struct Target {
    vm: Vm,
    in_flight: u32,
}

/// An event of an attempt.
struct Endpoint {
    attempt: AttemptId,
    event: endpoint::attempt::Event,
}

impl Dispatch {
    /// Starts with nothing to serve.
    pub fn init(
        cx: CX![],
        me: identity::Identity,
        chart: Chart,
        transport: Transport,
        shards: Actor<Shards>,
        mode: Mode,
    ) -> Option<Dispatch> {
        let forward = fwd_to!([cx], endpoint_event() as (Endpoint));
        let (events, guard) = Channel::new(cx, forward);
        let again = fwd_to!([cx], ask_again() as (Again));
        let (retries, retries_guard) = Channel::new(cx, again);
        let polled = fwd_to!([cx], polled() as (Answer));
        let (answers, poll_guard) = Channel::new(cx, polled);
        call!([cx], poll_turn());
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
            suspects: Suspects::default(),
            rounds_due: false,
            lookups: HashMap::new(),
            handovers: HashMap::new(),
            routing: Routing::new(mode, cx.now()),
            admission: Admission::new(cx.now()),
            poller: Poller::start(answers, cx.now()),
            _poll_guard: poll_guard,
            next: 4,
            draining: false,
            words: Words::default(),
            retries,
            _retries_guard: retries_guard,
            asking_again: 0,
        })
    }

    /// A new configuration is in force.
    pub fn configured(&mut self, _cx: CX![], catalog: Rc<Catalog>) {
        self.catalog = catalog;
    }

    /// The state of a VM changed.
    pub fn vm_changed(&mut self, cx: CX![], vm: Vm) {
        match vm.role {
            Role::Daemon => {
                self.daemons.insert(vm.id.clone(), vm);
            }
            Role::Endpoint => {
                self.routing.vm_changed(&vm);
                let in_flight = self.endpoints.get(&vm.id).map_or(0, |it| it.in_flight);
                self.endpoints.insert(vm.id.clone(), Target { vm: vm.clone(), in_flight });
                self.endpoint_leaves(cx, &vm);
            }
        }
    }

    /// A caller's request arrived.
    pub fn arrived(&mut self, cx: CX![], arrival: Arrival) {
        if arrival.content == Content::Job {
            self.look_up(arrival);
            return;
        }
        let checked = check::check(&self.catalog, &arrival);
        let way = Way::Gateway { id: arrival.id, replies: arrival.replies };
        match checked {
            Ok(checked) => self.place(cx, checked.call, checked.service, way, 0),
            Err(problem) => way.send(&self.transport, Reply::Problem(problem)),
        }
    }

    /// A caller went away before its answer was complete.
    pub fn gone(&mut self, cx: CX![], arrival: ArrivalId) {
        let leaves = |way: &Way| matches!(way.end(), Way::Gateway { id, .. } if *id == arrival);
        self.drop_relays(leaves);
        self.drop_waiters(cx, leaves);
    }

    /// An event of the transport on a stream of this actor.
    pub fn peer_event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Frame { stream, frame: Frame::Forward(forward) } => {
                self.forwarded(cx, stream, *forward);
            }
            Event::Frame { stream, frame: Frame::Lookup(identity) } => {
                self.tell_job(&identity, Way::Peer(stream));
            }
            Event::Frame { stream, frame: Frame::Reply(reply) } => {
                if self.looked_up(stream, &reply) {
                    return;
                }
                self.relayed(cx, stream, reply);
            }
            Event::Frame { stream, frame: Frame::Suspect(suspect) } => {
                self.suspected(cx, stream, &suspect);
            }
            Event::Frame { stream, frame: Frame::Handover(handover) } => {
                self.take_over(cx, stream, *handover);
            }
            Event::Frame { stream, frame: Frame::HandoverAccepted } => {
                self.handover_taken(cx, stream);
            }
            Event::Frame { .. } => {}
            Event::Finished { stream } | Event::Failed { stream, .. }
                if self.lookups.contains_key(&stream) =>
            {
                self.lookup_ended(stream);
            }
            Event::Finished { stream } => {
                // A successor that ends its side without a word has not taken the copy.
                self.handover_failed(cx, stream);
                self.relay_ended(cx, stream, true);
            }
            Event::Failed { stream, sent, .. } => {
                self.handover_failed(cx, stream);
                self.relay_ended(cx, stream, sent);
                self.drop_waiters(cx, |way| matches!(way.end(), Way::Peer(it) if *it == stream));
            }
        }
    }

    /// Takes no new work once `notice` has passed; answers when nothing is open.
    pub fn drain_after(&mut self, cx: CX![], notice: Duration, ret: Ret<()>) {
        after!(notice, [cx], drain(ret));
    }

    fn drain(&mut self, cx: CX![], ret: Ret<()>) {
        if !self.draining {
            self.draining = true;
            let open = self.open_count();
            spdlog::info!("draining", kv: { open = open });
        }
        if self.open_count() == 0 {
            self.hand_over_ended();
        }
        if self.open_count() == 0 {
            ret!([ret]);
            return;
        }
        after!(DRAIN_POLL, [cx], drain(ret));
    }

    /// Number of calls that are open here.
    pub fn count_open(&mut self, _cx: CX![], ret: Ret<usize>) {
        ret!([ret], self.open_count());
    }

    fn open_count(&self) -> usize {
        let idle = |it: &&Job| matches!(it.stage, Stage::Ended(_) | Stage::Kept);
        let kept = self.jobs.values().filter(idle).count();
        self.jobs.len() - kept + self.relays.len() + self.handovers.len() + self.asking_again
    }

    fn forwarded(&mut self, cx: CX![], stream: StreamId, forward: Forward) {
        let way = Way::Peer(stream);
        let Some(service) = self.catalog.service(&forward.call.service).cloned() else {
            let problem = Problem::not_run(404, "unknown service", "call again in a few seconds");
            way.send(&self.transport, Reply::Problem(problem.retry_after(2)));
            return;
        };
        self.place(cx, forward.call, service, way, forward.hops);
    }

    /// Sends a call to the daemon that serves its key, or serves it here.
    fn place(&mut self, cx: CX![], call: Call, service: Service, way: Way, hops: u8) {
        if let Some(identity) = call.identity() {
            if let Some(id) = self.by_identity.get(&identity).copied() {
                self.join(cx, id, &call, way);
                return;
            }
            let owner = self.owner(&call, &identity);
            if hops == 0
                && let Some(owner) = owner
                && owner.id != self.me.daemon
            {
                self.relay(cx, owner, call, service, way, hops);
                return;
            }
        }
        if self.draining && matches!(way, Way::Gateway { .. }) {
            way.send(&self.transport, Reply::Problem(problems::draining()));
            return;
        }
        self.serve(cx, call, service, way);
    }

    /// Daemon that serves a key.
    fn owner(&self, call: &Call, identity: &str) -> Option<Vm> {
        let name = match ledger_identity(call) {
            Some(recorded) => format!("shard/{}", recorded.shard().0),
            None => identity.to_owned(),
        };
        let live = self.daemons.values().filter(|vm| vm.state == State::Live);
        let id = policy::ring::owner(&name, live.map(|vm| vm.id.as_str()))?;
        self.daemons.get(id).cloned()
    }

    fn join(&mut self, cx: CX![], id: JobId, call: &Call, way: Way) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !same_request(&job.call, call) {
            way.send(&self.transport, Reply::Problem(problems::key_reused()));
            return;
        }
        let next_index = match &call.body {
            Body::Chat(chat) => chat.from_index,
            Body::Plain(_) => 0,
        };
        let mut waiter = Waiter { way, next_index };
        waiter.catch_up(&self.transport, &job.progress);
        match &job.stage {
            Stage::Ended(reply) => waiter.way.send(&self.transport, reply.clone()),
            Stage::Kept => {
                job.waiters.push(waiter);
                self.attempt(cx, id);
            }
            _ => job.waiters.push(waiter),
        }
    }

    fn serve(&mut self, cx: CX![], call: Call, service: Service, way: Way) {
        let id = JobId(self.take_number());
        let identity = call.identity();
        let recorded = recorded::claim(&call);
        let next_index = match &call.body {
            Body::Chat(chat) => chat.from_index,
            Body::Plain(_) => 0,
        };
        let mut job = Job::new(call, service, cx.now());
        job.waiters.push(Waiter { way, next_index });
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

    /// Ends a job; one with a key is kept for callers who ask again.
    fn end(&mut self, cx: CX![], id: JobId, reply: Reply) {
        self.advance_to_end(id, &reply);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let kept = job.call.key.is_some();
        job.stage = Stage::Ended(reply.clone());
        for waiter in job.waiters.drain(..) {
            waiter.way.send(&self.transport, reply.clone());
        }
        if kept {
            after!(KEEP_ENDED, [cx], forget_ended(id));
        } else {
            self.forget(id);
        }
    }

    /// Ends a job that was not run, so that the same key may be tried again.
    fn end_unkept(&mut self, id: JobId, reply: Reply) {
        self.advance_to_end(id, &reply);
        if let Some(job) = self.jobs.get_mut(&id) {
            for waiter in job.waiters.drain(..) {
                waiter.way.send(&self.transport, reply.clone());
            }
        }
        self.forget(id);
    }

    fn forget_ended(&mut self, _cx: CX![], id: JobId) {
        self.forget(id);
    }

    fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        if let Some(identity) = job.call.identity()
            && self.by_identity.get(&identity) == Some(&id)
        {
            self.by_identity.remove(&identity);
        }
    }

    /// Drops waiters; a job without key that nobody waits for is cancelled.
    fn drop_waiters(&mut self, cx: CX![], leaves: impl Fn(&Way) -> bool) {
        let mut abandoned = Vec::new();
        for (id, job) in &mut self.jobs {
            let before = job.waiters.len();
            job.waiters.retain(|waiter| !leaves(&waiter.way));
            let emptied = before > 0 && job.waiters.is_empty();
            if emptied && job.call.key.is_none() && !job.call.is_non_idempotent() {
                abandoned.push(*id);
            }
        }
        for id in abandoned {
            self.cancel(cx, id);
        }
    }

    fn take_number(&mut self) -> u64 {
        // Multiples of four, which name this actor's streams as well.
        self.next += 4;
        self.next
    }
}

/// Whether a resubmission asks for the same thing.
fn same_request(first: &Call, again: &Call) -> bool {
    match (&first.body, &again.body) {
        (Body::Chat(one), Body::Chat(other)) => {
            one.messages == other.messages && one.max_tokens == other.max_tokens
        }
        (Body::Plain(one), Body::Plain(other)) => {
            one.method == other.method && one.target == other.target && one.body == other.body
        }
        _ => false,
    }
}
