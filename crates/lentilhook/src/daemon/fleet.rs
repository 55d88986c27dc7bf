//! Actor that keeps the view of daemons and endpoints: reads the VM list and
//! the notices, gossips with peers and finds silent ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use membership::lifecycle::Chart;
use membership::update::Gossip;
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
use platform::table::Put;
use platform::table::Table;
use platform::table::Transaction;
use platform::vm::Cloud;
use platform::vm::Notice;
use platform::vm::Page;
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

use crate::daemon::catalog::Configuration;
use crate::daemon::departure::Departure;
use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::recovery;
use crate::daemon::identity::Identity;
use crate::daemon::worker::Worker;

/// Time between two rounds of gossip and looks at the VM list.
const ROUND: Duration = Duration::from_secs(1);
/// Peers that are told something in a round.
const PEERS_PER_ROUND: usize = 2;
/// Rounds in a row without an answer after which a peer counts as gone.
const MISSES: u32 = 3;
/// Prefix of the rows by which daemons find each other.
const DAEMON_PREFIX: &str = "daemon/";
/// Most daemons read at the start.
const DAEMON_ROWS: usize = 1000;
/// Rounds between two reads of the daemons' rows.
const ROUNDS_PER_SCAN: u64 = 10;

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
    misses: HashMap<String, u32>,
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
            misses: HashMap::new(),
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

    /// An event of the transport on a stream of this actor.
    pub fn peer_event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Frame { stream, frame: Frame::Gossip(gossip) } => {
                self.take_gossip(cx, stream, &gossip);
            }
            Event::Frame { .. } => {}
            Event::Finished { stream } | Event::Failed { stream, .. } => {
                self.transport.command(Command::Finish { stream });
            }
        }
    }

    fn round(&mut self, cx: CX![]) {
        self.count_misses(cx);
        self.gossip_to_some();
        self.ask_platform();
        self.rounds += 1;
        after!(ROUND, [cx], round());
    }

    fn ask_platform(&mut self) {
        let answers = self.answers.clone();
        let (revision, notice) = (self.list_revision, self.notice);
        self.worker.queue(move |client| {
            if let Ok(page) = client.list(revision) {
                answers.send(Answer::Listed(page));
            }
            if let Ok(notices) = client.notices(notice) {
                answers.send(Answer::Noticed(notices));
            }
        });
        if !self.registered || self.rounds.is_multiple_of(ROUNDS_PER_SCAN) {
            self.register();
        }
    }

    fn register(&self) {
        let answers = self.answers.clone();
        let registered = self.registered;
        let put = daemon_put(&self.me);
        self.worker.queue(move |client| {
            if !registered {
                let transaction = Transaction { puts: vec![put], ..Transaction::default() };
                answers.send(Answer::Registered(client.commit(&transaction).is_ok()));
            }
            if let Ok(rows) = client.scan(DAEMON_PREFIX, "", DAEMON_ROWS) {
                let parsed = rows.iter().filter_map(|row| parse_daemon(&row.value));
                answers.send(Answer::Daemons(parsed.collect()));
            }
        });
    }

    fn answered(&mut self, cx: CX![], answer: Answer) {
        match answer {
            Answer::Registered(done) => self.registered = done,
            Answer::Daemons(daemons) => daemons.iter().for_each(|vm| self.learn(cx, vm)),
            Answer::Listed(page) => {
                self.list_revision = page.revision;
                page.vms.iter().for_each(|vm| self.learn(cx, &from_list(vm)));
            }
            Answer::Noticed(notices) => {
                for notice in notices {
                    self.notice = self.notice.max(notice.sequence);
                    self.take_notice(cx, &notice);
                }
            }
        }
    }

    fn take_notice(&mut self, cx: CX![], notice: &Notice) {
        if notice.vm == self.me.daemon {
            self.take_own_notice(notice);
            return;
        }
        let (vm, incarnation) = (notice.vm.clone(), notice.incarnation);
        let left = Duration::from_millis(notice.left_ms);
        call!([self.links.dispatch], noticed(recovery::Notice { vm, incarnation, left }));
        let known = self.view.get(&notice.vm).cloned();
        if let Some(vm) = known
            && vm.incarnation == notice.incarnation
        {
            self.learn(cx, &Vm { state: State::Leaving.max(vm.state), ..vm });
        }
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
        if vm.id == self.me.daemon && vm.state > self.state {
            self.refute(cx, vm);
            return;
        }
        if self.view.merge(vm) == Change::Changed {
            spdlog::info!("vm", kv: {
                vm = vm.id.as_str(),
                incarnation = vm.incarnation,
                state: ? = vm.state,
                address = vm.address.as_str(),
            });
            call!([self.links.dispatch], vm_changed(vm.clone()));
        }
    }

    /// A peer took this daemon for gone: a larger incarnation shows that it is not.
    fn refute(&mut self, cx: CX![], vm: &Vm) {
        if vm.incarnation < self.me.incarnation {
            return;
        }
        self.me.incarnation = vm.incarnation + 1;
        let myself = self.me.vm(self.state);
        self.learn(cx, &myself);
    }

    fn take_gossip(&mut self, cx: CX![], stream: StreamId, gossip: &Gossip) {
        if gossip.config_revision > self.config_revision {
            call!([self.links.configuration], heard_of(gossip.config_revision));
        }
        self.learn(cx, &gossip.sender);
        for vm in &gossip.vms {
            self.learn(cx, vm);
        }
        let answered = self.probes.remove(&stream);
        if let Some(id) = answered {
            self.misses.remove(&id);
        } else {
            let frame = Frame::Gossip(self.message());
            self.transport.command(Command::Send { stream, frame });
        }
        self.transport.command(Command::Finish { stream });
    }

    fn message(&mut self) -> Gossip {
        Gossip {
            sender: self.me.vm(self.state),
            config_revision: self.config_revision,
            vms: self.view.take_changes(),
        }
    }

    fn gossip_to_some(&mut self) {
        let peers = self.peers();
        let chosen = peers.into_iter().sample(&mut rand::rng(), PEERS_PER_ROUND);
        chosen.iter().for_each(|vm| self.gossip_to(vm));
    }

    fn gossip_to_all(&mut self) {
        self.peers().iter().for_each(|vm| self.gossip_to(vm));
    }

    fn peers(&self) -> Vec<Vm> {
        let others = self.view.live(Role::Daemon).filter(|vm| vm.id != self.me.daemon);
        others.cloned().collect()
    }

    fn gossip_to(&mut self, vm: &Vm) {
        let Ok(peer) = vm.address.parse::<SocketAddr>() else { return };
        // Even numbers that are no multiple of four are this actor's.
        let stream = StreamId(self.next_stream);
        self.next_stream += 4;
        self.probes.insert(stream, vm.id.clone());
        let frame = Frame::Gossip(self.message());
        self.transport.command(Command::Open { stream, peer, frame });
    }

    fn count_misses(&mut self, cx: CX![]) {
        for (stream, id) in std::mem::take(&mut self.probes) {
            self.transport.command(Command::Finish { stream });
            let misses = self.misses.entry(id.clone()).or_default();
            *misses += 1;
            if *misses >= MISSES
                && let Some(vm) = self.view.get(&id).cloned()
            {
                self.misses.remove(&id);
                self.learn(cx, &Vm { state: State::Gone, ..vm });
            }
        }
    }
}

fn from_list(vm: &platform::vm::Vm) -> Vm {
    Vm {
        id: vm.id.clone(),
        incarnation: vm.incarnation,
        role: match vm.role {
            platform::vm::Role::Daemon => Role::Daemon,
            platform::vm::Role::Endpoint => Role::Endpoint,
        },
        service: vm.service.clone(),
        zone: vm.zone.clone(),
        address: vm.address.clone(),
        price_per_hour: vm.price_per_hour,
        state: match vm.state {
            platform::vm::State::Live => State::Live,
            platform::vm::State::Leaving => State::Leaving,
            platform::vm::State::Gone => State::Gone,
        },
    }
}

fn daemon_put(me: &Identity) -> Put {
    let vm = platform::vm::Vm {
        id: me.daemon.clone(),
        incarnation: me.incarnation,
        role: platform::vm::Role::Daemon,
        service: String::new(),
        zone: me.zone.clone(),
        class: String::new(),
        address: me.peer_address.clone(),
        price_per_hour: 0.0,
        reclaimable: true,
        state: platform::vm::State::Live,
    };
    let value = serde_json::to_string(&vm).unwrap_or_default();
    Put { key: format!("{DAEMON_PREFIX}{}", me.daemon), value }
}

fn parse_daemon(value: &str) -> Option<Vm> {
    serde_json::from_str(value).ok().map(|vm| from_list(&vm))
}
