//! Orders that lead from the VMs there are to the VMs there should be.

use std::collections::BTreeMap;
use std::time::Duration;

use store::vm::Offer;

use crate::mix;
use crate::mix::Need;

/// First pause of an offer after a refusal; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause of an offer.
const LONGEST_PAUSE: Duration = Duration::from_secs(300);
/// Time for which fewer VMs must suffice before one is stopped.
const SHRINK_AFTER: Duration = Duration::from_secs(120);
/// Most starts in one round.
const STARTS_PER_ROUND: usize = 16;

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
    /// Price in currency units an hour.
    pub price_per_hour: f64,
}

/// What a plan is made from.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// VMs that are live or starting; leaving ones don't count.
    pub vms: &'a [Vm],
    /// What the platform offers.
    pub offers: &'a [Offer],
    /// What is needed.
    pub need: Need,
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// There are too few VMs for the load.
    Load,
    /// There are enough, but the loss of an availability zone would leave too few.
    Spread,
    /// Fewer have sufficed for some time.
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

/// What is remembered from round to round.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pauses: BTreeMap<String, Pause>,
    surplus_since: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Duration,
    length: Duration,
}

impl Planner {
    /// Orders of this round. `now` is the time since the planner began.
    pub fn plan(&mut self, now: Duration, view: &View<'_>) -> Vec<Order> {
        let usable: Vec<Offer> =
            view.offers.iter().filter(|offer| !self.is_paused(now, offer)).cloned().collect();
        let starts = starts(view, &usable);
        if !starts.is_empty() {
            self.surplus_since = None;
            return starts;
        }
        self.shrink(now, view).into_iter().collect()
    }

    /// The platform refused to start a VM of this offer: it pauses.
    pub fn refused(&mut self, now: Duration, offer: &Offer) {
        let before = self.pauses.get(&name(offer)).map(|it| it.length * 2);
        let length = before.unwrap_or(FIRST_PAUSE).min(LONGEST_PAUSE);
        self.pauses.insert(name(offer), Pause { until: now + length, length });
    }

    /// The platform started a VM of this offer.
    pub fn started(&mut self, offer: &Offer) {
        self.pauses.remove(&name(offer));
    }

    fn is_paused(&self, now: Duration, offer: &Offer) -> bool {
        self.pauses.get(&name(offer)).is_some_and(|it| now < it.until)
    }

    /// Stops one VM when even without it the need is met for long enough.
    fn shrink(&mut self, now: Duration, view: &View<'_>) -> Option<Order> {
        let spare = dearest_spare(view);
        let Some(spare) = spare else {
            self.surplus_since = None;
            return None;
        };
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < SHRINK_AFTER {
            return None;
        }
        self.surplus_since = None;
        Some(Order::Stop(spare, Reason::Surplus))
    }
}

/// Starts that lead towards the cheapest mix.
fn starts(view: &View<'_>, usable: &[Offer]) -> Vec<Order> {
    let mut vms = view.vms.to_vec();
    let mut orders = Vec::new();
    while orders.len() < STARTS_PER_ROUND {
        let reason = match missing(&vms, &view.need) {
            Some(reason) => reason,
            None => break,
        };
        let Some(offer) = next_offer(&vms, usable, &view.need, reason) else { break };
        vms.push(placed(&offer));
        orders.push(Order::Start(offer, reason));
    }
    orders
}

fn missing(vms: &[Vm], need: &Need) -> Option<Reason> {
    let count = vms.len() as u32;
    if count < need.vms {
        return Some(Reason::Load);
    }
    (count - largest_loss(vms) < need.left_after_loss).then_some(Reason::Spread)
}

/// The offer of the cheapest mix of which most is missing.
fn next_offer(vms: &[Vm], usable: &[Offer], need: &Need, reason: Reason) -> Option<Offer> {
    let counts = mix::cheapest(usable, need)?;
    let lacking = counts.iter().filter_map(|(at, wanted)| {
        let offer = &usable[*at];
        let there = vms.iter().filter(|vm| is_of(vm, offer)).count() as u32;
        (*wanted > there).then(|| (*wanted - there, offer))
    });
    let best = lacking.max_by(|(one, a), (other, b)| {
        one.cmp(other).then(b.price_per_hour.total_cmp(&a.price_per_hour))
    });
    if let Some((_, offer)) = best {
        return Some(offer.clone());
    }
    // The mix is there, but VMs of other offers tip the balance of zones.
    let worst = worst_zone(vms);
    let helps = |offer: &&Offer| {
        reason == Reason::Load || !offer.reclaimable || Some(&offer.zone) != worst.as_ref()
    };
    let offers = usable.iter().filter(helps);
    offers.min_by(|one, other| one.price_per_hour.total_cmp(&other.price_per_hour)).cloned()
}

/// The dearest VM without which the need is still met.
fn dearest_spare(view: &View<'_>) -> Option<Vm> {
    let mut by_price = view.vms.to_vec();
    by_price.sort_by(|one, other| other.price_per_hour.total_cmp(&one.price_per_hour));
    by_price.into_iter().find(|vm| {
        let rest: Vec<Vm> = view.vms.iter().filter(|it| it.id != vm.id).cloned().collect();
        missing(&rest, &view.need).is_none()
    })
}

fn largest_loss(vms: &[Vm]) -> u32 {
    zones(vms).into_values().max().unwrap_or(0)
}

fn worst_zone(vms: &[Vm]) -> Option<String> {
    let counted = zones(vms).into_iter().max_by_key(|(_, count)| *count)?;
    Some(counted.0)
}

fn zones(vms: &[Vm]) -> BTreeMap<String, u32> {
    let mut zones = BTreeMap::new();
    for vm in vms.iter().filter(|vm| vm.reclaimable) {
        *zones.entry(vm.zone.clone()).or_default() += 1;
    }
    zones
}

fn is_of(vm: &Vm, offer: &Offer) -> bool {
    vm.zone == offer.zone && vm.reclaimable == offer.reclaimable
}

fn placed(offer: &Offer) -> Vm {
    Vm {
        id: String::new(),
        incarnation: 0,
        zone: offer.zone.clone(),
        reclaimable: offer.reclaimable,
        price_per_hour: offer.price_per_hour,
    }
}

fn name(offer: &Offer) -> String {
    format!("{}/{}/{}", offer.zone, offer.class, offer.reclaimable)
}
