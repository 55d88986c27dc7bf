//! Placement with real processes: starts, refused starts, model orders and the
//! failure of the lease holder.

use std::io;
use std::time::Duration;

use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::MODEL_SERVICE;
use serde_json::json;
use standins::engine::protocol::Order;
use store::vm::Start;

/// Availability zones, sorted by name.
const ZONES: [&str; 3] = ["kpone", "tema-a", "tema-b"];
/// Timeout for a placement to be reached, including the takeover from a killed
/// lease holder.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn a_service_is_spread_over_zones_and_a_killed_lease_holder_is_replaced() -> io::Result<()> {
    let mut cluster = deployment()?;
    cluster.set_vms(MODEL_SERVICE, 3, 4)?;

    cluster::wait_within(PLACEMENT_TIMEOUT, "three endpoints", || {
        cluster.endpoint_zones().len() >= 3
    })?;
    let mut zones = cluster.endpoint_zones();
    zones.sort();
    cluster::wait_within(PLACEMENT_TIMEOUT, "models to be ordered", || {
        orders(&cluster).iter().filter(|it| !it.is_empty()).count() >= 3
    })?;
    let first_fence = highest_fence(&cluster);
    let holder = cluster.lease_holder("placement lease")?;
    cluster.daemons[holder].process.kill()?;
    cluster.daemons.remove(holder);
    cluster.set_vms(MODEL_SERVICE, 4, 4)?;
    cluster::wait_within(PLACEMENT_TIMEOUT, "a fourth endpoint", || {
        cluster.endpoint_zones().len() >= 4
    })?;
    cluster::wait_within(PLACEMENT_TIMEOUT, "orders of the new lease holder", || {
        highest_fence(&cluster) > first_fence
    })?;

    assert_eq!(zones, ZONES, "the loss of one zone must leave 70 %");
    let starts: Vec<Start> = cluster::get(&cluster.platform.address, "/fake/starts")?;
    let mut tokens: Vec<&String> = starts.iter().map(|it| &it.token).collect();
    tokens.sort();
    tokens.dedup();
    assert_eq!(tokens.len(), starts.len(), "a start token was used twice: {starts:?}");
    Ok(())
}

fn orders(cluster: &Cluster) -> Vec<Vec<Order>> {
    let engines = cluster.engines.iter();
    engines.map(|it| cluster::get(&it.address, "/fake/orders").unwrap_or_default()).collect()
}

fn highest_fence(cluster: &Cluster) -> u64 {
    orders(cluster).iter().flatten().map(|it| it.fence).max().unwrap_or(0)
}

/// Starts three daemons and five spare engines that they can order. The platform
/// also shows a cheaper offer in `tema-a` whose only VM belongs to another service,
/// so that starts are refused there once the zone's spare engines are in use.
fn deployment() -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    let spares = ["tema-a", "tema-b", "kpone", "tema-a", "tema-b"];
    for (number, zone) in spares.iter().enumerate() {
        let vm = format!("runner-{number}");
        cluster.add_spare_engine(&vm, zone, number % 2 == 0)?;
    }
    let unavailable = json!({
        "id": "none", "incarnation": 1, "role": "endpoint", "service": "another",
        "zone": "tema-a", "class": "accelerator", "address": "127.0.0.1:1",
        "price_per_hour": 0.5, "reclaimable": true, "state": "live",
    });
    cluster::post(&cluster.platform.address, "/fake/spare", &unavailable)?;
    for number in 1..=3 {
        cluster.add_daemon(&format!("entry-{number}"), ZONES[number - 1])?;
    }
    cluster.create_objects()?;
    Ok(cluster)
}
