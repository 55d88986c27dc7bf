//! One round of placement: gather, plan, order.

use std::collections::BTreeMap;
use std::time::Duration;

use ::placement::lease;
use ::placement::lease::Observation;
use ::placement::lease::Row;
use ::placement::lease::Step;
use ::placement::mix::Requirement;
use ::placement::plan;
use ::placement::plan::Order;
use ::placement::plan::View;
use ::placement::size::Demand;
use ::placement::size::Rule;
use ::placement::size::vms_needed;
use config::object::Kind;
use config::object::Service;
use endpoint::load;
use endpoint::load::Load;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use stakker::CX;
use store::client::Client;
use store::table::Check;
use store::table::Put;
use store::table::Table;
use store::table::Transaction;
use store::vm::Cloud;
use store::vm::Offer;
use store::vm::Start;

use crate::daemon::placement::Answer;
use crate::daemon::placement::Ordered;
use crate::daemon::placement::Placement;
use crate::daemon::placement::RING_NAME;

/// Sizing: the sequences in the system and this multiple of their root more.
const RULE: Rule = Rule::SquareRoot { factor: 2.0 };
/// Sequences that a VM runs at once, as long as none has said.
const SLOTS_UNKNOWN: u32 = 16;
/// Part of the need that must outlast the loss of an availability zone.
const LEFT_AFTER_LOSS: f64 = 0.7;
/// Models that may be loaded at a time, for the weight store's sake.
const LOADS_PER_ROUND: usize = 4;
/// Endpoints asked for their load in a round.
const LOADS_ASKED: usize = 64;

/// What a round works with.
pub struct Gathered {
    vms: Vec<Vm>,
    offers: Vec<Offer>,
    loads: BTreeMap<String, Load>,
}

/// The daemon that should hold the lease.
pub fn candidate(vms: &[Vm]) -> Option<&str> {
    let live = vms.iter().filter(|vm| vm.role == Role::Daemon && vm.state == State::Live);
    policy::ring::owner(RING_NAME, live.map(|vm| vm.id.as_str()))
}

/// Reads the lease's row and writes it when that is due; `None` when it can't
/// be read.
pub fn lease(
    client: &Client,
    now: Duration,
    seen: Option<Observation>,
    me: &str,
    candidate: bool,
    releasing: bool,
) -> Option<Answer> {
    let read = client.read(lease::KEY).ok()?;
    let row: Row = if read.value.is_empty() {
        Row::default()
    } else {
        serde_json::from_str(&read.value).ok()?
    };
    let seen = lease::observe(now, seen, read.version);
    let next = match lease::step(now, &row, &seen, me, candidate) {
        Step::Write(next) if releasing => Some(Row { holder: String::new(), ..next }),
        Step::Write(next) => Some(next),
        Step::Skip => None,
    };
    let written = next.map(|next| {
        let value = serde_json::to_string(&next).unwrap_or_default();
        let transaction = Transaction {
            checks: vec![Check { key: lease::KEY.to_owned(), version: read.version }],
            puts: vec![Put { key: lease::KEY.to_owned(), value }],
            deletes: Vec::new(),
        };
        let result = client.commit(&transaction);
        (next, result)
    });
    Some(Answer::Leased { version: read.version, written })
}

/// Orders a start. A lost answer counts as refused: the VM, if there is one,
/// appears in the list.
pub fn start(client: &Client, order: &Start) -> bool {
    client.start(order).is_ok()
}

impl Placement {
    /// Asks the platform for its offers and endpoints for their load.
    pub(super) fn gather(&self, vms: Vec<Vm>) {
        let answers = self.answers.clone();
        let placed: Vec<String> = self.placed().map(|service| service.name.clone()).collect();
        self.worker.queue(move |client| {
            let Ok(offers) = client.offers() else { return };
            let ours = vms.iter().filter(|vm| placed.contains(&vm.service) && is_present(vm));
            let asked = ours.take(LOADS_ASKED);
            let loads = asked.filter_map(|vm| {
                load::ask(&vm.address, None).load.map(|load| (vm.id.clone(), load))
            });
            let loads = loads.collect();
            answers.send(Answer::Gathered(Gathered { vms, offers, loads }));
        });
    }

    /// Plans every service and orders the difference.
    pub(super) fn place(&mut self, cx: CX![], gathered: &Gathered) {
        if self.fence.is_none() {
            return;
        }
        let now = self.now(cx);
        let services: Vec<Service> = self.placed().cloned().collect();
        for service in services {
            let vms = placed_vms(&service.name, gathered);
            let need = need(&service, gathered);
            let view = View { vms: &vms, offers: &gathered.offers, requirement: need };
            let planner = self.planners.entry(service.name.clone()).or_default();
            for order in planner.plan(now, &view) {
                self.give(&service.name, order, need);
            }
            self.load_models(&service, gathered);
        }
    }

    fn placed(&self) -> impl Iterator<Item = &Service> {
        self.catalog.services.values().map(|it| &it.object).filter(|it| it.max_vms > 0)
    }

    fn give(&mut self, service: &str, order: Order, need: Requirement) {
        match order {
            Order::Start(offer, reason) => {
                spdlog::info!("placed", kv: {
                    service = service,
                    zone = offer.zone.as_str(),
                    class = offer.class.as_str(),
                    reclaimable = offer.reclaimable,
                    reason: ? = reason,
                    needed = need.vms,
                    left_after_loss = need.left_after_loss,
                });
                self.start(service, offer);
            }
            Order::Stop(vm, reason) => {
                spdlog::info!("stopped vm", kv: {
                    service = service,
                    vm = vm.id.as_str(),
                    reason: ? = reason,
                    needed = need.vms,
                });
                self.worker.queue(move |client| {
                    // A lost order is given again in a later round.
                    let _ = client.stop(&vm.id, vm.incarnation);
                });
            }
        }
    }

    /// Orders engines that were not ordered under this fence to load the model.
    fn load_models(&mut self, service: &Service, gathered: &Gathered) {
        let Some(fence) = self.fence else { return };
        if service.kind != Kind::Model {
            return;
        }
        let live = gathered.vms.iter();
        let live = live.filter(|vm| vm.service == service.name && vm.state == State::Live);
        let unordered: Vec<&Vm> =
            live.filter(|vm| !self.ordered.contains(&ordered(vm))).take(LOADS_PER_ROUND).collect();
        for vm in unordered {
            let (answers, address) = (self.answers.clone(), vm.address.clone());
            let (model, vm) = (service.name.clone(), ordered(vm));
            self.ordered.insert(vm.clone());
            self.worker.queue(move |_| {
                let done = load::order_model(&address, fence, &model);
                answers.send(Answer::Loaded { vm, done });
            });
        }
    }
}

fn need(service: &Service, gathered: &Gathered) -> Requirement {
    let ours = gathered.vms.iter().filter(|vm| vm.service == service.name);
    let loads: Vec<&Load> = ours.filter_map(|vm| gathered.loads.get(&vm.id)).collect();
    let in_system: u32 = loads.iter().map(|load| load.running + load.waiting).sum();
    let slots = loads.iter().map(|load| load.capacity).max().unwrap_or(SLOTS_UNKNOWN);
    let demand = Demand { in_system: f64::from(in_system), ..Demand::default() };
    let vms = vms_needed(RULE, &demand, slots).clamp(service.min_vms, service.max_vms);
    let left = (f64::from(vms) * LEFT_AFTER_LOSS).floor() as u32;
    // The spread may not take more VMs than the operators allow.
    let left_after_loss = left.min(service.max_vms.saturating_sub(1));
    Requirement { vms, left_after_loss }
}

fn placed_vms(service: &str, gathered: &Gathered) -> Vec<plan::Vm> {
    let ours = gathered.vms.iter().filter(|vm| vm.service == service && is_present(vm));
    ours.map(|vm| {
        // The list tells no market: the cheapest offer of that price does.
        let same = |it: &&Offer| it.zone == vm.zone && it.price_per_hour == vm.price_per_hour;
        let offer = gathered.offers.iter().find(same);
        plan::Vm {
            id: vm.id.clone(),
            incarnation: vm.incarnation,
            zone: vm.zone.clone(),
            reclaimable: offer.is_none_or(|it| it.reclaimable),
            price_per_hour: vm.price_per_hour,
        }
    })
    .collect()
}

fn is_present(vm: &Vm) -> bool {
    vm.role == Role::Endpoint && vm.state == State::Live
}

fn ordered(vm: &Vm) -> Ordered {
    Ordered { vm: vm.id.clone(), incarnation: vm.incarnation }
}
