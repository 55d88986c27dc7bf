//! The cheapest mix of offers that outlasts the loss of an availability zone.

use std::collections::BTreeMap;

use store::vm::Offer;

/// What is needed of a mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// VMs in all.
    pub vms: u32,
    /// VMs that must be left when all reclaimable ones of any one zone are lost.
    pub left_after_loss: u32,
}

/// Number of VMs of each offer, by its place in the list of offers.
pub type Counts = BTreeMap<usize, u32>;

/// The cheapest mix, `None` when there is no offer.
///
/// For every bound on the reclaimable VMs of a zone the cheapest offers are
/// filled up to it; the loss of a zone then costs at most the bound.
pub fn cheapest(offers: &[Offer], need: &Need) -> Option<Counts> {
    let mut by_price: Vec<usize> = (0..offers.len()).collect();
    by_price.sort_by(|one, other| {
        offers[*one].price_per_hour.total_cmp(&offers[*other].price_per_hour)
    });
    let bounds = 0..=need.vms + need.left_after_loss;
    let mixes = bounds.filter_map(|bound| fill(offers, &by_price, need, bound));
    mixes.min_by(|one, other| price(offers, one).total_cmp(&price(offers, other)))
}

/// Price of a mix, in currency units an hour.
pub fn price(offers: &[Offer], counts: &Counts) -> f64 {
    counts.iter().map(|(at, count)| offers[*at].price_per_hour * f64::from(*count)).sum()
}

/// Reclaimable VMs of the zone that holds most of them.
pub fn worst_loss(offers: &[Offer], counts: &Counts) -> u32 {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for (at, count) in counts.iter().filter(|(at, _)| offers[**at].reclaimable) {
        *zones.entry(&offers[*at].zone).or_default() += count;
    }
    zones.into_values().max().unwrap_or(0)
}

fn fill(offers: &[Offer], by_price: &[usize], need: &Need, bound: u32) -> Option<Counts> {
    let total = need.vms.max(need.left_after_loss + bound);
    let mut counts = Counts::new();
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    let mut missing = total;
    for at in by_price {
        let offer = &offers[*at];
        let room = if offer.reclaimable {
            bound.saturating_sub(zones.get(offer.zone.as_str()).copied().unwrap_or(0))
        } else {
            missing
        };
        let taken = room.min(missing);
        if taken == 0 {
            continue;
        }
        if offer.reclaimable {
            *zones.entry(&offer.zone).or_default() += taken;
        }
        counts.insert(*at, taken);
        missing -= taken;
    }
    (missing == 0 && !offers.is_empty()).then_some(counts)
}
