//! Endpoints of a service by zone and kind, as they are ordered and as they serve.

use std::collections::BTreeMap;

use route::config::Scale;

/// Purchasing model of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Runs until it is released.
    OnDemand,
    /// May be reclaimed by the cloud.
    Reclaimable,
}

/// Order for the number of endpoints of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Kind of the endpoints.
    pub kind: Kind,
    /// Total number of endpoints wanted, including those that run.
    pub count: u32,
}

/// Number of endpoints of a zone that serve, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// On-demand endpoints.
    pub on_demand: u32,
    /// Reclaimable endpoints.
    pub reclaimable: u32,
}

/// Who deployed the endpoints that a new lease holder finds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// The operators: no lease holder has placed orders, and there is no load yet.
    #[default]
    Deployment,
    /// A previous lease holder, for a need that may still exist.
    Orders,
}

/// Returns the capacity of all zones.
pub(crate) fn total(present: &BTreeMap<String, Capacity>) -> Capacity {
    Capacity {
        on_demand: present.values().map(|it| it.on_demand).sum(),
        reclaimable: present.values().map(|it| it.reclaimable).sum(),
    }
}

/// Returns the number of reclaimable endpoints by zone that the limits allow
/// beside the running on-demand ones.
pub(crate) fn headroom(
    scale: &Scale,
    present: &BTreeMap<String, Capacity>,
) -> BTreeMap<String, u32> {
    let zone_headroom = |zone: &str| {
        let here = present.get(zone).copied().unwrap_or_default();
        scale.max.saturating_sub(here.on_demand)
    };
    scale.zones.iter().map(|it| (it.zone.clone(), zone_headroom(&it.zone))).collect()
}
