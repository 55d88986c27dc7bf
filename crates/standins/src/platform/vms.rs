//! VM list that shows changes after a lag, and reclaim notices.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use store::vm::Notice;
use store::vm::Page;
use store::vm::State;
use store::vm::Vm;

use crate::platform::Reclaim;

/// VM list of the fake.
#[derive(Debug, Default)]
pub struct List {
    lag: Duration,
    history: Mutex<History>,
}

#[derive(Debug, Default)]
struct History {
    changes: Vec<Change>,
    reclamations: Vec<Reclamation>,
}

#[derive(Debug)]
struct Change {
    visible_at: Instant,
    vm: Vm,
}

#[derive(Debug)]
struct Reclamation {
    vm: String,
    incarnation: u64,
    deadline: Instant,
}

impl List {
    /// Creates a list that shows each change after `lag`.
    pub fn new(lag: Duration) -> List {
        List { lag, history: Mutex::default() }
    }

    /// Adds or updates a VM.
    pub fn put(&self, vm: Vm) {
        let change = Change { visible_at: Instant::now() + self.lag, vm };
        self.history().changes.push(change);
    }

    /// Issues reclaim notices at once and shows the VMs as leaving after the lag.
    pub fn reclaim(&self, order: &Reclaim) {
        let deadline = Instant::now() + Duration::from_millis(order.notice_ms);
        for id in &order.vms {
            let Some(vm) = self.latest(id) else { continue };
            let reclamation = Reclamation { vm: id.clone(), incarnation: vm.incarnation, deadline };
            self.history().reclamations.push(reclamation);
            self.put(Vm { state: State::Leaving, ..vm });
        }
    }

    /// Shows a VM as leaving after the lag, without a notice.
    pub fn mark_leaving(&self, id: &str, incarnation: u64) {
        if let Some(vm) = self.latest(id).filter(|vm| vm.incarnation == incarnation) {
            self.put(Vm { state: State::Leaving, ..vm });
        }
    }

    /// Returns the visible changes after a revision. The revision counts changes.
    pub fn changes_since(&self, since: u64) -> Page {
        let now = Instant::now();
        let history = self.history();
        let visible = history.changes.iter().take_while(|change| change.visible_at <= now);
        let vms: Vec<Vm> = visible.skip(since as usize).map(|change| change.vm.clone()).collect();
        Page { revision: since + vms.len() as u64, vms }
    }

    /// Returns the notices with a sequence number larger than `after`.
    pub fn notices(&self, after: u64) -> Vec<Notice> {
        let now = Instant::now();
        let numbered = (1_u64..)
            .zip(&self.history().reclamations)
            .map(|(sequence, reclamation)| Notice {
                sequence,
                vm: reclamation.vm.clone(),
                incarnation: reclamation.incarnation,
                left_ms: reclamation.deadline.saturating_duration_since(now).as_millis() as u64,
            })
            .collect::<Vec<_>>();
        numbered.into_iter().filter(|notice| notice.sequence > after).collect()
    }

    fn latest(&self, id: &str) -> Option<Vm> {
        self.history()
            .changes
            .iter()
            .rev()
            .find(|change| change.vm.id == id)
            .map(|it| it.vm.clone())
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
