//! Actor that maintains the view of daemons and endpoints. It reads the VM list
//! and the reclaim notices, gossips with peers and detects peers that don't
//! respond.

mod gossip;
mod watch;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::lifecycle::Chart;
use membership::liveness::Liveness;
use membership::poll::Poll;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use membership::view::Change;
use membership::view::View;
use peer::transport::Command;
use peer::transport::Event;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Frame;
use rand::seq::IteratorRandom;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker::ret;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;
use store::vm::Notice;
use store::vm::Page;

use crate::daemon::catalog::Configuration;
use crate::daemon::departure::Departure;
use crate::daemon::dispatch::Dispatch;
use crate::daemon::identity::Identity;
use crate::daemon::worker::Worker;

/// Delay between learning that an endpoint is leaving and reading the platform's
/// reclaim notices. It batches several such endpoints into one read.
const NOTICES_DELAY: Duration = Duration::from_millis(100);
/// Interval between rounds, each of which gossips and may read the VM list.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum gap between two rounds after which this daemon is treated as having
/// been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Number of peers to which a configuration query is sent.
const QUERY_FANOUT: usize = 3;

/// The view of all VMs.
pub struct Fleet {
    me: Identity,
    state: State,
    view: View,
    config_revision: u64,
    list_revision: u64,
    last_notice: u64,
    rounds: u64,
    registered: bool,
    next_stream: u64,
    probes: HashMap<StreamId, String>,
    open_requests: Vec<StreamId>,
    expiring_requests: Vec<StreamId>,
    liveness: Liveness,
    poll: Poll,
    last_round: Instant,
    is_gossiping_urgently: bool,
    is_notice_read_scheduled: bool,
    transport: Transport,
    worker: Worker,
    subscribers: Subscribers,
    responses: Channel<Response>,
    _guard: ChannelGuard,
}

/// Receivers of the fleet's events.
pub struct Subscribers {
    /// Receives changes of VMs.
    pub dispatch: Actor<Dispatch>,
    /// Receives the revisions that peers have in force and their messages.
    pub configuration: Actor<Configuration>,
    /// Receives the reclaim notice of this daemon's own VM.
    pub departures: Channel<Departure>,
}

/// Result of a platform call.
enum Response {
    /// Daemons read from their rows in the table.
    Daemons(Vec<Vm>),
    /// Whether this daemon's row was written.
    Registered(bool),
    /// A page of the VM list.
    Listed(Page),
    /// Reclaim notices that were read.
    Noticed(Vec<Notice>),
}

impl Fleet {
    /// Creates the actor with a view that contains only this daemon.
    pub fn init(
        cx: CX![],
        me: Identity,
        chart: Chart,
        transport: Transport,
        worker: Worker,
        subscribers: Subscribers,
    ) -> Option<Fleet> {
        let forward = fwd_to!([cx], handle_response() as (Response));
        let (responses, guard) = Channel::new(cx, forward);
        let mut view = View::new(chart);
        let myself = me.vm(State::Live);
        view.merge(&myself);
        call!([subscribers.dispatch], vm_changed(myself));
        call!([cx], round());
        Some(Fleet {
            me,
            state: State::Live,
            view,
            config_revision: 0,
            list_revision: 0,
            last_notice: 0,
            rounds: 0,
            registered: false,
            next_stream: 2,
            probes: HashMap::new(),
            open_requests: Vec::new(),
            expiring_requests: Vec::new(),
            liveness: Liveness::default(),
            poll: Poll::default(),
            last_round: cx.now(),
            is_gossiping_urgently: false,
            is_notice_read_scheduled: false,
            transport,
            worker,
            subscribers,
            responses,
            _guard: guard,
        })
    }

    /// Records the revision of the configuration that is in force on this daemon.
    pub fn configured(&mut self, _cx: CX![], revision: u64) {
        self.config_revision = revision;
    }

    /// Announces to all peers that this daemon accepts no new work.
    pub fn leave(&mut self, cx: CX![]) {
        self.state = State::Leaving;
        let myself = self.me.vm(State::Leaving);
        self.merge(cx, &myself);
        self.gossip_to_all();
    }

    /// Returns all present VMs through `ret`.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Vec<Vm>>) {
        let daemons = self.view.present(Role::Daemon);
        let all: Vec<Vm> = daemons.chain(self.view.present(Role::Endpoint)).cloned().collect();
        ret!([ret], all);
    }

    /// Sends a configuration message to `fanout` random peers.
    pub fn push(&mut self, _cx: CX![], text: String, fanout: usize) {
        for address in self.sample_addresses(fanout) {
            if let Some(stream) = self.open(&address, Frame::Config { text: text.clone() }) {
                self.transport.command(Command::Finish { stream });
            }
        }
    }

    /// Sends a configuration query to the peer at this address, or to some random
    /// peers.
    pub fn query(&mut self, _cx: CX![], peer: Option<String>, text: String) {
        let addresses = peer.map_or_else(|| self.sample_addresses(QUERY_FANOUT), |it| vec![it]);
        for address in addresses {
            let stream = self.open(&address, Frame::Config { text: text.clone() });
            self.open_requests.extend(stream);
        }
    }

    /// Sends a configuration message as the response on a peer's stream.
    pub fn reply(&mut self, _cx: CX![], stream: StreamId, text: String) {
        let frame = Frame::Config { text };
        self.transport.command(Command::Send { stream, frame });
        self.transport.command(Command::Finish { stream });
    }

    /// Handles a transport event on a stream that belongs to this actor.
    pub fn peer_event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Frame { stream, frame: Frame::Gossip(gossip) } => {
                self.receive_gossip(cx, stream, &gossip);
            }
            Event::Frame { stream, frame: Frame::Config { text } } => {
                call!([self.subscribers.configuration], received(stream, text));
            }
            Event::Frame { .. } | Event::Accepted { .. } | Event::Skipped { .. } => {}
            Event::Finished { stream } | Event::Failed { stream, .. } => {
                self.transport.command(Command::Finish { stream });
            }
        }
    }

    fn round(&mut self, cx: CX![]) {
        if cx.now().duration_since(self.last_round) >= PAUSE_THRESHOLD {
            // After a pause of this daemon, missing responses say nothing about the
            // peers.
            self.liveness.reset();
            self.probes.clear();
        }
        self.last_round = cx.now();
        self.poll.advance_round();
        self.finish_expired_requests();
        self.gossip_round(cx);
        self.poll_platform();
        self.rounds += 1;
        after!(ROUND_INTERVAL, [cx], round());
    }

    /// Handles a reclaim notice of this daemon's own VM.
    fn receive_own_notice(&mut self, notice: &Notice) {
        // A notice without time left belongs to a previous VM of this name.
        if notice.left_ms == 0 || self.state != State::Live {
            return;
        }
        let left = Duration::from_millis(notice.left_ms);
        self.subscribers.departures.send(Departure::Reclaim(left));
    }

    /// Merges a VM's record into the view and publishes the change, if any.
    fn merge(&mut self, cx: CX![], vm: &Vm) {
        if vm.id == self.me.daemon && vm != &self.me.vm(self.state) {
            self.refute(cx, vm);
            return;
        }
        if self.view.merge(vm) == Change::Changed {
            self.publish_change(cx, &vm.id);
        }
    }

    /// Merges a VM's record from the first read of a list.
    fn merge_initial(&mut self, cx: CX![], vm: &Vm) {
        if vm.id == self.me.daemon {
            self.merge(cx, vm);
        } else if self.view.merge_initial(vm) == Change::Changed {
            self.publish_change(cx, &vm.id);
        }
    }

    /// Logs a VM's new record, forwards it to the dispatcher and starts gossiping
    /// urgent changes without waiting for the next round.
    fn publish_change(&mut self, cx: CX![], id: &str) {
        let Some(vm) = self.view.get(id).cloned() else { return };
        self.liveness.observe_incarnation(id, vm.incarnation);
        spdlog::info!("vm", kv: {
            vm = vm.id.as_str(),
            incarnation = vm.incarnation,
            state: ? = vm.state,
            address = vm.address.as_str(),
        });
        let is_leaving_endpoint = vm.role == Role::Endpoint && vm.state == State::Leaving;
        call!([self.subscribers.dispatch], vm_changed(vm));
        if is_leaving_endpoint && !self.is_notice_read_scheduled {
            self.is_notice_read_scheduled = true;
            after!(NOTICES_DELAY, [cx], read_notices());
        }
        if !self.is_gossiping_urgently {
            self.is_gossiping_urgently = true;
            call!([cx], gossip_urgent_changes());
        }
    }

    /// Refutes a record of this daemon that says it is gone, or that has a later
    /// incarnation, by switching to a larger incarnation.
    fn refute(&mut self, cx: CX![], vm: &Vm) {
        let is_declared_gone = vm.incarnation == self.me.incarnation && vm.state == State::Gone;
        if is_declared_gone || vm.incarnation > self.me.incarnation {
            self.refute_up_to(cx, vm.incarnation);
        }
    }

    /// Switches to an incarnation larger than `incarnation` and publishes it.
    fn refute_up_to(&mut self, cx: CX![], incarnation: u64) {
        self.me.incarnation = incarnation + 1;
        let myself = self.me.vm(self.state);
        if self.view.merge(&myself) == Change::Changed {
            self.publish_change(cx, &myself.id);
        }
    }

    /// Opens a stream to a peer with a first frame. Returns `None` if the address is
    /// invalid.
    fn open(&mut self, address: &str, frame: Frame) -> Option<StreamId> {
        let peer = address.parse::<SocketAddr>().ok()?;
        // This actor uses the even stream numbers that aren't multiples of four.
        let stream = StreamId(self.next_stream);
        self.next_stream += 4;
        self.transport.command(Command::Open { stream, peer, frame });
        Some(stream)
    }

    /// Returns up to `count` random addresses of live peers and seeds.
    fn sample_addresses(&self, count: usize) -> Vec<String> {
        let known = self.peers().into_iter().map(|vm| vm.address);
        let mut all: Vec<String> = known.chain(self.me.seeds.iter().cloned()).collect();
        all.sort();
        all.dedup();
        all.retain(|it| *it != self.me.peer_address);
        all.into_iter().sample(&mut rand::rng(), count)
    }

    /// Finishes the streams of requests that have been open for a whole round.
    fn finish_expired_requests(&mut self) {
        let open = std::mem::take(&mut self.open_requests);
        let expired = std::mem::replace(&mut self.expiring_requests, open);
        for stream in expired {
            self.transport.command(Command::Finish { stream });
        }
    }
}
