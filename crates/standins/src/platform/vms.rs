//! The VM list, which shows changes after a lag, and the reclaim notices.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use store::vm::Notice;
use store::vm::Page;
use store::vm::State;
use store::vm::Vm;

use crate::platform::Reclaim;

/// VM list of the stand-in.
#[derive(Debug, Default)]
pub struct List {
    lag: Duration,
    state: Mutex<Changes>,
}

#[derive(Debug, Default)]
struct Changes {
    log: Vec<Change>,
    notices: Vec<Issued>,
}

#[derive(Debug)]
struct Change {
    visible_at: Instant,
    vm: Vm,
}

#[derive(Debug)]
struct Issued {
    vm: String,
    incarnation: u64,
    deadline: Instant,
}

impl List {
    /// A list that shows each change after `lag`.
    pub fn new(lag: Duration) -> List {
        List { lag, state: Mutex::default() }
    }

    /// Adds or changes a VM.
    pub fn add(&self, vm: Vm) {
        let change = Change { visible_at: Instant::now() + self.lag, vm };
        self.changes().log.push(change);
    }

    /// Issues notices for VMs and shows them as leaving, after the lag.
    pub fn reclaim(&self, order: &Reclaim) {
        let deadline = Instant::now() + Duration::from_millis(order.notice_ms);
        for id in &order.vms {
            let Some(vm) = self.latest(id) else { continue };
            let issued = Issued { vm: id.clone(), incarnation: vm.incarnation, deadline };
            self.changes().notices.push(issued);
            self.add(Vm { state: State::Leaving, ..vm });
        }
    }

    /// Shows a VM as leaving, after the lag, without a notice.
    pub fn leave(&self, id: &str, incarnation: u64) {
        if let Some(vm) = self.latest(id).filter(|vm| vm.incarnation == incarnation) {
            self.add(Vm { state: State::Leaving, ..vm });
        }
    }

    /// What became visible after a revision. The revision counts changes.
    pub fn page(&self, since: u64) -> Page {
        let now = Instant::now();
        let changes = self.changes();
        let visible = changes.log.iter().take_while(|change| change.visible_at <= now);
        let vms: Vec<Vm> = visible.skip(since as usize).map(|change| change.vm.clone()).collect();
        Page { revision: since + vms.len() as u64, vms }
    }

    /// Notices with a number larger than `after`.
    pub fn notices(&self, after: u64) -> Vec<Notice> {
        let now = Instant::now();
        let numbered = (1_u64..)
            .zip(&self.changes().notices)
            .map(|(sequence, issued)| Notice {
                sequence,
                vm: issued.vm.clone(),
                incarnation: issued.incarnation,
                left_ms: issued.deadline.saturating_duration_since(now).as_millis() as u64,
            })
            .collect::<Vec<_>>();
        numbered.into_iter().filter(|notice| notice.sequence > after).collect()
    }

    fn latest(&self, id: &str) -> Option<Vm> {
        self.changes().log.iter().rev().find(|change| change.vm.id == id).map(|it| it.vm.clone())
    }

    fn changes(&self) -> MutexGuard<'_, Changes> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
