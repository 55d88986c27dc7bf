//! The merged view of all VMs.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use statechart::Names;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lifecycle::Chart;
use crate::update::Role;
use crate::update::State;
use crate::update::Vm;

/// Messages that carry a change before it is dropped from gossip.
pub const SPREAD: u32 = 16;
/// Last changes that can be told again.
const RECENT: usize = 256;
/// Rounds after a repair in which there is no other, at first and at most.
const REPAIR_PAUSE: u64 = 2;
const REPAIR_PAUSE_LIMIT: u64 = 64;
/// Most changes in one message.
pub const CHANGES_PER_MESSAGE: usize = 24;

/// The merged view of all VMs.
#[derive(Clone, Debug)]
pub struct View {
    chart: Chart,
    vms: BTreeMap<String, Vm>,
    /// Messages that are still to carry a change.
    spreading: BTreeMap<String, u32>,
    /// Incarnations that were noticed before they were known.
    noticed: BTreeMap<String, u64>,
    /// VMs that changed last, the newest at the end.
    recent: VecDeque<String>,
    /// Sum over all VMs, the same wherever the same is known.
    digest: u64,
    messages: u64,
    repair_at: u64,
    repair_pause: u64,
}

/// What an update did to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was known or older than what is known.
    Stale,
    /// The view changed.
    Changed,
}

impl View {
    /// A view without VMs, in which VMs live as the chart says.
    pub fn new(chart: Chart) -> View {
        View {
            recent: VecDeque::new(),
            digest: 0,
            messages: 0,
            repair_at: 0,
            repair_pause: REPAIR_PAUSE,
            chart,
            vms: BTreeMap::new(),
            spreading: BTreeMap::new(),
            noticed: BTreeMap::new(),
        }
    }

    /// Merges what a list, a notice or a peer says.
    ///
    /// Invariant: a newer incarnation wins; within one incarnation a VM
    /// moves along its chart and never back.
    pub fn merge(&mut self, vm: &Vm) -> Change {
        if let Some(known) = self.vms.get(&vm.id)
            && !self.follows(known, vm)
        {
            return Change::Stale;
        }
        self.insert(vm.clone());
        self.spreading.insert(vm.id.clone(), SPREAD);
        self.remember(&vm.id);
        self.repair_pause = REPAIR_PAUSE;
        Change::Changed
    }

    /// Merges what a first read of a list says: everyone else has read it, so
    /// it isn't told.
    pub fn load(&mut self, vm: &Vm) -> Change {
        if self.vms.get(&vm.id).is_some_and(|known| !self.follows(known, vm)) {
            return Change::Stale;
        }
        self.insert(vm.clone());
        Change::Changed
    }

    /// The platform gave notice of an incarnation, which may not be known yet
    /// since the VM list lags.
    pub fn notice(&mut self, id: &str, incarnation: u64) -> Change {
        let newest = self.noticed.get(id).copied().unwrap_or(0).max(incarnation);
        self.noticed.insert(id.to_owned(), newest);
        self.mark(id, incarnation, State::Leaving)
    }

    /// Marks an incarnation of a VM with a later state, if it is known.
    pub fn mark(&mut self, id: &str, incarnation: u64, state: State) -> Change {
        let Some(known) = self.vms.get(id) else { return Change::Stale };
        if known.incarnation != incarnation {
            return Change::Stale;
        }
        let vm = Vm { state, ..known.clone() };
        self.merge(&vm)
    }

    /// Tells a change again, since a peer has shown that it doesn't know it.
    pub fn tell_again(&mut self, id: &str) {
        if self.vms.contains_key(id) {
            self.spreading.insert(id.to_owned(), SPREAD);
        }
    }

    /// Digest of all VMs, equal for equal views.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What to send to a peer with this digest in this round: the last
    /// changes, if it knows something else, nothing is being told anyway and
    /// it is not too soon.
    pub fn repair(&mut self, digest: u64, round: u64) -> Vec<Vm> {
        if digest == self.digest || round < self.repair_at || !self.spreading.is_empty() {
            return Vec::new();
        }
        self.repair_at = round + self.repair_pause;
        self.repair_pause = (2 * self.repair_pause).min(REPAIR_PAUSE_LIMIT);
        self.recent.iter().filter_map(|id| self.vms.get(id).cloned()).collect()
    }

    /// A VM by name.
    pub fn get(&self, id: &str) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// All VMs of a role that are not gone, in order of name.
    pub fn present(&self, role: Role) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.role == role && vm.state != State::Gone)
    }

    /// VMs of a role that take work, in order of name.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.role == role && vm.state == State::Live)
    }

    /// The changes that the next message to a peer carries: those that end
    /// work first, then those told least.
    pub fn take_changes(&mut self) -> Vec<Vm> {
        self.messages += 1;
        let mut changes: Vec<(&Vm, u32)> = self
            .spreading
            .iter()
            .filter_map(|(id, left)| self.vms.get(id).map(|vm| (vm, *left)))
            .collect();
        // Peers that tell the same changes must not all choose the same ones.
        let shuffle = |vm: &Vm| xxh3_64_with_seed(vm.id.as_bytes(), self.messages);
        changes.sort_by_key(|(vm, left)| (vm.state == State::Live, Reverse(*left), shuffle(vm)));
        let taken = changes.iter().take(CHANGES_PER_MESSAGE).map(|(vm, _)| (*vm).clone());
        let taken: Vec<Vm> = taken.collect();
        for vm in &taken {
            self.count_down(&vm.id);
        }
        taken
    }

    /// Whether a VM that takes no more work is still to be told of.
    pub fn has_urgent(&self) -> bool {
        let vms = self.spreading.keys().filter_map(|id| self.vms.get(id));
        vms.into_iter().any(|vm| vm.state != State::Live)
    }

    fn insert(&mut self, vm: Vm) {
        let is_noticed = self.noticed.get(&vm.id) == Some(&vm.incarnation);
        let state = if is_noticed { vm.state.max(State::Leaving) } else { vm.state };
        let vm = Vm { state, ..vm };
        self.digest ^= hash(&vm);
        if let Some(old) = self.vms.insert(vm.id.clone(), vm) {
            self.digest ^= hash(&old);
        }
    }

    fn remember(&mut self, id: &str) {
        self.recent.retain(|it| it != id);
        self.recent.push_back(id.to_owned());
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    fn follows(&self, known: &Vm, vm: &Vm) -> bool {
        match vm.incarnation.cmp(&known.incarnation) {
            Ordering::Less => false,
            Ordering::Equal => self.chart.leads(known.state, vm.state),
            Ordering::Greater => true,
        }
    }

    fn count_down(&mut self, id: &str) {
        let Some(left) = self.spreading.get_mut(id) else { return };
        *left -= 1;
        if *left == 0 {
            self.spreading.remove(id);
        }
    }
}

/// A VM that is gone counts like one that was never known.
fn hash(vm: &Vm) -> u64 {
    if vm.state == State::Gone {
        return 0;
    }
    xxh3_64(format!("{} {} {}", vm.id, vm.incarnation, vm.state.name()).as_bytes())
}
