//! Mixes of offers, plans and the placement lease.

use std::time::Duration;

use arbtest::arbtest;
use placement::lease;
use placement::lease::Observation;
use placement::lease::Row;
use placement::lease::Step;
use placement::mix;
use placement::mix::Requirement;
use placement::plan::Order;
use placement::plan::Planner;
use placement::plan::Reason;
use placement::plan::View;
use placement::plan::Vm;
use store::vm::Offer;

const SEEDS: [u64; 3] = [0x1_0000_0400, 0x2_0000_0400, 0x3_0000_0400];
const ZONES: [&str; 4] = ["tema-a", "tema-b", "kpone", "spintex"];

#[test]
fn a_mix_suffices_survives_a_zone_loss_and_costs_no_more_than_on_demand() {
    for seed in SEEDS {
        arbtest(|it| {
            let mut offers = vec![offer("tema-a", false, 3.0)];
            for zone in ZONES {
                offers.push(offer(zone, true, f64::from(it.int_in_range(5..=30)?) / 10.0));
            }
            let vms = it.int_in_range(1..=60)?;
            let requirement = Requirement { vms, left_after_loss: it.int_in_range(0..=vms)? };

            let counts = mix::cheapest(&offers, &requirement).expect("offers");

            let total: u32 = counts.values().sum();
            assert!(total >= vms);
            assert!(
                total - mix::largest_zone_loss(&offers, &counts) >= requirement.left_after_loss
            );
            assert!(mix::price(&offers, &counts) <= f64::from(vms) * 3.0 + 1e-9);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn refusals_move_starts_to_other_zones_and_then_on_demand() {
    let offers =
        [offer("tema-a", true, 1.0), offer("tema-b", true, 1.1), offer("tema-a", false, 3.0)];
    let requirement = Requirement { vms: 1, left_after_loss: 0 };
    let mut planner = Planner::default();
    let mut started = Vec::new();

    for second in 0..3 {
        let now = Duration::from_secs(second);
        let orders = planner.plan(now, &View { vms: &[], offers: &offers, requirement });
        let [Order::Start(offer, Reason::Load)] = orders.as_slice() else {
            panic!("{orders:?}");
        };
        planner.record_rejection(now, offer);
        started.push((offer.zone.clone(), offer.reclaimable));
    }
    let later =
        planner.plan(Duration::from_secs(6), &View { vms: &[], offers: &offers, requirement });

    let expected = [("tema-a", true), ("tema-b", true), ("tema-a", false)];
    assert_eq!(started, expected.map(|(zone, reclaimable)| (zone.to_owned(), reclaimable)));
    assert_eq!(later, [Order::Start(offers[0].clone(), Reason::Load)]);
}

#[test]
fn a_vm_is_stopped_only_after_a_lasting_surplus() {
    let offers = [offer("tema-a", true, 1.0)];
    let vms: Vec<Vm> = (0..3).map(|it| vm(it, ZONES[it], 1.0 + it as f64)).collect();
    let requirement = Requirement { vms: 2, left_after_loss: 1 };
    let mut planner = Planner::default();
    let mut plan_at = |second: u64, requirement: Requirement| {
        let view = View { vms: &vms, offers: &offers, requirement };
        planner.plan(Duration::from_secs(second), &view)
    };

    assert_eq!(plan_at(0, requirement), []);
    assert_eq!(plan_at(100, requirement), []);
    assert_eq!(plan_at(110, Requirement { vms: 3, left_after_loss: 1 }), []);
    assert_eq!(plan_at(130, requirement), []);
    assert_eq!(plan_at(249, requirement), []);
    assert_eq!(plan_at(250, requirement), [Order::Stop(vms[2].clone(), Reason::Surplus)]);
}

#[test]
fn plans_converge_from_any_start() {
    for seed in SEEDS {
        arbtest(|it| {
            let offers: Vec<Offer> = ZONES
                .iter()
                .map(|zone| offer(zone, true, 1.0))
                .chain([offer("tema-a", false, 3.0)])
                .collect();
            let mut vms: Vec<Vm> = Vec::new();
            for number in 0..it.int_in_range(0..=20)? {
                vms.push(vm(number, ZONES[it.choose_index(4)?], 1.0));
            }
            let requirement = Requirement {
                vms: it.int_in_range(0..=20)?,
                left_after_loss: it.int_in_range(0..=12)?,
            };
            let mut planner = Planner::default();

            for round in 0..10 {
                let now = Duration::from_secs(round);
                for order in planner.plan(now, &View { vms: &vms, offers: &offers, requirement }) {
                    let Order::Start(offer, _) = order else { continue };
                    let placed = vm(100 + vms.len(), &offer.zone, offer.price_per_hour);
                    vms.push(Vm { reclaimable: offer.reclaimable, ..placed });
                }
            }

            let losses =
                ZONES.map(|zone| vms.iter().filter(|it| it.zone == zone && it.reclaimable).count());
            let left = vms.len() - losses.into_iter().max().unwrap_or(0);
            assert!(vms.len() >= requirement.vms as usize, "{requirement:?} {vms:?}");
            assert!(left >= requirement.left_after_loss as usize, "{requirement:?} {vms:?}");
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn a_lease_is_renewed_respected_and_taken_over() {
    let row = Row { fence: 4, holder: "entry-1/7".to_owned(), renewals: 9 };
    let observation = Observation { version: 30, since: Duration::from_secs(10) };
    let check = |second: u64, daemon: &str, is_candidate: bool, expected: Step| {
        let now = Duration::from_secs(second);

        let step = lease::step(now, &row, &observation, daemon, is_candidate);

        assert_eq!(step, expected, "{daemon} at {second}");
    };
    let taken_over = Row { fence: 5, holder: "entry-2/1".to_owned(), renewals: 0 };

    check(11, "entry-1/7", false, Step::Write(Row { renewals: 10, ..row.clone() }));
    check(11, "entry-2/1", true, Step::Skip);
    check(24, "entry-2/1", true, Step::Skip);
    check(25, "entry-2/1", true, Step::Write(taken_over));
    check(25, "entry-2/1", false, Step::Skip);
    check(25, "entry-1/8", false, Step::Skip);
}

fn offer(zone: &str, reclaimable: bool, price_per_hour: f64) -> Offer {
    let class = "accelerator".to_owned();
    Offer { zone: zone.to_owned(), class, reclaimable, price_per_hour }
}

fn vm(number: usize, zone: &str, price_per_hour: f64) -> Vm {
    let id = format!("runner-{number}");
    Vm { id, incarnation: 1, zone: zone.to_owned(), reclaimable: true, price_per_hour }
}
