//! Orders that reconcile a service's current VMs with its requirement.

use std::collections::BTreeMap;
use std::time::Duration;

use store::vm::Offer;

use crate::mix;
use crate::mix::Requirement;

/// Initial backoff of an offer after the platform rejects a start; doubles with
/// each further rejection.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum backoff of an offer.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// How long fewer VMs must suffice before one is stopped.
const SHRINK_DELAY: Duration = Duration::from_secs(120);
/// Maximum number of starts per round.
const MAX_STARTS_PER_ROUND: usize = 16;

/// A VM of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Vm {
    /// Name.
    pub id: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Price, in currency units per hour.
    pub price_per_hour: f64,
}

/// Input of a planning round.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// VMs that are live or starting, without those that are leaving.
    pub vms: &'a [Vm],
    /// Offers of the platform.
    pub offers: &'a [Offer],
    /// Requirement to meet.
    pub requirement: Requirement,
}

/// Reason for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too few VMs for the load.
    Load,
    /// Enough VMs, but the loss of an availability zone would leave too few.
    Spread,
    /// Fewer VMs have sufficed for some time.
    Surplus,
}

/// An order to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a VM of this offer.
    Start(Offer, Reason),
    /// Stop this VM.
    Stop(Vm, Reason),
}

/// Plans the VMs of a service; keeps state between rounds.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Backoffs by `backoff_key`.
    backoffs: BTreeMap<String, Backoff>,
    surplus_since: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    duration: Duration,
}

impl Planner {
    /// Returns the orders of a round. `now` must be measured from the same point in time
    /// in all calls.
    pub fn plan(&mut self, now: Duration, view: &View<'_>) -> Vec<Order> {
        let usable: Vec<Offer> =
            view.offers.iter().filter(|offer| !self.is_backing_off(now, offer)).cloned().collect();
        let starts = starts(view, &usable);
        if !starts.is_empty() {
            self.surplus_since = None;
            return starts;
        }
        self.shrink(now, view).into_iter().collect()
    }

    /// Records that the platform rejected the start of a VM of this offer, and backs off.
    pub fn record_rejection(&mut self, now: Duration, offer: &Offer) {
        let doubled = self.backoffs.get(&backoff_key(offer)).map(|it| it.duration * 2);
        let duration = doubled.unwrap_or(INITIAL_BACKOFF).min(MAX_BACKOFF);
        self.backoffs.insert(backoff_key(offer), Backoff { until: now + duration, duration });
    }

    /// Records that the platform started a VM of this offer, and resets its backoff.
    pub fn record_start(&mut self, offer: &Offer) {
        self.backoffs.remove(&backoff_key(offer));
    }

    fn is_backing_off(&self, now: Duration, offer: &Offer) -> bool {
        self.backoffs.get(&backoff_key(offer)).is_some_and(|it| now < it.until)
    }

    /// Stops a VM once the requirement could have been met without it for long
    /// enough.
    fn shrink(&mut self, now: Duration, view: &View<'_>) -> Option<Order> {
        let Some(spare) = most_expensive_spare(view) else {
            self.surplus_since = None;
            return None;
        };
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < SHRINK_DELAY {
            return None;
        }
        self.surplus_since = None;
        Some(Order::Stop(spare, Reason::Surplus))
    }
}

/// Returns the orders to start VMs that bring the service closer to the cheapest mix.
fn starts(view: &View<'_>, usable: &[Offer]) -> Vec<Order> {
    let mut vms = view.vms.to_vec();
    let mut orders = Vec::new();
    while orders.len() < MAX_STARTS_PER_ROUND {
        let Some(reason) = shortfall(&vms, &view.requirement) else { break };
        let Some(offer) = next_offer(&vms, usable, &view.requirement, reason) else { break };
        vms.push(planned_vm(&offer));
        orders.push(Order::Start(offer, reason));
    }
    orders
}

/// Returns why `vms` don't meet the requirement, or `None` if they do.
fn shortfall(vms: &[Vm], requirement: &Requirement) -> Option<Reason> {
    let count = vms.len() as u32;
    if count < requirement.vms {
        return Some(Reason::Load);
    }
    (count - largest_zone_loss(vms) < requirement.left_after_loss).then_some(Reason::Spread)
}

/// Returns the offer of the cheapest mix with the most missing VMs. If none is
/// missing, returns the cheapest offer that makes up the shortfall.
fn next_offer(
    vms: &[Vm],
    usable: &[Offer],
    requirement: &Requirement,
    reason: Reason,
) -> Option<Offer> {
    let counts = mix::cheapest(usable, requirement)?;
    let missing = counts.iter().filter_map(|(index, target)| {
        let offer = &usable[*index];
        let current = vms.iter().filter(|vm| matches_offer(vm, offer)).count() as u32;
        (*target > current).then(|| (*target - current, offer))
    });
    let most_missing = missing.max_by(|(left, left_offer), (right, right_offer)| {
        left.cmp(right).then(right_offer.price_per_hour.total_cmp(&left_offer.price_per_hour))
    });
    if let Some((_, offer)) = most_missing {
        return Some(offer.clone());
    }
    // The mix is complete, but VMs of other offers unbalance the zones.
    let fullest = fullest_zone(vms);
    let helps = |offer: &&Offer| {
        reason == Reason::Load || !offer.reclaimable || Some(&offer.zone) != fullest.as_ref()
    };
    let offers = usable.iter().filter(helps);
    offers.min_by(|left, right| left.price_per_hour.total_cmp(&right.price_per_hour)).cloned()
}

/// Returns the most expensive VM without which the requirement is still met.
fn most_expensive_spare(view: &View<'_>) -> Option<Vm> {
    let mut by_price = view.vms.to_vec();
    by_price.sort_by(|left, right| right.price_per_hour.total_cmp(&left.price_per_hour));
    by_price.into_iter().find(|vm| {
        let remaining: Vec<Vm> = view.vms.iter().filter(|it| it.id != vm.id).cloned().collect();
        shortfall(&remaining, &view.requirement).is_none()
    })
}

fn largest_zone_loss(vms: &[Vm]) -> u32 {
    reclaimable_by_zone(vms).into_values().max().unwrap_or(0)
}

/// Returns the zone with the most reclaimable VMs.
fn fullest_zone(vms: &[Vm]) -> Option<String> {
    let (zone, _) = reclaimable_by_zone(vms).into_iter().max_by_key(|(_, count)| *count)?;
    Some(zone)
}

/// Counts the reclaimable VMs of each zone.
fn reclaimable_by_zone(vms: &[Vm]) -> BTreeMap<String, u32> {
    let mut zones = BTreeMap::new();
    for vm in vms.iter().filter(|vm| vm.reclaimable) {
        *zones.entry(vm.zone.clone()).or_default() += 1;
    }
    zones
}

fn matches_offer(vm: &Vm, offer: &Offer) -> bool {
    vm.zone == offer.zone && vm.reclaimable == offer.reclaimable
}

fn planned_vm(offer: &Offer) -> Vm {
    Vm {
        id: String::new(),
        incarnation: 0,
        zone: offer.zone.clone(),
        reclaimable: offer.reclaimable,
        price_per_hour: offer.price_per_hour,
    }
}

fn backoff_key(offer: &Offer) -> String {
    format!("{}/{}/{}", offer.zone, offer.class, offer.reclaimable)
}
