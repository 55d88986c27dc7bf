//! Gossip with peers and detection of peers that don't respond.

use std::time::Duration;

use membership::liveness::Verdict;
use membership::update::Gossip;
use membership::update::Role;
use membership::update::State;
use membership::update::Suspect;
use membership::update::Vm;
use membership::view::Change;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Frame;
use rand::seq::IteratorRandom;
use stakker::CX;
use stakker::after;
use stakker::call;

use crate::daemon::fleet::Fleet;

/// Number of random peers to which a gossip message is sent in a round.
const GOSSIP_FANOUT: usize = 2;
/// Interval between gossip messages while changes are urgent.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers requested to probe a peer that doesn't respond.
const INDIRECT_PROBES: usize = 3;

impl Fleet {
    /// Evaluates the probes of the previous round, then sends gossip to every
    /// unresponsive peer and to some random others.
    pub(super) fn gossip_round(&mut self, cx: CX![]) {
        let verdicts = self.record_misses();
        let mut unresponsive = Vec::new();
        for verdict in verdicts {
            match verdict {
                Verdict::Probe(id) => unresponsive.push(id),
                Verdict::Suspect(id, incarnation) => {
                    self.suspect(&id, incarnation);
                    unresponsive.push(id);
                }
                Verdict::Gone(id, incarnation) => {
                    if self.view.advance_state(&id, incarnation, State::Gone) == Change::Changed {
                        self.publish_change(cx, &id);
                    }
                }
            }
        }
        let peers = self.peers();
        let probed = peers.iter().filter(|vm| unresponsive.contains(&vm.id));
        let others = peers.iter().filter(|vm| !unresponsive.contains(&vm.id));
        let sampled = others.sample(&mut rand::rng(), GOSSIP_FANOUT);
        let targets: Vec<&Vm> = probed.chain(sampled).collect();
        targets.iter().for_each(|vm| self.gossip_to(vm));
        if peers.is_empty() {
            self.gossip_to_seeds();
        }
    }

    /// Sends gossip to some peers without waiting for the next round. Repeats until
    /// every urgent change, such as a VM that accepts no more work, has been sent
    /// often enough.
    pub(super) fn gossip_urgent_changes(&mut self, cx: CX![]) {
        self.is_gossiping_urgently = self.view.has_urgent_changes();
        if !self.is_gossiping_urgently {
            return;
        }
        for peer in self.peers().into_iter().sample(&mut rand::rng(), GOSSIP_FANOUT) {
            let frame = Frame::Gossip(self.message());
            let stream = self.open(&peer.address, frame);
            self.open_requests.extend(stream);
        }
        after!(URGENT_INTERVAL, [cx], gossip_urgent_changes());
    }

    /// Sends gossip to all live daemons.
    pub(super) fn gossip_to_all(&mut self) {
        self.peers().iter().for_each(|vm| self.gossip_to(vm));
    }

    /// Returns all live daemons except this one.
    pub(super) fn peers(&self) -> Vec<Vm> {
        let others = self.view.live(Role::Daemon).filter(|vm| vm.id != self.me.daemon);
        others.cloned().collect()
    }

    /// Merges a received gossip message and responds to it if it was not a response
    /// itself.
    pub(super) fn receive_gossip(&mut self, cx: CX![], stream: StreamId, gossip: &Gossip) {
        let sender = &gossip.sender;
        if gossip.config_revision > self.config_revision {
            let address = sender.address.clone();
            call!([self.subscribers.configuration], peer_revision(gossip.config_revision, address));
        }
        if sender.zone == self.me.zone {
            self.poll.merge_remote(gossip.list_age);
        }
        self.merge(cx, sender);
        if self.view.get(&sender.id).is_some_and(|it| it != sender) {
            // The view has a different record of the sender, for example that it is
            // gone. The response sends it that record, which the sender can refute.
            self.view.republish(&sender.id);
        }
        for vm in &gossip.vms {
            self.merge(cx, vm);
        }
        for suspect in &gossip.suspects {
            self.receive_suspicion(cx, suspect);
        }
        self.repair(&sender.address, gossip.digest);
        let probed = self.probes.remove(&stream);
        if let Some(id) = probed {
            self.liveness.record_response(&id);
        } else if stream.is_remote() {
            let frame = Frame::Gossip(self.message());
            self.transport.command(Command::Send { stream, frame });
        }
        self.transport.command(Command::Finish { stream });
    }

    /// Sends the latest changes to a peer whose view differs.
    fn repair(&mut self, address: &str, digest: u64) {
        let vms = self.view.repair(digest, self.rounds);
        if vms.is_empty() {
            return;
        }
        let message = Gossip { vms, ..self.message() };
        let stream = self.open(address, Frame::Gossip(message));
        self.open_requests.extend(stream);
    }

    /// Requests some peers to inform an unresponsive peer that it is suspected.
    fn suspect(&mut self, id: &str, incarnation: u64) {
        let Some(vm) = self.view.get(id) else { return };
        let address = vm.address.clone();
        spdlog::info!("daemon suspected", kv: { vm = id, incarnation = incarnation });
        let suspect = Suspect { id: id.to_owned(), incarnation, address, relay: true };
        let others = self.peers().into_iter().filter(|vm| vm.id != id);
        let relays: Vec<Vm> = others.sample(&mut rand::rng(), INDIRECT_PROBES);
        for relay in relays {
            let message = Gossip { suspects: vec![suspect.clone()], ..self.message() };
            let stream = self.open(&relay.address, Frame::Gossip(message));
            self.open_requests.extend(stream);
        }
    }

    /// Refutes a suspicion of this daemon, or forwards a suspicion of another daemon
    /// to it if the sender requests that.
    fn receive_suspicion(&mut self, cx: CX![], suspect: &Suspect) {
        if suspect.id == self.me.daemon {
            if suspect.incarnation >= self.me.incarnation {
                self.refute_up_to(cx, suspect.incarnation);
            }
            return;
        }
        if suspect.relay {
            let forwarded = Suspect { relay: false, ..suspect.clone() };
            let message = Gossip { suspects: vec![forwarded], ..self.message() };
            let stream = self.open(&suspect.address, Frame::Gossip(message));
            self.open_requests.extend(stream);
        }
    }

    /// Sends gossip to a peer and expects a response before the next round.
    fn gossip_to(&mut self, vm: &Vm) {
        let frame = Frame::Gossip(self.message());
        if let Some(stream) = self.open(&vm.address, frame) {
            self.probes.insert(stream, vm.id.clone());
        }
    }

    fn gossip_to_seeds(&mut self) {
        for address in self.sample_addresses(GOSSIP_FANOUT) {
            let frame = Frame::Gossip(self.message());
            let stream = self.open(&address, frame);
            self.open_requests.extend(stream);
        }
    }

    /// Creates a gossip message, which uses up one transmission of each change it
    /// contains.
    fn message(&mut self) -> Gossip {
        Gossip {
            sender: self.me.vm(self.state),
            config_revision: self.config_revision,
            list_age: self.poll.age(),
            digest: self.view.digest(),
            vms: self.view.take_changes(),
            suspects: Vec::new(),
        }
    }

    /// Records a miss for every probe without a response and closes its stream.
    fn record_misses(&mut self) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (stream, id) in std::mem::take(&mut self.probes) {
            self.transport.command(Command::Finish { stream });
            if let Some(vm) = self.view.get(&id) {
                verdicts.push(self.liveness.record_miss(&id, vm.incarnation));
            }
        }
        verdicts
    }
}
