//! Orders across changes of the lease holder, in random series of waves, loads and outages.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use duty::book::Entry;
use duty::demand::Demand;
use duty::order::Capacity;
use duty::order::Kind;
use duty::order::Order;
use duty::order::Origin;
use duty::order::Planner;
use route::config::Scale;
use route::config::ZonePrice;

const STEP: Duration = Duration::from_millis(500);
const BOOT_STEPS: u32 = 8;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const DAEMONS: usize = 5;
/// Steps for which a load has to last before orders must follow it.
const KNOWN_AFTER: usize = 20;
/// Arbitrary bytes of a series.
const SERIES_BYTES: u64 = 4_096;

/// The lease holder's state.
struct Holder {
    planner: Planner,
    demand: Demand,
    /// Remaining steps in which it can't place orders.
    stalled: u32,
    /// Age of its list of endpoints, in steps, as to new endpoints.
    list_age: u32,
}

/// Endpoints of one zone.
#[derive(Default)]
struct Zone {
    present: Capacity,
    /// Remaining steps until an endpoint serves.
    booting: Vec<(u32, Kind)>,
    /// Steps since each reclaimable endpoint of the latest ones began to serve.
    joined: Vec<(u32, Kind)>,
    /// Remaining steps without reclaimable capacity.
    outage: u32,
}

struct World {
    zones: BTreeMap<&'static str, Zone>,
    holder: Holder,
    busy: f64,
    /// Recent loads.
    loads: VecDeque<f64>,
    totals: Vec<(String, f64)>,
    /// Latest contents of the order book.
    book: VecDeque<Entry>,
    now: Instant,
}

#[test]
fn no_order_takes_the_capacity_that_a_known_load_needs() {
    for seed in 0..150 {
        arbtest(play).seed(seed << 32 | SERIES_BYTES).run();
    }
}

fn play(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new();
    for _ in 0..240 {
        world.disturb(u)?;
        world.step();
    }
    Ok(())
}

impl World {
    fn new() -> World {
        let zone =
            || Zone { present: Capacity { on_demand: 10, reclaimable: 0 }, ..Zone::default() };
        World {
            zones: ZONES.map(|it| (it, zone())).into(),
            holder: Holder::new(Origin::Deployment),
            busy: 0.0,
            loads: VecDeque::from([0.0; KNOWN_AFTER]),
            totals: (0..DAEMONS).map(|it| (it.to_string(), 0.0)).collect(),
            book: vec![Entry::default(); 4].into(),
            now: Instant::now(),
        }
    }

    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=59)? {
            0..=2 => self.busy = f64::from(u.int_in_range(0..=40u32)?),
            3..=5 => {
                let outage = u.int_in_range(4..=60)?;
                for name in ZONES {
                    let zone = self.zones.get_mut(name).unwrap();
                    zone.outage = outage;
                    if u.ratio(1, 2)? {
                        zone.present.reclaimable = 0;
                        zone.joined.retain(|(_, kind)| *kind != Kind::Reclaimable);
                    }
                }
            }
            6..=8 => self.replace_holder(u)?,
            9 => self.holder.stalled = u.int_in_range(1..=12)?,
            10 => self.holder.list_age = u.int_in_range(0..=2)?,
            _ => {}
        }
        Ok(())
    }

    /// A new holder reads the book as it is, late, with another clock, or not at all.
    fn replace_holder(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.holder = Holder::new(Origin::Orders);
        if !u.ratio(3, 4)? {
            return Ok(());
        }
        let mut entry = u.choose(self.book.make_contiguous())?.clone();
        let skew_ms = u.choose(&[0, 0, 300, 60_000])?;
        entry.orders.iter_mut().for_each(|it| it.age_ms += skew_ms);
        self.holder.planner.restore(&entry, self.now);
        Ok(())
    }

    fn step(&mut self) {
        self.now += STEP;
        self.book.push_back(self.holder.planner.entry("pool", self.now));
        self.book.pop_front();
        self.zones.values_mut().for_each(Zone::step);
        let share = self.busy * STEP.as_secs_f64() / DAEMONS as f64;
        self.totals.iter_mut().for_each(|(_, it)| *it += share);
        self.loads.push_back(self.busy);
        self.loads.pop_front();
        let holder = &mut self.holder;
        if holder.stalled > 0 {
            holder.stalled -= 1;
            return;
        }
        let age = holder.list_age;
        let seen = self.zones.iter().map(|(name, it)| ((*name).to_owned(), it.seen(age)));
        let busy = holder.demand.update(&self.totals, self.now);
        for order in holder.planner.plan(&scale(), &seen.collect(), busy, self.now) {
            self.place(&order);
        }
    }

    fn place(&mut self, order: &Order) {
        let zone = self.zones.get_mut(order.zone.as_str()).unwrap();
        let is_larger = order.count > zone.present.reclaimable;
        if order.kind == Kind::Reclaimable && zone.outage > 0 && is_larger {
            return self.holder.planner.order_rejected(order, self.now);
        }
        self.holder.planner.order_accepted(order, self.now);
        let released = zone.resize(order);
        let serving: u32 = self.zones.values().map(|it| it.present.total()).sum();
        let known = self.loads.iter().copied().fold(f64::INFINITY, f64::min);
        assert!(
            released == 0 || f64::from(serving) >= known,
            "{serving} serve a load of {known} after {order:?}, {:?}",
            self.holder.planner.basis()
        );
    }
}

impl Zone {
    fn step(&mut self) {
        self.outage = self.outage.saturating_sub(1);
        self.joined.iter_mut().for_each(|(steps, _)| *steps += 1);
        self.joined.retain(|(steps, _)| *steps < 8);
        self.booting.iter_mut().for_each(|(steps, _)| *steps -= 1);
        for (_, kind) in self.booting.extract_if(.., |(steps, _)| *steps == 0) {
            *self.present.of(kind) += 1;
            self.joined.push((0, kind));
        }
    }

    /// Returns what a list shows that lacks the endpoints of the last steps.
    fn seen(&self, age: u32) -> Capacity {
        let mut seen = self.present;
        for (_, kind) in self.joined.iter().filter(|(steps, _)| *steps < age) {
            let count = seen.of(*kind);
            *count = count.saturating_sub(1);
        }
        seen
    }

    /// Executes an order. Returns the number of serving endpoints that it releases.
    fn resize(&mut self, order: &Order) -> u32 {
        let before = *self.present.of(order.kind);
        let kept = before.min(order.count);
        *self.present.of(order.kind) = kept;
        self.booting.retain(|(_, kind)| *kind != order.kind);
        let used = self.present.total() + self.booting.len() as u32;
        let room = scale().max.saturating_sub(used);
        let missing = (order.count - kept).min(room);
        self.booting.extend((0..missing).map(|_| (BOOT_STEPS, order.kind)));
        before - kept
    }
}

impl Holder {
    fn new(origin: Origin) -> Holder {
        Holder { planner: Planner::new(origin), demand: Demand::default(), stalled: 0, list_age: 0 }
    }
}

trait Counts {
    fn of(&mut self, kind: Kind) -> &mut u32;
    fn total(&self) -> u32;
}

impl Counts for Capacity {
    fn of(&mut self, kind: Kind) -> &mut u32 {
        match kind {
            Kind::OnDemand => &mut self.on_demand,
            Kind::Reclaimable => &mut self.reclaimable,
        }
    }

    fn total(&self) -> u32 {
        self.on_demand + self.reclaimable
    }
}

fn scale() -> Scale {
    let zone = |it: &str| ZonePrice { zone: it.to_owned(), price: 1.0 };
    Scale {
        min: 1,
        max: 20,
        boot_ms: 4_000,
        reclaimable_price: Some(0.25),
        zones: ZONES.map(zone).into(),
    }
}
