//! One placement round: reads a snapshot of the fleet, plans, and orders VMs.

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

use crate::daemon::placement::Placement;
use crate::daemon::placement::RING_NAME;
use crate::daemon::placement::Response;
use crate::daemon::placement::Target;

/// Sizing rule: capacity for the sequences in the system plus this multiple of
/// the square root of their number.
const SIZING_RULE: Rule = Rule::SquareRoot { factor: 2.0 };
/// Assumed number of concurrent sequences per VM until an endpoint has reported
/// its capacity.
const DEFAULT_SLOTS: u32 = 16;
/// Fraction of the required VMs that must remain after the loss of an
/// availability zone.
const SURVIVING_FRACTION: f64 = 0.7;
/// Number of VMs per service and round that are ordered to load their model. It
/// limits the load on the weight store.
const MODEL_LOADS_PER_ROUND: usize = 4;
/// Maximum number of endpoints queried for their load in a round.
const MAX_LOAD_QUERIES: usize = 64;

/// Data on which a round bases its decisions.
pub struct Snapshot {
    vms: Vec<Vm>,
    offers: Vec<Offer>,
    loads: BTreeMap<String, Load>,
}

/// Returns the daemon that should acquire the placement lease.
pub fn candidate(vms: &[Vm]) -> Option<&str> {
    let live = vms.iter().filter(|vm| vm.role == Role::Daemon && vm.state == State::Live);
    policy::ring::owner(RING_NAME, live.map(|vm| vm.id.as_str()))
}

/// Reads the lease row, and writes it if the lease must be renewed, acquired or
/// released. Returns `None` if the row can't be read.
pub fn lease(
    client: &Client,
    now: Duration,
    previous: Option<Observation>,
    me: &str,
    is_candidate: bool,
    is_releasing: bool,
) -> Option<Response> {
    let read = client.read(lease::KEY).ok()?;
    let row: Row = if read.value.is_empty() {
        Row::default()
    } else {
        serde_json::from_str(&read.value).ok()?
    };
    let observation = lease::observe(now, previous, read.version);
    let next = match lease::step(now, &row, &observation, me, is_candidate) {
        Step::Write(next) if is_releasing => Some(Row { holder: String::new(), ..next }),
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
    Some(Response::LeaseRead { version: read.version, written })
}

/// Orders a start and returns whether it succeeded. A lost response counts as a
/// rejection: if the VM was started, it appears in the VM list.
pub fn start(client: &Client, order: &Start) -> bool {
    client.start(order).is_ok()
}

impl Placement {
    /// Queries the platform for its offers and the endpoints for their load.
    pub(super) fn read_snapshot(&self, vms: Vec<Vm>) {
        let responses = self.responses.clone();
        let placed: Vec<String> =
            self.placed_services().map(|service| service.name.clone()).collect();
        self.worker.queue(move |client| {
            let Ok(offers) = client.offers() else { return };
            let endpoints =
                vms.iter().filter(|vm| placed.contains(&vm.service) && is_live_endpoint(vm));
            let queried = endpoints.take(MAX_LOAD_QUERIES);
            let loads = queried.filter_map(|vm| {
                load::poll(&vm.address, None).load.map(|load| (vm.id.clone(), load))
            });
            let loads = loads.collect();
            responses.send(Response::Snapshot(Snapshot { vms, offers, loads }));
        });
    }

    /// Plans every service and orders the changes from its present VMs.
    pub(super) fn place(&mut self, cx: CX![], snapshot: &Snapshot) {
        if self.fence.is_none() {
            return;
        }
        let now = self.now(cx);
        let services: Vec<Service> = self.placed_services().cloned().collect();
        for service in services {
            let vms = placed_vms(&service.name, snapshot);
            let requirement = requirement(&service, snapshot);
            let view = View { vms: &vms, offers: &snapshot.offers, requirement };
            let planner = self.planners.entry(service.name.clone()).or_default();
            for order in planner.plan(now, &view) {
                self.execute(&service.name, order, requirement);
            }
            self.load_models(&service, snapshot);
        }
    }

    /// Returns the services whose VMs this system starts and stops.
    fn placed_services(&self) -> impl Iterator<Item = &Service> {
        self.catalog.services.values().map(|it| &it.object).filter(|it| it.max_vms > 0)
    }

    fn execute(&mut self, service: &str, order: Order, requirement: Requirement) {
        match order {
            Order::Start(offer, reason) => {
                spdlog::info!("placed", kv: {
                    service = service,
                    zone = offer.zone.as_str(),
                    class = offer.class.as_str(),
                    reclaimable = offer.reclaimable,
                    reason: ? = reason,
                    needed = requirement.vms,
                    left_after_loss = requirement.left_after_loss,
                });
                self.start(service, offer);
            }
            Order::Stop(vm, reason) => {
                spdlog::info!("stopped vm", kv: {
                    service = service,
                    vm = vm.id.as_str(),
                    reason: ? = reason,
                    needed = requirement.vms,
                });
                self.worker.queue(move |client| {
                    // If the order is lost, a later round repeats it.
                    let _ = client.stop(&vm.id, vm.incarnation);
                });
            }
        }
    }

    /// Orders engines to load the model unless they have already been ordered to
    /// under the current fencing token.
    fn load_models(&mut self, service: &Service, snapshot: &Snapshot) {
        let Some(fence) = self.fence else { return };
        if service.kind != Kind::Model {
            return;
        }
        let live = snapshot.vms.iter();
        let live = live.filter(|vm| vm.service == service.name && vm.state == State::Live);
        let unloaded: Vec<&Vm> = live
            .filter(|vm| !self.load_orders.contains(&target(vm)))
            .take(MODEL_LOADS_PER_ROUND)
            .collect();
        for vm in unloaded {
            let (responses, address) = (self.responses.clone(), vm.address.clone());
            let (model, target) = (service.name.clone(), target(vm));
            self.load_orders.insert(target.clone());
            self.worker.queue(move |_| {
                let accepted = load::request_model(&address, fence, &model);
                responses.send(Response::ModelOrdered { target, accepted });
            });
        }
    }
}

/// Computes how many VMs a service requires for its current load.
fn requirement(service: &Service, snapshot: &Snapshot) -> Requirement {
    let vms = snapshot.vms.iter().filter(|vm| vm.service == service.name);
    let loads: Vec<&Load> = vms.filter_map(|vm| snapshot.loads.get(&vm.id)).collect();
    let in_system: u32 = loads.iter().map(|load| load.running + load.waiting).sum();
    let slots = loads.iter().map(|load| load.capacity).max().unwrap_or(DEFAULT_SLOTS);
    let demand = Demand { in_system: f64::from(in_system), ..Demand::default() };
    let vms = vms_needed(SIZING_RULE, &demand, slots).clamp(service.min_vms, service.max_vms);
    let surviving = (f64::from(vms) * SURVIVING_FRACTION).floor() as u32;
    // Spreading over zones must not start more VMs than `max_vms` allows.
    let left_after_loss = surviving.min(service.max_vms.saturating_sub(1));
    Requirement { vms, left_after_loss }
}

/// Returns the live VMs of a service as the planner's input.
fn placed_vms(service: &str, snapshot: &Snapshot) -> Vec<plan::Vm> {
    let vms = snapshot.vms.iter().filter(|vm| vm.service == service && is_live_endpoint(vm));
    vms.map(|vm| {
        // The membership record doesn't say whether a VM is reclaimable. This is
        // inferred from the offer with the same zone and price.
        let is_same = |it: &&Offer| it.zone == vm.zone && it.price_per_hour == vm.price_per_hour;
        let offer = snapshot.offers.iter().find(is_same);
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

fn is_live_endpoint(vm: &Vm) -> bool {
    vm.role == Role::Endpoint && vm.state == State::Live
}

fn target(vm: &Vm) -> Target {
    Target { vm: vm.id.clone(), incarnation: vm.incarnation }
}
