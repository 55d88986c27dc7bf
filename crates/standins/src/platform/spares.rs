//! Spare VMs, which run already and wait to be "started", because the fake
//! cannot start processes. Offers cover the kinds of all spares ever added.

use std::sync::Mutex;
use std::sync::MutexGuard;

use store::vm::Offer;
use store::vm::Start;
use store::vm::Vm;

/// Spare VMs and the start orders received.
#[derive(Debug, Default)]
pub struct Spares {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    unused: Vec<Vm>,
    offers: Vec<Offer>,
    start_orders: Vec<Start>,
    /// Started VMs with the token of the order that started them.
    started: Vec<(String, Vm)>,
}

impl Spares {
    /// Adds a spare VM and offers its kind.
    pub fn add(&self, vm: Vm) {
        let mut state = self.state();
        let offer = Offer {
            zone: vm.zone.clone(),
            class: vm.class.clone(),
            reclaimable: vm.reclaimable,
            price_per_hour: vm.price_per_hour,
        };
        if !state.offers.contains(&offer) {
            state.offers.push(offer);
        }
        state.unused.push(vm);
    }

    /// Starts a spare VM that matches the order. A repeated order returns the same VM.
    pub fn start(&self, order: &Start) -> Option<Vm> {
        let mut state = self.state();
        state.start_orders.push(order.clone());
        let previous = state.started.iter().find(|(token, _)| *token == order.token);
        if let Some((_, vm)) = previous {
            return Some(vm.clone());
        }
        let matches = |vm: &Vm| {
            vm.service == order.service
                && vm.zone == order.zone
                && vm.class == order.class
                && vm.reclaimable == order.reclaimable
        };
        let index = state.unused.iter().position(matches)?;
        let vm = state.unused.remove(index);
        state.started.push((order.token.clone(), vm.clone()));
        Some(vm)
    }

    /// Returns the kinds of VMs on offer.
    pub fn offers(&self) -> Vec<Offer> {
        self.state().offers.clone()
    }

    /// Returns all start orders in the order received.
    pub fn start_orders(&self) -> Vec<Start> {
        self.state().start_orders.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
