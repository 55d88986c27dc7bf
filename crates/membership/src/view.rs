//! Merged view of all VMs.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use statechart::Label;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lifecycle::Chart;
use crate::update::Role;
use crate::update::State;
use crate::update::Vm;

/// Number of messages that carry a change before it is dropped from gossip.
pub const TRANSMISSIONS_PER_CHANGE: u32 = 16;
/// Maximum number of VMs in a repair: those that changed most recently.
const RECENT_CHANGES: usize = 256;
/// Initial backoff between repairs, in rounds.
const MIN_REPAIR_BACKOFF_ROUNDS: u64 = 2;
/// Maximum backoff between repairs, in rounds.
const MAX_REPAIR_BACKOFF_ROUNDS: u64 = 64;
/// Maximum number of changes in one message.
pub const CHANGES_PER_MESSAGE: usize = 24;

/// Merged view of all VMs.
#[derive(Clone, Debug)]
pub struct View {
    chart: Chart,
    vms: BTreeMap<String, Vm>,
    /// Remaining transmissions of each change by VM.
    pending: BTreeMap<String, u32>,
    /// Incarnations for which a notice was received, possibly before the VM was
    /// known.
    noticed: BTreeMap<String, u64>,
    /// VMs that changed most recently, the latest at the end.
    recent: VecDeque<String>,
    /// Hash over all VMs, equal for equal views.
    digest: u64,
    message_count: u64,
    next_repair_round: u64,
    repair_backoff: u64,
}

/// Effect of an update on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No effect: the update was already known or outdated.
    Stale,
    /// The view changed.
    Changed,
}

impl View {
    /// Creates an empty view whose VMs follow the given chart.
    pub fn new(chart: Chart) -> View {
        View {
            recent: VecDeque::new(),
            digest: 0,
            message_count: 0,
            next_repair_round: 0,
            repair_backoff: MIN_REPAIR_BACKOFF_ROUNDS,
            chart,
            vms: BTreeMap::new(),
            pending: BTreeMap::new(),
            noticed: BTreeMap::new(),
        }
    }

    /// Merges a record from the VM list, a notice or a peer.
    ///
    /// Invariant: a newer incarnation wins. Within one incarnation a VM only moves
    /// forward along its chart.
    pub fn merge(&mut self, vm: &Vm) -> Change {
        if let Some(known) = self.vms.get(&vm.id)
            && !self.is_newer(known, vm)
        {
            return Change::Stale;
        }
        self.insert(vm.clone());
        self.pending.insert(vm.id.clone(), TRANSMISSIONS_PER_CHANGE);
        self.record_change(&vm.id);
        self.repair_backoff = MIN_REPAIR_BACKOFF_ROUNDS;
        Change::Changed
    }

    /// Merges a record from the first read of a list.
    ///
    /// The record is not gossiped, since all other daemons read the same list. A
    /// repair sends it if a digest shows that a peer does not know it.
    pub fn merge_initial(&mut self, vm: &Vm) -> Change {
        if self.vms.get(&vm.id).is_some_and(|known| !self.is_newer(known, vm)) {
            return Change::Stale;
        }
        self.insert(vm.clone());
        self.record_change(&vm.id);
        Change::Changed
    }

    /// Merges a notice of the platform for an incarnation, which may not be known
    /// yet since the VM list lags.
    pub fn merge_notice(&mut self, id: &str, incarnation: u64) -> Change {
        let latest = self.noticed.get(id).copied().unwrap_or(0).max(incarnation);
        self.noticed.insert(id.to_owned(), latest);
        self.advance_state(id, incarnation, State::Leaving)
    }

    /// Moves an incarnation of a VM to a later state, if that incarnation is
    /// known.
    pub fn advance_state(&mut self, id: &str, incarnation: u64, state: State) -> Change {
        let Some(known) = self.vms.get(id) else { return Change::Stale };
        if known.incarnation != incarnation {
            return Change::Stale;
        }
        let vm = Vm { state, ..known.clone() };
        self.merge(&vm)
    }

    /// Gossips the record of a VM again after a peer has shown that it does not
    /// know it.
    pub fn republish(&mut self, id: &str) {
        if self.vms.contains_key(id) {
            self.pending.insert(id.to_owned(), TRANSMISSIONS_PER_CHANGE);
        }
    }

    /// Returns a hash over all VMs, which is equal for equal views.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the latest changes if a peer with the given digest needs a repair.
    ///
    /// Nothing is returned if the digests are equal, while changes are being
    /// gossiped anyway, or during the backoff after the previous repair.
    pub fn repair(&mut self, digest: u64, round: u64) -> Vec<Vm> {
        if digest == self.digest || round < self.next_repair_round || !self.pending.is_empty() {
            return Vec::new();
        }
        self.next_repair_round = round + self.repair_backoff;
        self.repair_backoff = (2 * self.repair_backoff).min(MAX_REPAIR_BACKOFF_ROUNDS);
        self.recent.iter().filter_map(|id| self.vms.get(id).cloned()).collect()
    }

    /// Returns a VM by name.
    pub fn get(&self, id: &str) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// Returns all VMs of a role that are not gone, ordered by name.
    pub fn present(&self, role: Role) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.role == role && vm.state != State::Gone)
    }

    /// Returns the VMs of a role that accept work, ordered by name.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.role == role && vm.state == State::Live)
    }

    /// Takes the changes for the next message to a peer. VMs that accept no more
    /// work come first, then the changes that were sent least often.
    pub fn take_changes(&mut self) -> Vec<Vm> {
        self.message_count += 1;
        let mut changes: Vec<(&Vm, u32)> = self
            .pending
            .iter()
            .filter_map(|(id, remaining)| self.vms.get(id).map(|vm| (vm, *remaining)))
            .collect();
        // Daemons that send the same changes must not all choose the same subset.
        let shuffle = |vm: &Vm| xxh3_64_with_seed(vm.id.as_bytes(), self.message_count);
        changes.sort_by_key(|(vm, remaining)| {
            (vm.state == State::Live, Reverse(*remaining), shuffle(vm))
        });
        let taken = changes.iter().take(CHANGES_PER_MESSAGE).map(|(vm, _)| (*vm).clone());
        let taken: Vec<Vm> = taken.collect();
        for vm in &taken {
            self.record_transmission(&vm.id);
        }
        taken
    }

    /// Whether a change to a VM that accepts no more work is still being gossiped.
    pub fn has_urgent_changes(&self) -> bool {
        let vms = self.pending.keys().filter_map(|id| self.vms.get(id));
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

    fn record_change(&mut self, id: &str) {
        self.recent.retain(|it| it != id);
        self.recent.push_back(id.to_owned());
        if self.recent.len() > RECENT_CHANGES {
            self.recent.pop_front();
        }
    }

    /// Whether a record supersedes the known one of the same VM.
    fn is_newer(&self, known: &Vm, vm: &Vm) -> bool {
        match vm.incarnation.cmp(&known.incarnation) {
            Ordering::Less => false,
            Ordering::Equal => self.chart.is_reachable(known.state, vm.state),
            Ordering::Greater => true,
        }
    }

    fn record_transmission(&mut self, id: &str) {
        let Some(remaining) = self.pending.get_mut(id) else { return };
        *remaining -= 1;
        if *remaining == 0 {
            self.pending.remove(id);
        }
    }
}

/// Hashes a VM. One that is gone hashes like one that was never known.
fn hash(vm: &Vm) -> u64 {
    if vm.state == State::Gone {
        return 0;
    }
    xxh3_64(format!("{} {} {}", vm.id, vm.incarnation, vm.state.name()).as_bytes())
}
