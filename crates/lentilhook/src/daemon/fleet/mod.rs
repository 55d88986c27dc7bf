//! Actor that keeps the view of daemons and endpoints: reads the VM list and
//! the notices, gossips with peers and finds silent ones.

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

/// Time for which endpoints known to be leaving are collected before the
/// platform is asked when they end.
const NOTICES_DELAY: Duration = Duration::from_millis(100);
/// Time between two rounds of gossip and looks at the VM list.
const ROUND: Duration = Duration::from_secs(1);
/// Gap between two rounds after which this daemon counts as having been frozen.
const FREEZE: Duration = Duration::from_secs(3);
/// Peers that are asked for the configuration at once.
const PEERS_ASKED: usize = 3;

/// The view of all VMs.
pub struct Fleet {
    me: Identity,
    state: State,
    view: View,
    config_revision: u64,
    list_revision: u64,
    notice: u64,
    rounds: u64,
    registered: bool,
    next_stream: u64,
    probes: HashMap<StreamId, String>,
    questions: Vec<StreamId>,
    late_questions: Vec<StreamId>,
    liveness: Liveness,
    poll: Poll,
    last_round: Instant,
    is_hurrying: bool,
    asks_notices: bool,
    transport: Transport,
    worker: Worker,
    links: Links,
    answers: Channel<Answer>,
    _guard: ChannelGuard,
}

/// Whom the fleet tells.
pub struct Links {
    /// Learns the changes of VMs.
    pub dispatch: Actor<Dispatch>,
    /// Learns the revisions that peers have in force.
    pub configuration: Actor<Configuration>,
    /// Takes this daemon's own departure.
    pub departures: Channel<Departure>,
}

/// A platform answer.
enum Answer {
    /// Rows of the daemons.
    Daemons(Vec<Vm>),
    /// Whether this daemon's row was written.
    Registered(bool),
    /// A page of the VM list.
    Listed(Page),
    /// Reclaim notices.
    Noticed(Vec<Notice>),
}

impl Fleet {
    /// Starts with this daemon only.
    pub fn init(
        cx: CX![],
        me: Identity,
        chart: Chart,
        transport: Transport,
        worker: Worker,
        links: Links,
    ) -> Option<Fleet> {
        let forward = fwd_to!([cx], answered() as (Answer));
        let (answers, guard) = Channel::new(cx, forward);
        let mut view = View::new(chart);
        let myself = me.vm(State::Live);
        view.merge(&myself);
        call!([links.dispatch], vm_changed(myself));
        call!([cx], round());
        Some(Fleet {
            me,
            state: State::Live,
            view,
            config_revision: 0,
            list_revision: 0,
            notice: 0,
            rounds: 0,
            registered: false,
            next_stream: 2,
            probes: HashMap::new(),
            questions: Vec::new(),
            late_questions: Vec::new(),
            liveness: Liveness::default(),
            poll: Poll::default(),
            last_round: cx.now(),
            is_hurrying: false,
            asks_notices: false,
            transport,
            worker,
            links,
            answers,
            _guard: guard,
        })
    }

    /// This revision of the configuration is in force here.
    pub fn configured(&mut self, _cx: CX![], revision: u64) {
        self.config_revision = revision;
    }

    /// This daemon takes no new work from now on.
    pub fn leave(&mut self, cx: CX![]) {
        self.state = State::Leaving;
        let myself = self.me.vm(State::Leaving);
        self.learn(cx, &myself);
        self.gossip_to_all();
    }

    /// Gives the VMs that are known.
    pub fn read(&mut self, _cx: CX![], ret: Ret<Vec<Vm>>) {
        let daemons = self.view.present(Role::Daemon);
        let all: Vec<Vm> = daemons.chain(self.view.present(Role::Endpoint)).cloned().collect();
        ret!([ret], all);
    }

    /// Sends a message of the configuration to some peers.
    pub fn spread(&mut self, _cx: CX![], text: String, fanout: usize) {
        for address in self.some_addresses(fanout) {
            if let Some(stream) = self.open(&address, Frame::Config { text: text.clone() }) {
                self.transport.command(Command::Finish { stream });
            }
        }
    }

    /// Asks the peer at this address, or some peers.
    pub fn ask(&mut self, _cx: CX![], peer: Option<String>, text: String) {
        let addresses = peer.map_or_else(|| self.some_addresses(PEERS_ASKED), |it| vec![it]);
        for address in addresses {
            let stream = self.open(&address, Frame::Config { text: text.clone() });
            self.questions.extend(stream);
        }
    }

    /// Answers a peer.
    pub fn reply(&mut self, _cx: CX![], stream: StreamId, text: String) {
        let frame = Frame::Config { text };
        self.transport.command(Command::Send { stream, frame });
        self.transport.command(Command::Finish { stream });
    }

    /// An event of the transport on a stream of this actor.
    pub fn peer_event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Frame { stream, frame: Frame::Gossip(gossip) } => {
                self.take_gossip(cx, stream, &gossip);
            }
            Event::Frame { stream, frame: Frame::Config { text } } => {
                call!([self.links.configuration], received(stream, text));
            }
            Event::Frame { .. } => {}
            Event::Finished { stream } | Event::Failed { stream, .. } => {
                self.transport.command(Command::Finish { stream });
            }
        }
    }

    fn round(&mut self, cx: CX![]) {
        if cx.now().duration_since(self.last_round) >= FREEZE {
            // Whoever was frozen itself can't tell who was silent.
            self.liveness.reset();
            self.probes.clear();
        }
        self.last_round = cx.now();
        self.poll.advance_round();
        self.end_questions();
        self.gossip_round(cx);
        self.ask_platform();
        self.rounds += 1;
        after!(ROUND, [cx], round());
    }

    /// This daemon's own VM will be reclaimed.
    fn take_own_notice(&mut self, notice: &Notice) {
        // An older notice was for an earlier VM of this name.
        if notice.left_ms == 0 || self.state != State::Live {
            return;
        }
        let left = Duration::from_millis(notice.left_ms);
        self.links.departures.send(Departure::Reclaim(left));
    }

    fn learn(&mut self, cx: CX![], vm: &Vm) {
        if vm.id == self.me.daemon && vm != &self.me.vm(self.state) {
            self.refute(cx, vm);
            return;
        }
        if self.view.merge(vm) == Change::Changed {
            self.changed(cx, &vm.id);
        }
    }

    /// What a first read of a list says.
    fn load(&mut self, cx: CX![], vm: &Vm) {
        if vm.id == self.me.daemon {
            self.learn(cx, vm);
        } else if self.view.merge_initial(vm) == Change::Changed {
            self.changed(cx, &vm.id);
        }
    }

    fn changed(&mut self, cx: CX![], id: &str) {
        let Some(vm) = self.view.get(id).cloned() else { return };
        self.liveness.observe_incarnation(id, vm.incarnation);
        spdlog::info!("vm", kv: {
            vm = vm.id.as_str(),
            incarnation = vm.incarnation,
            state: ? = vm.state,
            address = vm.address.as_str(),
        });
        let leaves = vm.role == Role::Endpoint && vm.state == State::Leaving;
        call!([self.links.dispatch], vm_changed(vm));
        if leaves && !self.asks_notices {
            self.asks_notices = true;
            after!(NOTICES_DELAY, [cx], ask_notices());
        }
        if !self.is_hurrying {
            self.is_hurrying = true;
            call!([cx], hurry());
        }
    }

    /// A peer took this daemon for gone, or knows a later life of its name: a
    /// larger incarnation shows what is true.
    fn refute(&mut self, cx: CX![], vm: &Vm) {
        let is_taken_for_gone = vm.incarnation == self.me.incarnation && vm.state == State::Gone;
        if is_taken_for_gone || vm.incarnation > self.me.incarnation {
            self.refute_up_to(cx, vm.incarnation);
        }
    }

    fn refute_up_to(&mut self, cx: CX![], incarnation: u64) {
        self.me.incarnation = incarnation + 1;
        let myself = self.me.vm(self.state);
        if self.view.merge(&myself) == Change::Changed {
            self.changed(cx, &myself.id);
        }
    }

    fn open(&mut self, address: &str, frame: Frame) -> Option<StreamId> {
        let peer = address.parse::<SocketAddr>().ok()?;
        // Even numbers that are no multiple of four are this actor's.
        let stream = StreamId(self.next_stream);
        self.next_stream += 4;
        self.transport.command(Command::Open { stream, peer, frame });
        Some(stream)
    }

    fn some_addresses(&self, count: usize) -> Vec<String> {
        let known = self.peers().into_iter().map(|vm| vm.address);
        let mut all: Vec<String> = known.chain(self.me.seeds.iter().cloned()).collect();
        all.sort();
        all.dedup();
        all.retain(|it| *it != self.me.peer_address);
        all.into_iter().sample(&mut rand::rng(), count)
    }

    /// Ends the streams of questions that had a whole round for an answer.
    fn end_questions(&mut self) {
        let late = std::mem::replace(&mut self.late_questions, std::mem::take(&mut self.questions));
        for stream in late {
            self.transport.command(Command::Finish { stream });
        }
    }
}
