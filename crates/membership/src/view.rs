//! The merged view of all VMs.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::lifecycle::Chart;
use crate::update::Role;
use crate::update::State;
use crate::update::Vm;

/// Number of peers to which a change is passed on before it is dropped from
/// gossip.
const SPREAD: u32 = 8;
/// Most changes in one message.
const CHANGES_PER_MESSAGE: usize = 32;

/// The merged view of all VMs.
#[derive(Clone, Debug)]
pub struct View {
    chart: Chart,
    vms: BTreeMap<String, Vm>,
    spreading: BTreeMap<String, u32>,
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
        View { chart, vms: BTreeMap::new(), spreading: BTreeMap::new() }
    }

    /// Merges what a list, a notice or a peer says.
    ///
    /// Invariant: a newer incarnation wins; within one incarnation a VM goes
    /// moves along its chart and never back.
    pub fn merge(&mut self, vm: &Vm) -> Change {
        if let Some(known) = self.vms.get(&vm.id)
            && !self.follows(known, vm)
        {
            return Change::Stale;
        }
        self.vms.insert(vm.id.clone(), vm.clone());
        self.spreading.insert(vm.id.clone(), SPREAD);
        Change::Changed
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

    /// The changes that the next message to a peer carries.
    pub fn take_changes(&mut self) -> Vec<Vm> {
        let ids: Vec<String> = self.spreading.keys().take(CHANGES_PER_MESSAGE).cloned().collect();
        for id in &ids {
            self.count_down(id);
        }
        ids.iter().filter_map(|id| self.vms.get(id).cloned()).collect()
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
