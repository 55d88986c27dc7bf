//! Orders for endpoints over a day with waves of reclaims.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use duty::order::Kind;
use duty::order::Order;
use duty::order::Planner;
use duty::order::Present;
use route::config::Scale;
use route::config::ZonePrice;

const BOOT: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(500);
const ZONES: [(&str, f64); 4] = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
const RECLAIMABLE_PRICE: f64 = 0.22;

/// A wave that takes the reclaimable endpoints of a zone.
struct Wave {
    zone: &'static str,
    at_s: f64,
    /// Time for which no reclaimable endpoint is to be had in any zone.
    dry_s: f64,
}

/// A cloud that boots and reclaims endpoints.
struct Cloud {
    start: Instant,
    now: Instant,
    present: BTreeMap<String, Present>,
    booting: Vec<(Instant, String, Kind)>,
    dry_until: Instant,
    /// Endpoint seconds weighed by price.
    paid: f64,
    most_on_demand: u32,
    /// Seconds with fewer engines than the load keeps busy.
    short_s: f64,
}

#[test]
fn calm_days_are_served_by_reclaimable_endpoints() {
    let cloud = play(60.0, 2.5, &[]);

    assert_eq!(cloud.on_demand(), 0);
    assert_eq!(cloud.short_s, 0.0);
    // Twelve endpoints on demand would have cost 712.
    assert!(cloud.paid < 200.0, "{}", cloud.paid);
}

#[test]
fn waves_that_leave_nothing_reclaimable_are_bridged_on_demand() {
    let waves = [
        Wave { zone: "a", at_s: 10.0, dry_s: 14.0 },
        Wave { zone: "b", at_s: 16.0, dry_s: 14.0 },
        Wave { zone: "c", at_s: 22.0, dry_s: 14.0 },
    ];

    let cloud = play(80.0, 3.0, &waves);

    assert!(cloud.short_s < 5.0, "{}", cloud.short_s);
    assert!(cloud.most_on_demand > 0);
    assert_eq!(cloud.on_demand(), 0, "they go when the waves are over");
}

/// On-demand endpoints took the room of reclaimable ones and stayed.
#[test]
fn a_load_above_the_limits_does_not_keep_endpoints_on_demand_afterwards() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    cloud.run(&mut planner, 15.0, 40.0, &[]);

    cloud.run(&mut planner, 60.0, 2.0, &[]);

    assert_eq!(cloud.on_demand(), 0);
}

#[test]
fn a_new_holder_keeps_what_its_predecessor_ordered() {
    let mut cloud = Cloud::new();
    cloud.run(&mut Planner::default(), 20.0, 4.0, &[]);
    let before = cloud.reclaimable();

    cloud.run(&mut Planner::default(), 10.0, 4.0, &[]);

    assert!(cloud.reclaimable() >= before, "{} of {before}", cloud.reclaimable());
    assert_eq!(cloud.short_s, 0.0);
}

/// A new holder that did not know the load yet gave up what bridged a wave.
#[test]
fn a_new_holder_gives_up_nothing_before_it_knows_the_load() {
    let mut cloud = Cloud::new();
    let waves = ["a", "b", "c", "d"].map(|zone| Wave { zone, at_s: 10.0, dry_s: 40.0 });
    cloud.run(&mut Planner::default(), 20.0, 4.0, &waves);
    // A wave is over in one zone; the others stay dry.
    cloud.present.get_mut("a").unwrap().reclaimable = 1;
    let before = cloud.on_demand();

    cloud.run(&mut Planner::default(), 5.0, 0.0, &[]);

    assert!(before > 0);
    assert_eq!(cloud.on_demand(), before);
}

/// A new holder took what a wave had left for all that was needed, and sent
/// endpoints of the other zones away.
#[test]
fn a_new_holder_in_a_wave_keeps_the_zones_that_are_left() {
    let mut cloud = Cloud::new();
    cloud.run(&mut Planner::default(), 20.0, 6.0, &[]);
    let waves = ["a", "b"].map(|zone| Wave { zone, at_s: 20.0, dry_s: 20.0 });
    let left = cloud.present["c"].reclaimable;

    cloud.run(&mut Planner::default(), 6.0, 0.5, &waves);

    assert!(left > 2);
    assert_eq!((cloud.present["a"].reclaimable, cloud.present["c"].reclaimable), (0, left));
}

/// On-demand endpoints went as soon as reclaimable ones were ordered in their
/// place; the limits left these no room, and none came.
#[test]
fn on_demand_endpoints_at_the_limits_go_zone_by_zone() {
    let waves = ["a", "b", "c", "d"].map(|zone| Wave { zone, at_s: 20.0, dry_s: 16.0 });
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    cloud.run(&mut planner, 34.0, 17.0, &waves);
    let bridged = cloud.on_demand();
    cloud.short_s = 0.0;

    cloud.run(&mut planner, 40.0, 17.0, &waves);

    assert_eq!(bridged, 23);
    assert_eq!(cloud.short_s, 0.0);
    assert_eq!((cloud.on_demand(), cloud.reclaimable()), (0, 24));
}

/// A large fleet that waited for its first callers shrank to a few endpoints.
#[test]
fn a_fleet_that_waits_for_its_first_callers_stays() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    cloud.run(&mut planner, 30.0, 0.0, &[]);

    cloud.run(&mut planner, 10.0, 10.0, &[]);

    assert_eq!(cloud.short_s, 0.0);
    assert_eq!(cloud.on_demand(), 0, "reclaimable ones took their place");
}

/// Where nothing is reclaimable, a fleet shrank to the least before its first
/// callers came.
#[test]
fn a_fleet_on_demand_only_stays_until_its_load_is_known() {
    let only_on_demand = Scale { reclaimable_price: None, ..scale() };
    let present: BTreeMap<String, Present> = Cloud::new().present;
    let start = Instant::now();
    let mut planner = Planner::default();
    let least = |orders: &[Order]| orders.iter().map(|it| it.count).min().unwrap_or(3);

    let idle = planner.plan(&only_on_demand, &present, 0.0, start);
    let soon = planner.plan(&only_on_demand, &present, 2.0, start + Duration::from_secs(20));
    let later = planner.plan(&only_on_demand, &present, 2.0, start + Duration::from_secs(60));

    assert_eq!((least(&idle), least(&soon)), (3, 3), "{idle:?} {soon:?}");
    assert!(least(&later) < 3, "{later:?}");
}

#[test]
fn endpoints_on_demand_stay_until_reclaimable_ones_serve_in_their_place() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::default();
    // The load is averaged and shows late.
    cloud.run(&mut planner, 2.0, 0.5, &[]);

    cloud.run(&mut planner, 2.0, 7.0, &[]);

    assert_eq!(cloud.short_s, 0.0);
}

fn play(seconds: f64, busy: f64, waves: &[Wave]) -> Cloud {
    let mut cloud = Cloud::new();
    cloud.run(&mut Planner::default(), seconds, busy, waves);
    cloud
}

impl Cloud {
    /// Three endpoints on demand in each zone.
    fn new() -> Cloud {
        let now = Instant::now();
        let present = Present { on_demand: 3, reclaimable: 0 };
        Cloud {
            start: now,
            now,
            present: ZONES.iter().map(|(zone, _)| ((*zone).to_owned(), present)).collect(),
            booting: Vec::new(),
            dry_until: now,
            paid: 0.0,
            most_on_demand: 0,
            short_s: 0.0,
        }
    }

    fn run(&mut self, planner: &mut Planner, seconds: f64, busy: f64, waves: &[Wave]) {
        let scale = scale();
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            self.boot();
            self.reclaim(waves);
            for order in planner.plan(&scale, &self.present, busy, self.now) {
                let asks_for_more = order.count > self.present[&order.zone].reclaimable;
                let is_dry = self.now < self.dry_until && asks_for_more;
                if order.kind == Kind::Reclaimable && is_dry {
                    planner.refused(&order, self.now);
                    continue;
                }
                self.carry_out(&order.zone, order.kind, order.count);
                planner.taken(&order, self.now);
            }
            self.account(busy);
            self.now += STEP;
        }
    }

    fn carry_out(&mut self, zone: &str, kind: Kind, count: u32) {
        let here = self.present.get_mut(zone).expect("a known zone");
        let there = match kind {
            Kind::OnDemand => &mut here.on_demand,
            Kind::Reclaimable => &mut here.reclaimable,
        };
        *there = (*there).min(count);
        self.booting.retain(|(_, of, it)| of != zone || *it != kind);
        // The limit holds for both kinds together; an order above it is taken
        // and starts no more.
        let others = self.booting.iter().filter(|(_, of, _)| of == zone).count() as u32;
        let here = self.present[zone];
        let room = scale().max.saturating_sub(here.on_demand + here.reclaimable + others);
        let there = match kind {
            Kind::OnDemand => here.on_demand,
            Kind::Reclaimable => here.reclaimable,
        };
        let missing = (count - there).min(room);
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
        let passed = (self.now - self.start).as_secs_f64();
        for wave in waves {
            if passed >= wave.at_s && passed < wave.at_s + STEP.as_secs_f64() {
                self.present.entry(wave.zone.to_owned()).or_default().reclaimable = 0;
                let dry = self.now + Duration::from_secs_f64(wave.dry_s);
                self.dry_until = self.dry_until.max(dry);
            }
        }
    }

    fn account(&mut self, busy: f64) {
        let step = STEP.as_secs_f64();
        for (zone, price) in ZONES {
            let here = self.present[zone];
            let units = f64::from(here.on_demand) + f64::from(here.reclaimable) * RECLAIMABLE_PRICE;
            self.paid += units * price * step;
        }
        self.most_on_demand = self.most_on_demand.max(self.on_demand());
        if f64::from(self.on_demand() + self.reclaimable()) < busy {
            self.short_s += step;
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
