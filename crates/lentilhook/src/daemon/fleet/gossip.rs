//! Gossip: who is told what, and who doesn't answer.

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

/// Peers that are told something in a round.
const PEERS_PER_ROUND: usize = 2;
/// Time between two messages while changes are urgent.
const HURRY: Duration = Duration::from_millis(100);
/// Peers that are asked to probe one that doesn't answer.
const HELPERS: usize = 3;

impl Fleet {
    pub(super) fn gossip_round(&mut self, cx: CX![]) {
        let verdicts = self.count_misses();
        let mut again = Vec::new();
        for verdict in verdicts {
            match verdict {
                Verdict::Probe(id) => again.push(id),
                Verdict::Suspect(id, incarnation) => {
                    self.suspect(&id, incarnation);
                    again.push(id);
                }
                Verdict::Gone(id, incarnation) => {
                    if self.view.advance_state(&id, incarnation, State::Gone) == Change::Changed {
                        self.changed(cx, &id);
                    }
                }
            }
        }
        let peers = self.peers();
        let silent = peers.iter().filter(|vm| again.contains(&vm.id));
        let others = peers.iter().filter(|vm| !again.contains(&vm.id));
        let chosen = others.sample(&mut rand::rng(), PEERS_PER_ROUND);
        let chosen: Vec<&Vm> = silent.chain(chosen).collect();
        chosen.iter().for_each(|vm| self.gossip_to(vm));
        if peers.is_empty() {
            self.gossip_to_seeds();
        }
    }

    /// Tells some peers at once of VMs that take no more work, until each such
    /// change was told often enough.
    pub(super) fn hurry(&mut self, cx: CX![]) {
        self.is_hurrying = self.view.has_urgent_changes();
        if !self.is_hurrying {
            return;
        }
        for peer in self.peers().into_iter().sample(&mut rand::rng(), PEERS_PER_ROUND) {
            let frame = Frame::Gossip(self.message());
            let stream = self.open(&peer.address, frame);
            self.questions.extend(stream);
        }
        after!(HURRY, [cx], hurry());
    }

    pub(super) fn gossip_to_all(&mut self) {
        self.peers().iter().for_each(|vm| self.gossip_to(vm));
    }

    pub(super) fn peers(&self) -> Vec<Vm> {
        let others = self.view.live(Role::Daemon).filter(|vm| vm.id != self.me.daemon);
        others.cloned().collect()
    }

    pub(super) fn take_gossip(&mut self, cx: CX![], stream: StreamId, gossip: &Gossip) {
        let sender = &gossip.sender;
        if gossip.config_revision > self.config_revision {
            let address = sender.address.clone();
            call!([self.links.configuration], heard_of(gossip.config_revision, address));
        }
        if sender.zone == self.me.zone {
            self.poll.merge_remote(gossip.list_age);
        }
        self.learn(cx, sender);
        if self.view.get(&sender.id).is_some_and(|it| it != sender) {
            // The sender was taken for gone: it learns so by the answer.
            self.view.republish(&sender.id);
        }
        for vm in &gossip.vms {
            self.learn(cx, vm);
        }
        for suspect in &gossip.suspects {
            self.take_suspect(cx, suspect);
        }
        self.repair(&sender.address, gossip.digest);
        let answered = self.probes.remove(&stream);
        if let Some(id) = answered {
            self.liveness.answered(&id);
        } else if stream.is_remote() {
            let frame = Frame::Gossip(self.message());
            self.transport.command(Command::Send { stream, frame });
        }
        self.transport.command(Command::Finish { stream });
    }

    /// Tells a peer that knows something else the last changes.
    fn repair(&mut self, address: &str, digest: u64) {
        let vms = self.view.repair(digest, self.rounds);
        if vms.is_empty() {
            return;
        }
        let message = Gossip { vms, ..self.message() };
        let stream = self.open(address, Frame::Gossip(message));
        self.questions.extend(stream);
    }

    /// Asks some peers to tell one that doesn't answer that it is suspected.
    fn suspect(&mut self, id: &str, incarnation: u64) {
        let Some(vm) = self.view.get(id) else { return };
        let address = vm.address.clone();
        spdlog::info!("daemon suspected", kv: { vm = id, incarnation = incarnation });
        let suspect = Suspect { id: id.to_owned(), incarnation, address, relay: true };
        let others = self.peers().into_iter().filter(|vm| vm.id != id);
        let helpers: Vec<Vm> = others.sample(&mut rand::rng(), HELPERS);
        for helper in helpers {
            let message = Gossip { suspects: vec![suspect.clone()], ..self.message() };
            let stream = self.open(&helper.address, Frame::Gossip(message));
            self.questions.extend(stream);
        }
    }

    fn take_suspect(&mut self, cx: CX![], suspect: &Suspect) {
        if suspect.id == self.me.daemon {
            if suspect.incarnation >= self.me.incarnation {
                self.refute_up_to(cx, suspect.incarnation);
            }
            return;
        }
        if suspect.relay {
            let told = Suspect { relay: false, ..suspect.clone() };
            let message = Gossip { suspects: vec![told], ..self.message() };
            let stream = self.open(&suspect.address, Frame::Gossip(message));
            self.questions.extend(stream);
        }
    }

    fn gossip_to(&mut self, vm: &Vm) {
        let frame = Frame::Gossip(self.message());
        if let Some(stream) = self.open(&vm.address, frame) {
            self.probes.insert(stream, vm.id.clone());
        }
    }

    fn gossip_to_seeds(&mut self) {
        for address in self.some_addresses(PEERS_PER_ROUND) {
            let frame = Frame::Gossip(self.message());
            let stream = self.open(&address, frame);
            self.questions.extend(stream);
        }
    }

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

    fn count_misses(&mut self) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (stream, id) in std::mem::take(&mut self.probes) {
            self.transport.command(Command::Finish { stream });
            if let Some(vm) = self.view.get(&id) {
                verdicts.push(self.liveness.missed(&id, vm.incarnation));
            }
        }
        verdicts
    }
}
