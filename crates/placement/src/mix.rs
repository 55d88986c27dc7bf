//! The cheapest mix of offers that tolerates the loss of an availability zone.

use std::collections::BTreeMap;

use store::vm::Offer;

/// Requirement on a mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// Total number of VMs.
    pub vms: u32,
    /// VMs that must remain if all reclaimable VMs of any one zone are lost.
    pub left_after_loss: u32,
}

/// Number of VMs of each offer, by the offer's index in the list.
pub type Counts = BTreeMap<usize, u32>;

/// Returns the cheapest mix, or `None` if there are no offers.
///
/// Tries every bound on the number of reclaimable VMs per zone and fills the
/// cheapest offers up to it. The loss of a zone then costs at most that many VMs.
pub fn cheapest(offers: &[Offer], requirement: &Requirement) -> Option<Counts> {
    let mut by_price: Vec<usize> = (0..offers.len()).collect();
    by_price.sort_by(|left, right| {
        offers[*left].price_per_hour.total_cmp(&offers[*right].price_per_hour)
    });
    let bounds = 0..=requirement.vms + requirement.left_after_loss;
    let mixes = bounds.filter_map(|bound| fill(offers, &by_price, requirement, bound));
    mixes.min_by(|left, right| price(offers, left).total_cmp(&price(offers, right)))
}

/// Returns the price of a mix, in currency units per hour.
pub fn price(offers: &[Offer], counts: &Counts) -> f64 {
    counts.iter().map(|(index, count)| offers[*index].price_per_hour * f64::from(*count)).sum()
}

/// Returns the largest number of reclaimable VMs in any one zone, which is the
/// number lost with that zone.
pub fn largest_zone_loss(offers: &[Offer], counts: &Counts) -> u32 {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for (index, count) in counts.iter().filter(|(index, _)| offers[**index].reclaimable) {
        *zones.entry(&offers[*index].zone).or_default() += count;
    }
    zones.into_values().max().unwrap_or(0)
}

/// Fills the cheapest offers with at most `bound` reclaimable VMs per zone.
fn fill(
    offers: &[Offer],
    by_price: &[usize],
    requirement: &Requirement,
    bound: u32,
) -> Option<Counts> {
    let total = requirement.vms.max(requirement.left_after_loss + bound);
    let mut counts = Counts::new();
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    let mut missing = total;
    for index in by_price {
        let offer = &offers[*index];
        let available = if offer.reclaimable {
            bound.saturating_sub(zones.get(offer.zone.as_str()).copied().unwrap_or(0))
        } else {
            missing
        };
        let count = available.min(missing);
        if count == 0 {
            continue;
        }
        if offer.reclaimable {
            *zones.entry(&offer.zone).or_default() += count;
        }
        counts.insert(*index, count);
        missing -= count;
    }
    (missing == 0 && !offers.is_empty()).then_some(counts)
}
