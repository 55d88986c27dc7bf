//! Orders for endpoints against a simulated cloud with reclaim waves.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use duty::order::Capacity;
use duty::order::Kind;
use duty::order::Order;
use duty::order::Origin;
use duty::order::Planner;
use route::config::Scale;
use route::config::ZonePrice;

const BOOT: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(500);
const ZONES: [(&str, f64); 4] = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
const RECLAIMABLE_PRICE: f64 = 0.22;

/// A reclaim wave that takes all reclaimable endpoints of a zone.
struct Wave {
    zone: &'static str,
    at_s: f64,
    /// How long no reclaimable capacity is available in any zone.
    outage_s: f64,
}

/// A simulated cloud that boots and reclaims endpoints.
struct Cloud {
    start: Instant,
    now: Instant,
    present: BTreeMap<String, Capacity>,
    booting: Vec<(Instant, String, Kind)>,
    outage_until: Instant,
    /// Endpoint seconds weighted by price.
    cost: f64,
    peak_on_demand: u32,
    /// Seconds with fewer engines than the load needs.
    underprovisioned_s: f64,
}

#[test]
fn steady_load_is_served_by_reclaimable_endpoints() {
    let cloud = simulate(60.0, 2.5, &[]);

    assert_eq!(cloud.on_demand(), 0);
    assert_eq!(cloud.underprovisioned_s, 0.0);
    // Twelve endpoints on demand would have cost 712.
    assert!(cloud.cost < 200.0, "{}", cloud.cost);
}

#[test]
fn on_demand_endpoints_bridge_waves_without_reclaimable_capacity() {
    let waves = [
        Wave { zone: "a", at_s: 10.0, outage_s: 14.0 },
        Wave { zone: "b", at_s: 16.0, outage_s: 14.0 },
        Wave { zone: "c", at_s: 22.0, outage_s: 14.0 },
    ];

    let cloud = simulate(80.0, 3.0, &waves);

    assert!(cloud.underprovisioned_s < 5.0, "{}", cloud.underprovisioned_s);
    assert!(cloud.peak_on_demand > 0);
    assert_eq!(cloud.on_demand(), 0, "on-demand endpoints are released after the waves");
}

/// Guards against on-demand endpoints that use up the limits: reclaimable ones
/// had no room to replace them, so they were never released.
#[test]
fn on_demand_endpoints_are_released_after_a_load_above_the_limits() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    cloud.run(&mut planner, 15.0, 40.0, &[]);

    cloud.run(&mut planner, 60.0, 2.0, &[]);

    assert_eq!(cloud.on_demand(), 0);
}

#[test]
fn a_new_holder_keeps_the_fleet_of_the_previous_holder() {
    let mut cloud = Cloud::new();
    cloud.run(&mut Planner::default(), 20.0, 4.0, &[]);
    let before = cloud.reclaimable();

    cloud.run(&mut Planner::default(), 10.0, 4.0, &[]);

    assert!(cloud.reclaimable() >= before, "{} of {before}", cloud.reclaimable());
    assert_eq!(cloud.underprovisioned_s, 0.0);
}

/// Guards against a new holder that does not know the load yet and releases the
/// endpoints that bridge a wave.
#[test]
fn a_new_holder_releases_nothing_before_it_knows_the_load() {
    let mut cloud = Cloud::new();
    let waves = ["a", "b", "c", "d"].map(|zone| Wave { zone, at_s: 10.0, outage_s: 40.0 });
    cloud.run(&mut Planner::default(), 20.0, 4.0, &waves);
    // The wave is over in one zone; the others still lack capacity.
    cloud.present.get_mut("a").unwrap().reclaimable = 1;
    let before = cloud.on_demand();

    cloud.run(&mut Planner::default(), 5.0, 0.0, &[]);

    assert!(before > 0);
    assert_eq!(cloud.on_demand(), before);
}

/// Guards against a new holder that treats the endpoints left by a wave as all that
/// are needed, and releases endpoints of the unaffected zones.
#[test]
fn a_new_holder_in_a_wave_keeps_the_unaffected_zones() {
    let mut cloud = Cloud::new();
    cloud.run(&mut Planner::default(), 20.0, 6.0, &[]);
    let waves = ["a", "b"].map(|zone| Wave { zone, at_s: 20.0, outage_s: 20.0 });
    let before = cloud.present["c"].reclaimable;

    cloud.run(&mut Planner::default(), 6.0, 0.5, &waves);

    assert!(before > 2);
    assert_eq!((cloud.present["a"].reclaimable, cloud.present["c"].reclaimable), (0, before));
}

/// Guards against a loss of capacity at the limits: on-demand endpoints were
/// released as soon as their replacements were ordered, but the limits left no
/// room for these and none started.
#[test]
fn on_demand_endpoints_at_the_limits_are_replaced_zone_by_zone() {
    let waves = ["a", "b", "c", "d"].map(|zone| Wave { zone, at_s: 20.0, outage_s: 16.0 });
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    cloud.run(&mut planner, 34.0, 17.0, &waves);
    let bridged = cloud.on_demand();
    cloud.underprovisioned_s = 0.0;

    cloud.run(&mut planner, 40.0, 17.0, &waves);

    assert_eq!(bridged, 23);
    assert_eq!(cloud.underprovisioned_s, 0.0);
    assert_eq!((cloud.on_demand(), cloud.reclaimable()), (0, 24));
}

/// Guards against an idle fleet being scaled down to a few endpoints before its
/// first callers connect.
#[test]
fn an_idle_fleet_is_kept_for_its_first_callers() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    cloud.run(&mut planner, 30.0, 0.0, &[]);

    cloud.run(&mut planner, 10.0, 10.0, &[]);

    assert_eq!(cloud.underprovisioned_s, 0.0);
    assert_eq!(cloud.on_demand(), 0, "reclaimable endpoints replaced them");
}

/// Guards against a fleet without reclaimable endpoints being scaled down to the
/// minimum before its first callers connect.
#[test]
fn an_on_demand_fleet_is_kept_until_its_load_is_known() {
    let only_on_demand = Scale { reclaimable_price: None, ..scale() };
    let present: BTreeMap<String, Capacity> = Cloud::new().present;
    let start = Instant::now();
    let mut planner = Planner::default();
    let smallest = |orders: &[Order]| orders.iter().map(|it| it.count).min().unwrap_or(3);

    let idle = planner.plan(&only_on_demand, &present, 0.0, start);
    let soon = planner.plan(&only_on_demand, &present, 2.0, start + Duration::from_secs(20));
    let later = planner.plan(&only_on_demand, &present, 2.0, start + Duration::from_secs(60));

    assert_eq!((smallest(&idle), smallest(&soon)), (3, 3), "{idle:?} {soon:?}");
    assert!(smallest(&later) < 3, "{later:?}");
}

#[test]
fn on_demand_endpoints_stay_until_reclaimable_ones_replace_them() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    // The load is averaged and rises with a delay.
    cloud.run(&mut planner, 2.0, 0.5, &[]);

    cloud.run(&mut planner, 2.0, 7.0, &[]);

    assert_eq!(cloud.underprovisioned_s, 0.0);
}

/// Guards against a holder that takes the fleet that a wave has left for the initial
/// deployment, and releases it because it has not seen the load yet.
#[test]
fn a_new_holder_keeps_on_demand_endpoints_that_were_ordered() {
    let found: BTreeMap<String, Capacity> = ZONES
        .iter()
        .zip([17, 18, 16, 17])
        .map(|((zone, _), on_demand)| ((*zone).to_owned(), Capacity { on_demand, reclaimable: 0 }))
        .collect();
    let scale = Scale { max: 40, ..scale() };
    let start = Instant::now();
    let mut planner = Planner::new(Origin::Orders);

    let mut orders = Vec::new();
    for step in 0..120 {
        // The first callers come back after a few seconds.
        let busy = if step < 8 { 0.0 } else { 51.0 };
        orders.extend(planner.plan(&scale, &found, busy, start + step * STEP));
    }

    let released = orders.iter().filter(|it| it.kind == Kind::OnDemand);
    let released: Vec<_> = released.filter(|it| it.count < found[&it.zone].on_demand).collect();
    assert!(released.is_empty(), "{released:?}");
}

#[test]
fn a_plan_states_what_it_was_decided_from() {
    let waves = [Wave { zone: "a", at_s: 20.0, outage_s: 10.0 }];
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();

    cloud.run(&mut planner, 22.0, 6.0, &waves);
    let basis = planner.basis();

    assert_eq!((basis.busy, basis.peak, basis.need), (6.0, 8.0, 8));
    assert_eq!(basis.serving.reclaimable, cloud.reclaimable());
    assert_eq!((basis.waves.as_slice(), basis.is_load_known), (["a".to_owned()].as_slice(), true));
}

fn simulate(seconds: f64, busy: f64, waves: &[Wave]) -> Cloud {
    let mut cloud = Cloud::new();
    cloud.run(&mut Planner::default(), seconds, busy, waves);
    cloud
}

impl Cloud {
    /// Creates a cloud with three on-demand endpoints in each zone.
    fn new() -> Cloud {
        let now = Instant::now();
        let present = Capacity { on_demand: 3, reclaimable: 0 };
        Cloud {
            start: now,
            now,
            present: ZONES.iter().map(|(zone, _)| ((*zone).to_owned(), present)).collect(),
            booting: Vec::new(),
            outage_until: now,
            cost: 0.0,
            peak_on_demand: 0,
            underprovisioned_s: 0.0,
        }
    }

    fn run(&mut self, planner: &mut Planner, seconds: f64, busy: f64, waves: &[Wave]) {
        let scale = scale();
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            self.boot();
            self.reclaim(waves);
            for order in planner.plan(&scale, &self.present, busy, self.now) {
                let needs_more = order.count > self.present[&order.zone].reclaimable;
                let is_unavailable = self.now < self.outage_until && needs_more;
                if order.kind == Kind::Reclaimable && is_unavailable {
                    planner.order_rejected(&order, self.now);
                    continue;
                }
                self.execute(&order.zone, order.kind, order.count);
                planner.order_accepted(&order, self.now);
            }
            self.record(busy);
            self.now += STEP;
        }
    }

    fn execute(&mut self, zone: &str, kind: Kind, count: u32) {
        let here = self.present.get_mut(zone).expect("the zone exists");
        let running = match kind {
            Kind::OnDemand => &mut here.on_demand,
            Kind::Reclaimable => &mut here.reclaimable,
        };
        *running = (*running).min(count);
        self.booting.retain(|(_, of, it)| of != zone || *it != kind);
        // The limit applies to both kinds together. An order above it is
        // accepted but starts no further endpoints.
        let booting = self.booting.iter().filter(|(_, of, _)| of == zone).count() as u32;
        let here = self.present[zone];
        let room = scale().max.saturating_sub(here.on_demand + here.reclaimable + booting);
        let running = match kind {
            Kind::OnDemand => here.on_demand,
            Kind::Reclaimable => here.reclaimable,
        };
        let missing = (count - running).min(room);
        let booted = (0..missing).map(|_| (self.now + BOOT, zone.to_owned(), kind));
        self.booting.extend(booted);
    }

    fn boot(&mut self) {
        for (at, zone, kind) in std::mem::take(&mut self.booting) {
            if at > self.now {
                self.booting.push((at, zone, kind));
                continue;
            }
            let here = self.present.entry(zone).or_default();
            match kind {
                Kind::OnDemand => here.on_demand += 1,
                Kind::Reclaimable => here.reclaimable += 1,
            }
        }
    }

    fn reclaim(&mut self, waves: &[Wave]) {
        let elapsed_s = (self.now - self.start).as_secs_f64();
        for wave in waves {
            if elapsed_s >= wave.at_s && elapsed_s < wave.at_s + STEP.as_secs_f64() {
                self.present.entry(wave.zone.to_owned()).or_default().reclaimable = 0;
                let outage_end = self.now + Duration::from_secs_f64(wave.outage_s);
                self.outage_until = self.outage_until.max(outage_end);
            }
        }
    }

    fn record(&mut self, busy: f64) {
        let step_s = STEP.as_secs_f64();
        for (zone, price) in ZONES {
            let here = self.present[zone];
            let units = f64::from(here.on_demand) + f64::from(here.reclaimable) * RECLAIMABLE_PRICE;
            self.cost += units * price * step_s;
        }
        self.peak_on_demand = self.peak_on_demand.max(self.on_demand());
        if f64::from(self.on_demand() + self.reclaimable()) < busy {
            self.underprovisioned_s += step_s;
        }
    }

    fn on_demand(&self) -> u32 {
        self.present.values().map(|it| it.on_demand).sum()
    }

    fn reclaimable(&self) -> u32 {
        self.present.values().map(|it| it.reclaimable).sum()
    }
}

fn scale() -> Scale {
    Scale {
        min: 1,
        max: 6,
        boot_ms: BOOT.as_millis() as u64,
        reclaimable_price: Some(RECLAIMABLE_PRICE),
        zones: ZONES
            .iter()
            .map(|(zone, price)| ZonePrice { zone: (*zone).to_owned(), price: *price })
            .collect(),
    }
}
