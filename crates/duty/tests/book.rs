//! Continuation of a previous lease holder's orders.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use duty::book::Entry;
use duty::book::Order;
use duty::order::Capacity;
use duty::order::Kind;
use duty::order::Origin;
use duty::order::Planner;
use route::config::Scale;
use route::config::ZonePrice;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn a_new_holder_bridges_a_wave_with_its_first_plan() {
    let (entry, now) = wave();
    let left = fleet([0, 0, 7, 7]);

    let mut with_book = Planner::new(Origin::Orders);
    with_book.restore(&entry, now);
    let bridged = on_demand(&with_book.plan(&scale(), &left, 0.0, now));
    let without_book = on_demand(&Planner::new(Origin::Orders).plan(&scale(), &left, 0.0, now));

    // The load needs 16 endpoints, of which 14 are left.
    assert_eq!((bridged, without_book), (2, 0));
}

#[test]
fn booting_endpoints_of_the_previous_holder_are_neither_cancelled_nor_ordered_again() {
    let now = Instant::now();
    let mut former = Planner::new(Origin::Orders);
    for order in former.plan(&scale(), &fleet([1, 1, 1, 1]), 12.0, now) {
        former.order_accepted(&order, now);
    }
    let now = now + Duration::from_secs(2);
    let entry = former.entry("pool", now);

    let mut planner = Planner::new(Origin::Orders);
    planner.restore(&entry, now);
    let orders = planner.plan(&scale(), &fleet([1, 2, 1, 1]), 0.0, now);

    assert_eq!(orders, []);
}

#[test]
fn an_entry_is_replaced_when_its_orders_or_its_need_have_changed() {
    let entry = wave().0;
    let check = |change: fn(&mut Entry), is_outdated: bool| {
        let mut other = entry.clone();
        change(&mut other);
        assert_eq!(entry.is_outdated_by(&other), is_outdated, "{other:?}");
    };

    check(|_| (), false);
    check(|it| it.orders[0].age_ms += 5_000, false);
    check(|it| it.need *= 1.05, false);
    check(|it| it.need *= 1.2, true);
    check(|it| it.need = 0.0, true);
    check(|it| it.orders[0].count += 1, true);
    check(|it| it.orders[0].is_rejected ^= true, true);
    check(|it| it.orders.truncate(1), true);
}

/// Returns the entry of a holder that lost the reclaimable endpoints of two zones.
fn wave() -> (Entry, Instant) {
    let start = Instant::now();
    let mut former = Planner::new(Origin::Orders);
    for order in former.plan(&scale(), &fleet([7, 7, 7, 7]), 12.0, start) {
        former.order_accepted(&order, start);
    }
    let now = start + Duration::from_secs(20);
    for zone in ["a", "b"] {
        let order = duty::order::Order { zone: zone.to_owned(), kind: Kind::Reclaimable, count: 7 };
        former.order_rejected(&order, now);
    }
    let entry = former.entry("pool", now);
    let is_rejected = |it: &Order| it.is_rejected.then(|| it.zone.clone());
    assert_eq!(entry.orders.iter().filter_map(is_rejected).collect::<Vec<_>>(), ["a", "b"]);
    (entry, now)
}

fn on_demand(orders: &[duty::order::Order]) -> u32 {
    orders.iter().filter(|it| it.kind == Kind::OnDemand).map(|it| it.count).sum()
}

fn fleet(reclaimable: [u32; 4]) -> BTreeMap<String, Capacity> {
    let capacity = |reclaimable| Capacity { on_demand: 0, reclaimable };
    let zones = ZONES.iter().map(|it| (*it).to_owned());
    zones.zip(reclaimable.map(capacity)).collect()
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
