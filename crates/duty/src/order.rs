//! Decides how many endpoints to order, of which kind and in which zone.
//!
//! The planner copes with loads that change within minutes and with reclaim
//! waves that take all reclaimable endpoints of a zone with seconds of notice.
//! Reclaimable endpoints carry the load while they are available and are
//! overprovisioned. On-demand endpoints replace what a wave took and are
//! released once it is over.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use route::config::Scale;

use crate::demand::AVERAGING_WINDOW;
pub use crate::fleet::Capacity;
pub use crate::fleet::Kind;
pub use crate::fleet::Order;
pub use crate::fleet::Origin;
use crate::fleet::headroom;
use crate::fleet::total;

/// Share of an engine's time that load may use. Above it, prompts queue for
/// longer than callers' objectives allow.
const TARGET_UTILISATION: f64 = 0.75;
/// Reclaimable endpoints ordered per endpoint needed: after the loss of a zone
/// enough are left until replacements serve.
const RECLAIMABLE_OVERPROVISION: f64 = 1.6;
/// How long on-demand endpoints are kept after they were last needed.
const ON_DEMAND_COOLDOWN: Duration = Duration::from_secs(6);
/// How long scaling down is delayed after a higher load.
pub(crate) const SCALE_DOWN_DELAY: Duration = Duration::from_secs(15);
/// Time after the first plan in which endpoints from before may still be
/// discovered: several of their heartbeats.
const DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// Heartbeat intervals without a new endpoint after which a starting daemon
/// treats its endpoint list as complete. A tenth of an interval allows for
/// latency. A plan made with fewer endpoints would release the others.
pub const LIST_SETTLE_HEARTBEATS: f64 = 1.1;
/// Time after the first load that a new lease holder needs to measure it: twice
/// the averaging window.
pub(crate) const LOAD_SETTLE_TIME: Duration = AVERAGING_WINDOW.saturating_mul(2);
/// How long endpoints are kept without any load: longer than callers take
/// to come back after a restart of all daemons.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Delay before a rejected order is retried.
const RETRY_DELAY: Duration = Duration::from_millis(4_000);
/// Time on top of the boot time after which a missing endpoint is ordered again.
const BOOT_MARGIN: Duration = Duration::from_millis(1_500);

/// Latest order of a kind in a zone.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) count: u32,
    /// Endpoints of the order that fit within the limits. The cloud accepts a
    /// larger order but starts no more than these.
    pub(crate) granted: u32,
    pub(crate) placed_at: Instant,
    /// When to retry, if the order was rejected.
    pub(crate) retry_at: Option<Instant>,
}

/// Fleet that a new lease holder found.
#[derive(Clone, Copy, Debug)]
struct Inheritance {
    /// Endpoints per zone.
    per_zone: u32,
    origin: Origin,
    first_seen_at: Instant,
}

/// What the latest plan was decided from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Basis {
    /// Load, as the number of engines that it keeps busy.
    pub busy: f64,
    /// Highest recent load, as the number of engines that serve it on time.
    pub peak: f64,
    /// Endpoints needed.
    pub need: u32,
    /// Serving endpoints.
    pub serving: Capacity,
    /// Endpoints needed beyond the reclaimable ones that serve or boot.
    pub shortfall: u32,
    /// Zones without reclaimable capacity.
    pub waves: Vec<String>,
    /// Whether the load was measured for long enough to scale down.
    pub is_load_known: bool,
}

/// Plans the orders of one service during one term of a lease holder.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    origin: Origin,
    pub(crate) placements: BTreeMap<(String, Kind), Placement>,
    /// Reclaimable endpoints that fit into each zone at the last plan.
    headroom: BTreeMap<String, u32>,
    /// Highest recent need, and when it was seen.
    pub(crate) peak_need: Option<(f64, Instant)>,
    /// Fleet found by the first plans.
    inheritance: Option<Inheritance>,
    first_plan_at: Option<Instant>,
    first_load_at: Option<Instant>,
    /// Highest recent shortfall that on-demand endpoints fill, and when it was
    /// seen.
    peak_shortfall: Option<(u32, Instant)>,
    basis: Basis,
}

impl Planner {
    /// Creates a planner for a fleet of the given origin.
    pub fn new(origin: Origin) -> Planner {
        Planner { origin, ..Planner::default() }
    }

    /// Returns what the latest plan was decided from.
    pub fn basis(&self) -> &Basis {
        &self.basis
    }

    /// Returns the orders to place now.
    ///
    /// `busy` is the load, expressed as the number of engines it keeps busy.
    /// `present` holds the serving endpoints by zone.
    pub fn plan(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Capacity>,
        busy: f64,
        now: Instant,
    ) -> Vec<Order> {
        if busy > 0.0 {
            self.first_load_at.get_or_insert(now);
        }
        let inherited = self.inherited_per_zone(scale, present, now);
        let mut need = self.need(busy / TARGET_UTILISATION, scale, now);
        if scale.reclaimable_price.is_none() {
            // There is nothing cheaper to replace the inherited fleet with.
            need = need.max(inherited * scale.zones.len() as u32);
        }
        let reclaimable = reclaimable_per_zone(scale, need, inherited);
        self.headroom = headroom(scale, present);
        let mut on_demand = self.on_demand_by_zone(scale, present, need, reclaimable, now);
        self.basis = self.describe(present, busy, need, now);
        if let Some(zone) = self.zone_to_swap(scale, present, &on_demand, reclaimable, busy, now) {
            on_demand.insert(zone, 0);
        }
        let mut reclaimable =
            self.reclaimable_by_zone(scale, present, need, reclaimable, &on_demand, now);
        if self.is_load_unknown(now) {
            self.keep_orders(scale, &mut on_demand, Kind::OnDemand);
            self.keep_orders(scale, &mut reclaimable, Kind::Reclaimable);
        }
        let mut orders = Vec::new();
        for price in &scale.zones {
            let here = present.get(&price.zone).copied().unwrap_or_default();
            let on_demand = on_demand.get(&price.zone).copied().unwrap_or(0);
            let mut wanted = vec![(Kind::OnDemand, on_demand, here.on_demand)];
            if scale.reclaimable_price.is_some() {
                let reclaimable = reclaimable.get(&price.zone).copied().unwrap_or(0);
                wanted.insert(0, (Kind::Reclaimable, reclaimable, here.reclaimable));
            }
            for (kind, count, serving) in wanted {
                if self.needs_order(scale, &price.zone, kind, count, serving, now) {
                    orders.push(Order { zone: price.zone.clone(), kind, count });
                }
            }
        }
        orders
    }

    /// Records that an order was accepted.
    pub fn order_accepted(&mut self, order: &Order, now: Instant) {
        let headroom = match order.kind {
            Kind::OnDemand => order.count,
            Kind::Reclaimable => self.headroom.get(&order.zone).copied().unwrap_or(order.count),
        };
        let granted = order.count.min(headroom);
        let placement = Placement { count: order.count, granted, placed_at: now, retry_at: None };
        self.placements.insert((order.zone.clone(), order.kind), placement);
    }

    /// Records that an order was rejected because no capacity is available.
    pub fn order_rejected(&mut self, order: &Order, now: Instant) {
        let key = (order.zone.clone(), order.kind);
        let empty = Placement { count: 0, granted: 0, placed_at: now, retry_at: None };
        let placement = self.placements.entry(key).or_insert(empty);
        placement.retry_at = Some(now + RETRY_DELAY);
    }

    fn describe(
        &mut self,
        present: &BTreeMap<String, Capacity>,
        busy: f64,
        need: u32,
        now: Instant,
    ) -> Basis {
        let rejected = self.placements.iter().filter(|(_, it)| it.retry_at.is_some());
        let waves = rejected.filter(|((_, kind), _)| *kind == Kind::Reclaimable);
        Basis {
            busy,
            peak: self.peak_need.map_or(0.0, |it| it.0),
            need,
            serving: total(present),
            shortfall: self.peak_shortfall.map_or(0, |it| it.0),
            waves: waves.map(|((zone, _), _)| zone.clone()).collect(),
            is_load_known: !self.is_measuring_load(now),
        }
    }

    /// Returns the number of endpoints needed. It follows a rise of the load at
    /// once and a fall after a delay.
    fn need(&mut self, wanted: f64, scale: &Scale, now: Instant) -> u32 {
        let peak = self.peak_need.unwrap_or((wanted, now));
        let is_kept = peak.0 > wanted && now < peak.1 + SCALE_DOWN_DELAY;
        let (need, at) = if is_kept { peak } else { (wanted, now) };
        self.peak_need = Some((need, at));
        let minimum = scale.min * scale.zones.len() as u32;
        (need.ceil() as u32).max(minimum)
    }

    /// Returns the number of endpoints per zone that a new lease holder assumes
    /// to be needed because it found them, until it has measured the load.
    /// Reclaimable endpoints are cheap enough to keep that many.
    fn inherited_per_zone(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Capacity>,
        now: Instant,
    ) -> u32 {
        // The previous holder ordered the same number in each zone, but a wave
        // may have emptied some zones.
        let most_reclaimable = present.values().map(|it| it.reclaimable).max().unwrap_or(0);
        let on_demand: u32 = present.values().map(|it| it.on_demand).sum();
        let found = match most_reclaimable {
            0 => on_demand.div_ceil(scale.zones.len().max(1) as u32),
            _ => most_reclaimable,
        };
        // The operators deploy no reclaimable endpoints where there is a choice.
        let origin = if most_reclaimable > 0 { Origin::Orders } else { self.origin };
        let first = Inheritance { per_zone: found, origin, first_seen_at: now };
        let inheritance = self.inheritance.get_or_insert(first);
        if now < inheritance.first_seen_at + DISCOVERY_TIME {
            inheritance.per_zone = inheritance.per_zone.max(found);
        }
        let inheritance = *inheritance;
        let is_kept =
            now < inheritance.first_seen_at + SCALE_DOWN_DELAY || self.is_measuring_load(now);
        if is_kept { inheritance.per_zone } else { 0 }
    }

    /// Whether the load is still being measured. The fleet is not scaled down
    /// meanwhile.
    fn is_measuring_load(&mut self, now: Instant) -> bool {
        let first_plan_at = *self.first_plan_at.get_or_insert(now);
        match self.first_load_at {
            Some(it) => now < it + LOAD_SETTLE_TIME,
            None => now < first_plan_at + IDLE_RETENTION,
        }
    }

    /// Raises the wanted endpoints to the numbers ordered. Endpoints of these orders may serve
    /// that this daemon has not heard of.
    fn keep_orders(&self, scale: &Scale, wanted: &mut BTreeMap<String, u32>, kind: Kind) {
        for price in &scale.zones {
            let ordered = self.placements.get(&(price.zone.clone(), kind));
            let ordered = ordered.map_or(0, |it| it.count).min(scale.max);
            let count = wanted.entry(price.zone.clone()).or_default();
            *count = ordered.max(*count);
        }
    }

    /// Whether endpoints serve a load that is not known yet.
    fn is_load_unknown(&mut self, now: Instant) -> bool {
        let is_ordered = self.inheritance.is_some_and(|it| it.origin == Origin::Orders);
        is_ordered && self.is_measuring_load(now)
    }

    /// Returns the wanted on-demand endpoints by zone. The cheapest zones are
    /// filled first.
    fn on_demand_by_zone(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Capacity>,
        need: u32,
        reclaimable: u32,
        now: Instant,
    ) -> BTreeMap<String, u32> {
        let mut expected_reclaimable = 0;
        let mut zones = Vec::new();
        for price in &scale.zones {
            let here = present.get(&price.zone).copied().unwrap_or_default();
            let booting = self.booting(scale, &price.zone, Kind::Reclaimable, now);
            let ordered = self.newly_ordered(&price.zone, reclaimable);
            let expected = booting.max(ordered).max(here.reclaimable);
            expected_reclaimable += expected;
            // The limits apply to both kinds together. Capacity that is not
            // available as one kind may be used by the other.
            let booting = self.booting(scale, &price.zone, Kind::OnDemand, now);
            let booting = booting.saturating_sub(here.on_demand);
            zones.push((price, scale.max.saturating_sub(expected), here.on_demand, booting));
        }
        let serving = total(present);
        // No endpoint is released before its replacement serves.
        let unreplaced = need.saturating_sub(serving.reclaimable).min(serving.on_demand);
        let shortfall = need.saturating_sub(expected_reclaimable);
        let mut remaining = self.recent_shortfall(shortfall, now).max(unreplaced);
        if self.is_measuring_load(now) {
            remaining = remaining.max(self.unreplaced_inheritance(scale, present));
        }
        zones.sort_by(|a, b| a.0.price.total_cmp(&b.0.price));
        let mut wanted = BTreeMap::new();
        // Running endpoints stay in their zones as far as they are needed.
        for (price, _, running, _) in &zones {
            let kept = (*running).min(remaining);
            remaining -= kept;
            wanted.insert(price.zone.clone(), kept);
        }
        // Booting ones may already serve unheard, so all are kept until enough are heard.
        let is_short = serving.on_demand + serving.reclaimable < need;
        for (price, _, _, booting) in &zones {
            let kept = if is_short { *booting } else { (*booting).min(remaining) };
            remaining = remaining.saturating_sub(kept);
            *wanted.entry(price.zone.clone()).or_default() += kept;
        }
        while remaining > 0 {
            let before = remaining;
            for (price, headroom, ..) in &zones {
                let count = wanted.entry(price.zone.clone()).or_default();
                if remaining > 0 && *count < *headroom {
                    *count += 1;
                    remaining -= 1;
                }
            }
            if remaining == before {
                break;
            }
        }
        wanted
    }

    /// Returns the wanted reclaimable endpoints by zone. Where `wanted` is less than what
    /// serves, a zone keeps what the load needs while other zones lack theirs.
    fn reclaimable_by_zone(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Capacity>,
        need: u32,
        wanted: u32,
        on_demand: &BTreeMap<String, u32>,
        now: Instant,
    ) -> BTreeMap<String, u32> {
        let kept = |(zone, it): (&String, &Capacity)| {
            it.on_demand.min(on_demand.get(zone).copied().unwrap_or(0)) + it.reclaimable
        };
        let mut spare = present.iter().map(kept).sum::<u32>().saturating_sub(need);
        if self.is_load_unknown(now) {
            spare = 0;
        }
        let mut by_zone = BTreeMap::new();
        for price in &scale.zones {
            let serving = present.get(&price.zone).map_or(0, |it| it.reclaimable);
            let released = serving.saturating_sub(wanted).min(spare);
            spare -= released;
            by_zone.insert(price.zone.clone(), wanted.max(serving - released));
        }
        by_zone
    }

    /// Returns the highest shortfall within the cooldown of on-demand endpoints.
    fn recent_shortfall(&mut self, shortfall: u32, now: Instant) -> u32 {
        let recent = self.peak_shortfall.filter(|(_, at)| now < *at + ON_DEMAND_COOLDOWN);
        match recent {
            Some((peak, _)) if peak > shortfall => peak,
            _ => {
                self.peak_shortfall = Some((shortfall, now));
                shortfall
            }
        }
    }

    /// Returns the number of on-demand endpoints to keep while the load is not
    /// known. All that a previous lease holder ordered are kept, since they
    /// bridge a wave. Those of the initial deployment are kept once there is
    /// load, until reclaimable endpoints have replaced them.
    fn unreplaced_inheritance(&self, scale: &Scale, present: &BTreeMap<String, Capacity>) -> u32 {
        let on_demand = present.values().map(|it| it.on_demand).sum();
        let is_deployed = |it: &Inheritance| it.origin == Origin::Deployment;
        let Some(inheritance) = self.inheritance.filter(is_deployed) else {
            return on_demand;
        };
        if self.first_load_at.is_none() {
            return 0;
        }
        let reclaimable: u32 = present.values().map(|it| it.reclaimable).sum();
        let found = inheritance.per_zone * scale.zones.len() as u32;
        found.saturating_sub(reclaimable).min(on_demand)
    }

    /// Returns the zone whose on-demand endpoints are to be replaced by
    /// reclaimable ones now.
    ///
    /// Where on-demand endpoints use up the limits, an order for reclaimable
    /// ones starts nothing. One zone is replaced at a time, and only while the
    /// other endpoints can carry the load.
    fn zone_to_swap(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Capacity>,
        on_demand: &BTreeMap<String, u32>,
        reclaimable: u32,
        busy: f64,
        now: Instant,
    ) -> Option<String> {
        if self.is_load_unknown(now) {
            return None;
        }
        let kept = |zone: &str| {
            let here = present.get(zone).copied().unwrap_or_default();
            here.on_demand.min(on_demand.get(zone).copied().unwrap_or(0))
        };
        let total = present.keys().map(|it| kept(it)).sum::<u32>() + total(present).reclaimable;
        let is_blocked = |zone: &&String| {
            let placement = self.placements.get(&((*zone).clone(), Kind::Reclaimable));
            placement.is_some_and(|it| it.retry_at.is_none() && it.granted < reclaimable)
        };
        let is_spare = |zone: &&String| {
            let is_running = present.get(*zone).is_some_and(|it| it.on_demand > 0);
            is_running && f64::from(total - kept(zone)) >= busy
        };
        let is_boot_complete = scale.zones.iter().all(|it| {
            let here = present.get(&it.zone).copied().unwrap_or_default();
            self.booting(scale, &it.zone, Kind::Reclaimable, now) <= here.reclaimable
        });
        let mut zones: Vec<_> = scale.zones.iter().collect();
        zones.sort_by(|a, b| b.price.total_cmp(&a.price));
        let zone = zones.into_iter().map(|it| &it.zone).filter(is_blocked).find(is_spare)?;
        is_boot_complete.then(|| zone.clone())
    }

    /// Returns the number of ordered endpoints of a zone if some may still be booting.
    fn booting(&self, scale: &Scale, zone: &str, kind: Kind, now: Instant) -> u32 {
        let boot_time = Duration::from_millis(scale.boot_ms) + BOOT_MARGIN;
        let placement = self.placements.get(&(zone.to_owned(), kind));
        let is_booting = |it: &&Placement| it.retry_at.is_none() && now < it.placed_at + boot_time;
        placement.filter(is_booting).map_or(0, |it| it.granted)
    }

    /// Returns the number of reclaimable endpoints of a zone that the current
    /// plan orders, or 0 if it orders no more than before or the last order was
    /// rejected.
    fn newly_ordered(&self, zone: &str, count: u32) -> u32 {
        let granted = count.min(self.headroom.get(zone).copied().unwrap_or(0));
        let placement = self.placements.get(&(zone.to_owned(), Kind::Reclaimable));
        let is_new = placement.is_none_or(|it| it.retry_at.is_none() && granted > it.granted);
        if is_new { granted } else { 0 }
    }

    /// Whether an order for `count` endpoints has to be placed, given what was
    /// ordered before and how many endpoints serve.
    fn needs_order(
        &self,
        scale: &Scale,
        zone: &str,
        kind: Kind,
        count: u32,
        serving: u32,
        now: Instant,
    ) -> bool {
        let Some(placement) = self.placements.get(&(zone.to_owned(), kind)) else {
            return count != serving || kind == Kind::Reclaimable;
        };
        if placement.retry_at.is_some_and(|it| now < it) {
            return false;
        }
        if placement.retry_at.is_some() || placement.count != count {
            return true;
        }
        let headroom = match kind {
            Kind::OnDemand => placement.granted,
            Kind::Reclaimable => self.headroom.get(zone).copied().unwrap_or(placement.granted),
        };
        if count.min(headroom) > placement.granted {
            return true;
        }
        let boot_time = Duration::from_millis(scale.boot_ms) + BOOT_MARGIN;
        serving != count && now >= placement.placed_at + boot_time
    }
}

/// Returns the number of reclaimable endpoints to order in each zone.
fn reclaimable_per_zone(scale: &Scale, need: u32, inherited: u32) -> u32 {
    if scale.reclaimable_price.is_none() {
        return 0;
    }
    let zones = scale.zones.len().max(1) as f64;
    let wanted = (f64::from(need) * RECLAIMABLE_OVERPROVISION / zones).ceil() as u32;
    wanted.max(inherited).clamp(scale.min, scale.max.max(scale.min))
}
