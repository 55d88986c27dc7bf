//! How many endpoints to order, of which kind and where.
//!
//! Answers loads that change within minutes and waves that take all
//! reclaimable endpoints of a zone with seconds of notice: reclaimable ones
//! serve as long as they are to be had, with more of them than the load needs;
//! those on demand fill what a wave leaves open, and go when it is over.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use route::config::Scale;

use crate::demand::AVERAGED_OVER;

/// Part of an engine's time that load may take: above it, prompts wait behind
/// each other longer than callers' objectives allow.
const UTILISATION: f64 = 0.75;
/// Reclaimable endpoints ordered for each one needed: the loss of a zone
/// leaves enough until replacements serve.
const RECLAIMABLE_SPARE: f64 = 1.6;
/// Time for which endpoints on demand stay after they were last needed.
const KEEP_ON_DEMAND: Duration = Duration::from_secs(6);
/// Time for which fewer are not ordered after the load was higher.
const KEEP_LOAD: Duration = Duration::from_secs(15);
/// Time after the first plan in which further endpoints may show that were there
/// before; some of their heartbeats.
const ENTRIES_SETTLE: Duration = Duration::from_secs(4);
/// Heartbeats without a new endpoint after which a starting daemon takes the list
/// for complete, with a tenth for their way. A plan on fewer endpoints would send
/// the rest away.
pub const LIST_SETTLES_BEATS: f64 = 1.1;
/// Time after the first load in which a new holder of the lease learns it:
/// twice the time over which it is averaged.
const LOAD_SETTLES: Duration = AVERAGED_OVER.saturating_mul(2);
/// Time for which endpoints without any load are kept: longer than callers take
/// to come back after a restart of all daemons.
const IDLE_KEPT: Duration = Duration::from_secs(60);
/// Time between tries of an order that was refused.
const TRY_AGAIN: Duration = Duration::from_millis(4_000);
/// Time beyond the boot after which a missing endpoint is ordered again.
const OVERDUE: Duration = Duration::from_millis(1_500);

/// Kind of endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Stays until it is sent away.
    OnDemand,
    /// The cloud may take it back.
    Reclaimable,
}

/// An order: so many endpoints of a kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Kind.
    pub kind: Kind,
    /// Number wanted in all.
    pub count: u32,
}

/// Endpoints of a zone that serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// On demand.
    pub on_demand: u32,
    /// Reclaimable.
    pub reclaimable: u32,
}

/// What was ordered of a kind in a zone.
#[derive(Clone, Debug)]
struct Placed {
    count: u32,
    /// Endpoints of the order for which the limits left room: the cloud takes
    /// the order and starts no more.
    granted: u32,
    at: Instant,
    refused_until: Option<Instant>,
}

/// What a new holder of the lease found.
#[derive(Clone, Copy, Debug)]
struct Inherited {
    /// Endpoints of each zone.
    a_zone: u32,
    /// Whether a predecessor ordered them; else the service was installed so.
    is_ordered: bool,
    /// When it was first seen.
    since: Instant,
}

/// Orders of one service, by one holder of the lease.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    placed: BTreeMap<(String, Kind), Placed>,
    /// Reclaimable endpoints for which each zone had room at the last plan.
    rooms: BTreeMap<String, u32>,
    /// Highest recent need, and when it was seen.
    need: Option<(f64, Instant)>,
    /// What was there at the first plans.
    inherited: Option<Inherited>,
    /// When the first plan was made, and when the first load was seen.
    first_plan: Option<Instant>,
    first_load: Option<Instant>,
    /// Most endpoints on demand that were missing lately, and when.
    missing: Option<(u32, Instant)>,
}

impl Planner {
    /// Orders to give now. `busy` is the load in engines that it keeps busy.
    pub fn plan(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Present>,
        busy: f64,
        now: Instant,
    ) -> Vec<Order> {
        if busy > 0.0 {
            self.first_load.get_or_insert(now);
        }
        let inherited = self.inherited(scale, present, now);
        let mut need = self.need(busy / UTILISATION, scale, now);
        if scale.reclaimable_price.is_none() {
            // Nothing cheaper takes the place of what was found.
            need = need.max(inherited * scale.zones.len() as u32);
        }
        let reclaimable = reclaimable_a_zone(scale, need, inherited);
        self.rooms = rooms(scale, present);
        let mut on_demand = self.on_demand(scale, present, need, reclaimable, now);
        if let Some(zone) = self.zone_to_swap(scale, present, reclaimable, busy, now) {
            on_demand.insert(zone, 0);
        }
        let mut orders = Vec::new();
        for price in &scale.zones {
            let here = present.get(&price.zone).copied().unwrap_or_default();
            let on_demand = on_demand.get(&price.zone).copied().unwrap_or(0);
            let mut wanted = vec![(Kind::OnDemand, on_demand, here.on_demand)];
            if scale.reclaimable_price.is_some() {
                wanted.insert(0, (Kind::Reclaimable, reclaimable, here.reclaimable));
            }
            for (kind, count, serving) in wanted {
                if self.is_to_be_placed(scale, &price.zone, kind, count, serving, now) {
                    orders.push(Order { zone: price.zone.clone(), kind, count });
                }
            }
        }
        orders
    }

    /// Notes that an order was taken.
    pub fn taken(&mut self, order: &Order, now: Instant) {
        let room = match order.kind {
            Kind::OnDemand => order.count,
            Kind::Reclaimable => self.rooms.get(&order.zone).copied().unwrap_or(order.count),
        };
        let granted = order.count.min(room);
        let placed = Placed { count: order.count, granted, at: now, refused_until: None };
        self.placed.insert((order.zone.clone(), order.kind), placed);
    }

    /// Notes that an order was refused because nothing is to be had.
    pub fn refused(&mut self, order: &Order, now: Instant) {
        let key = (order.zone.clone(), order.kind);
        let nothing = Placed { count: 0, granted: 0, at: now, refused_until: None };
        let placed = self.placed.entry(key).or_insert(nothing);
        placed.refused_until = Some(now + TRY_AGAIN);
    }

    /// Endpoints needed: follows a rise at once, a fall late.
    fn need(&mut self, wanted: f64, scale: &Scale, now: Instant) -> u32 {
        let before = self.need.unwrap_or((wanted, now));
        let is_kept = before.0 > wanted && now < before.1 + KEEP_LOAD;
        let (need, at) = if is_kept { before } else { (wanted, now) };
        self.need = Some((need, at));
        let least = scale.min * scale.zones.len() as u32;
        (need.ceil() as u32).max(least)
    }

    /// Endpoints a zone that a new holder takes for needed from what it found,
    /// until it has seen the load for some time. Reclaimable ones are cheap
    /// enough to keep so many.
    fn inherited(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Present>,
        now: Instant,
    ) -> u32 {
        // A predecessor orders as many for each zone; a wave leaves some empty.
        let most = present.values().map(|it| it.reclaimable).max().unwrap_or(0);
        let on_demand: u32 = present.values().map(|it| it.on_demand).sum();
        let found = match most {
            0 => on_demand.div_ceil(scale.zones.len().max(1) as u32),
            _ => most,
        };
        let first = Inherited { a_zone: found, is_ordered: most > 0, since: now };
        let it = self.inherited.get_or_insert(first);
        if now < it.since + ENTRIES_SETTLE {
            it.a_zone = it.a_zone.max(found);
        }
        let it = *it;
        let is_kept = now < it.since + KEEP_LOAD || self.is_learning(now);
        if is_kept { it.a_zone } else { 0 }
    }

    /// Whether the load that the fleet is to carry is not known yet: nothing of
    /// the fleet is given up meanwhile.
    fn is_learning(&mut self, now: Instant) -> bool {
        let since = *self.first_plan.get_or_insert(now);
        match self.first_load {
            Some(it) => now < it + LOAD_SETTLES,
            None => now < since + IDLE_KEPT,
        }
    }

    /// Endpoints on demand by zone, the cheapest zones first.
    fn on_demand(
        &mut self,
        scale: &Scale,
        present: &BTreeMap<String, Present>,
        need: u32,
        reclaimable: u32,
        now: Instant,
    ) -> BTreeMap<String, u32> {
        let mut coming = 0;
        let mut rooms = Vec::new();
        for price in &scale.zones {
            let here = present.get(&price.zone).copied().unwrap_or_default();
            let booting = self.booting(scale, &price.zone, now);
            let ordered = self.about_to_boot(&price.zone, reclaimable);
            let expected = booting.max(ordered).max(here.reclaimable);
            coming += expected;
            // The limits hold for both kinds together; what is not to be had
            // leaves its room to the other kind.
            rooms.push((price, scale.max.saturating_sub(expected), here.on_demand));
        }
        let serving: u32 = present.values().map(|it| it.on_demand).sum();
        let others: u32 = present.values().map(|it| it.reclaimable).sum();
        // None is sent away before others serve in its place.
        let unreplaced = need.saturating_sub(others).min(serving);
        let mut left = self.kept_on_demand(need.saturating_sub(coming), now).max(unreplaced);
        if self.is_learning(now) {
            left = left.max(self.unreplaced(scale, present));
        }
        rooms.sort_by(|a, b| a.0.price.total_cmp(&b.0.price));
        let mut wanted = BTreeMap::new();
        // What is there stays where it is, as far as it is needed.
        for (price, room, there) in &rooms {
            let stays = (*there).min(left).min(*room);
            left -= stays;
            wanted.insert(price.zone.clone(), stays);
        }
        while left > 0 {
            let before = left;
            for (price, room, _) in &rooms {
                let count = wanted.entry(price.zone.clone()).or_default();
                if left > 0 && *count < *room {
                    *count += 1;
                    left -= 1;
                }
            }
            if left == before {
                break;
            }
        }
        wanted
    }

    /// Endpoints on demand to have: as many as are missing, or were lately.
    fn kept_on_demand(&mut self, missing: u32, now: Instant) -> u32 {
        let before = self.missing.filter(|(_, at)| now < *at + KEEP_ON_DEMAND);
        match before {
            Some((kept, _)) if kept > missing => kept,
            _ => {
                self.missing = Some((missing, now));
                missing
            }
        }
    }

    /// Endpoints on demand that stay while the load is learnt: all that a
    /// predecessor ordered, as they bridge a wave; of others those that serve
    /// and that no reclaimable ones replace yet.
    fn unreplaced(&self, scale: &Scale, present: &BTreeMap<String, Present>) -> u32 {
        let on_demand = present.values().map(|it| it.on_demand).sum();
        let Some(inherited) = self.inherited.filter(|it| !it.is_ordered) else { return on_demand };
        if self.first_load.is_none() {
            return 0;
        }
        let reclaimable: u32 = present.values().map(|it| it.reclaimable).sum();
        let found = inherited.a_zone * scale.zones.len() as u32;
        found.saturating_sub(reclaimable).min(on_demand)
    }

    /// Zone whose on-demand endpoints make room for reclaimable ones now: where
    /// the limits leave none, an order for those starts nothing. One zone at a
    /// time, and only while the others carry the load.
    fn zone_to_swap(
        &self,
        scale: &Scale,
        present: &BTreeMap<String, Present>,
        reclaimable: u32,
        busy: f64,
        now: Instant,
    ) -> Option<String> {
        let all: u32 = present.values().map(|it| it.on_demand + it.reclaimable).sum();
        let lacks_room = |zone: &&String| {
            let placed = self.placed.get(&((*zone).clone(), Kind::Reclaimable));
            placed.is_some_and(|it| it.refused_until.is_none() && it.granted < reclaimable)
        };
        let is_spare = |zone: &&String| {
            let here = present.get(*zone).copied().unwrap_or_default();
            here.on_demand > 0 && f64::from(all - here.on_demand) >= busy
        };
        let is_quiet = scale.zones.iter().all(|it| {
            let here = present.get(&it.zone).copied().unwrap_or_default();
            self.booting(scale, &it.zone, now) <= here.reclaimable
        });
        let mut zones: Vec<_> = scale.zones.iter().collect();
        zones.sort_by(|a, b| b.price.total_cmp(&a.price));
        let zone = zones.into_iter().map(|it| &it.zone).filter(lacks_room).find(is_spare)?;
        is_quiet.then(|| zone.clone())
    }

    /// Reclaimable endpoints of a zone that serve soon.
    fn booting(&self, scale: &Scale, zone: &str, now: Instant) -> u32 {
        let boot = Duration::from_millis(scale.boot_ms) + OVERDUE;
        let placed = self.placed.get(&(zone.to_owned(), Kind::Reclaimable));
        let is_booting = |it: &&Placed| it.refused_until.is_none() && now < it.at + boot;
        placed.filter(is_booting).map_or(0, |it| it.granted)
    }

    /// Reclaimable endpoints that the present plan orders for a zone, as far as
    /// nothing says that they are not to be had.
    fn about_to_boot(&self, zone: &str, count: u32) -> u32 {
        let granted = count.min(self.rooms.get(zone).copied().unwrap_or(0));
        let placed = self.placed.get(&(zone.to_owned(), Kind::Reclaimable));
        let is_new = placed.is_none_or(|it| it.refused_until.is_none() && granted > it.granted);
        if is_new { granted } else { 0 }
    }

    fn is_to_be_placed(
        &self,
        scale: &Scale,
        zone: &str,
        kind: Kind,
        count: u32,
        serving: u32,
        now: Instant,
    ) -> bool {
        let Some(placed) = self.placed.get(&(zone.to_owned(), kind)) else {
            return count != serving || kind == Kind::Reclaimable;
        };
        if placed.refused_until.is_some_and(|it| now < it) {
            return false;
        }
        if placed.refused_until.is_some() || placed.count != count {
            return true;
        }
        let room = match kind {
            Kind::OnDemand => placed.granted,
            Kind::Reclaimable => self.rooms.get(zone).copied().unwrap_or(placed.granted),
        };
        if count.min(room) > placed.granted {
            return true;
        }
        let boot = Duration::from_millis(scale.boot_ms) + OVERDUE;
        serving != count && now >= placed.at + boot
    }
}

/// Reclaimable endpoints for which the limits leave room beside those on demand.
fn rooms(scale: &Scale, present: &BTreeMap<String, Present>) -> BTreeMap<String, u32> {
    let room = |zone: &str| {
        let here = present.get(zone).copied().unwrap_or_default();
        scale.max.saturating_sub(here.on_demand)
    };
    scale.zones.iter().map(|it| (it.zone.clone(), room(&it.zone))).collect()
}

/// Reclaimable endpoints to order in each zone.
fn reclaimable_a_zone(scale: &Scale, need: u32, inherited: u32) -> u32 {
    if scale.reclaimable_price.is_none() {
        return 0;
    }
    let zones = scale.zones.len().max(1) as f64;
    let wanted = (f64::from(need) * RECLAIMABLE_SPARE / zones).ceil() as u32;
    wanted.max(inherited).clamp(scale.min, scale.max.max(scale.min))
}
