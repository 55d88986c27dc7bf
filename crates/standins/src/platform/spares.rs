//! VMs that run already and wait to be "started", since this stand-in starts
//! no processes. What is offered are the kinds of all spares ever given.

use std::sync::Mutex;
use std::sync::MutexGuard;

use store::vm::Offer;
use store::vm::Start;
use store::vm::Vm;

/// Spare VMs and the starts asked for.
#[derive(Debug, Default)]
pub struct Spares {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    waiting: Vec<Vm>,
    offers: Vec<Offer>,
    starts: Vec<Start>,
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
        state.waiting.push(vm);
    }

    /// Takes a spare of the wanted kind; a repeated order gets the same VM.
    pub fn take(&self, order: &Start) -> Option<Vm> {
        let mut state = self.state();
        state.starts.push(order.clone());
        let known = state.started.iter().find(|(token, _)| *token == order.token);
        if let Some((_, vm)) = known {
            return Some(vm.clone());
        }
        let fits = |vm: &Vm| {
            vm.service == order.service
                && vm.zone == order.zone
                && vm.class == order.class
                && vm.reclaimable == order.reclaimable
        };
        let at = state.waiting.iter().position(fits)?;
        let vm = state.waiting.remove(at);
        state.started.push((order.token.clone(), vm.clone()));
        Some(vm)
    }

    /// Kinds of VMs that are offered.
    pub fn offers(&self) -> Vec<Offer> {
        self.state().offers.clone()
    }

    /// Starts asked for, in order.
    pub fn starts(&self) -> Vec<Start> {
        self.state().starts.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
