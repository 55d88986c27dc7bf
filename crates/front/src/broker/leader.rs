//! Leader tasks: the work of the daemon that holds the lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use balance::subject::Subject;
use duty::book::Entry;
use duty::lease::Grant;
use duty::order::Capacity;
use duty::order::LIST_SETTLE_HEARTBEATS;
use duty::order::Order;
use duty::order::Origin;
use duty::order::Planner;
use membership::candidate::lease_patience;
use platform::cloud::Outcome;
use store::Error;
use store::table::Commit;
use store::table::Row;

use super::Broker;
use super::PLAN_INTERVAL;
use super::Stage;
use super::reading::FLEET_READ_TIME;
use crate::clock;
use crate::cloud;
use crate::lease;
use crate::metrics;
use crate::rejected;

/// Maximum number of rejected subjects that are stored, so that they fit in a row.
const MAX_STORED_REJECTED: usize = 64;
/// Interval at which they are stored again without a change. The store may have returned
/// from a copy that lacks them, and may not say so.
const REJECTED_REWRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum remaining lease time for starting a call.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Calls in progress of the leader tasks.
#[derive(Debug, Default)]
pub struct Calls {
    /// Window that is being recorded or reported.
    pub(super) window: Option<u64>,
    /// Earliest time of the next attempt to report a window.
    pub(super) retry_at: Option<Instant>,
    /// Number of orders in progress.
    orders: usize,
    /// Whether the row of rejected requests is being written.
    stores_rejected: bool,
}

impl Broker {
    pub(super) fn run_leader_tasks(&mut self, now: Instant) {
        let since_boot = clock::since_boot();
        if let Some(step_ms) = self.clock.observe(clock::wall_ms(), since_boot) {
            // Reported at every tick until the clock is set back.
            spdlog::debug!("time of day was stepped", kv: { step_ms = step_ms });
        }
        if self.stage == Stage::Running {
            let patience = self.lease_patience(now);
            if let Some(action) = self.lease.tick(since_boot, patience) {
                self.call_store(lease::Job::Lease(action));
            }
        }
        let grant = self.lease.grant(since_boot, LEASE_MARGIN);
        self.update_leadership(grant);
        let Some(grant) = grant else { return };
        self.store_rejected(now);
        self.store_history(now);
        if self.context.settings.cloud.is_none() {
            return;
        }
        if self.context.settings.reports_usage {
            self.report_usage(grant, now);
        }
        if self.context.settings.orders_endpoints && now >= self.planned_at + PLAN_INTERVAL {
            self.planned_at = now;
            self.order_endpoints(grant, now);
            self.store_orders(now);
        }
    }

    fn lease_patience(&self, now: Instant) -> Duration {
        if !self.knows_fleet(now) {
            return FLEET_READ_TIME;
        }
        lease_patience(self.preceding, self.peers.count())
    }

    pub(super) fn handle_lease_read(&mut self, result: Result<Row, Error>, era: Option<u64>) {
        if let Some(era) = era {
            self.lease.observe_era(era, clock::since_boot());
        }
        match result {
            Ok(row) => {
                if let Some(action) = self.lease.read_completed(&row, clock::since_boot()) {
                    self.call_store(lease::Job::Lease(action));
                }
            }
            Err(error) => {
                metrics::count("store_failed", "lease");
                spdlog::debug!("failed to read the lease", kv: { cause = error.to_string() });
                self.lease.read_failed();
            }
        }
    }

    pub(super) fn handle_lease_write(&mut self, result: Result<Commit, Error>) {
        let outcome = match &result {
            Ok(Commit::Done { version }) => duty::lease::Outcome::Committed(*version),
            Ok(Commit::Conflict { .. }) => duty::lease::Outcome::Conflict,
            Err(Error::Refused { .. }) => duty::lease::Outcome::Rejected,
            Err(Error::NoResponse { .. } | Error::Malformed { .. }) => {
                duty::lease::Outcome::Unknown
            }
        };
        if let Err(error) = &result {
            metrics::count("store_failed", "lease");
            spdlog::info!("failed to write the lease", kv: { cause = error.to_string() });
        }
        self.lease.write_completed(&outcome, clock::since_boot());
    }

    pub(super) fn handle_order(
        &mut self,
        service: &str,
        order: &Order,
        result: Result<Outcome, Error>,
        now: Instant,
    ) {
        self.leader_calls.orders = self.leader_calls.orders.saturating_sub(1);
        let outcome = match &result {
            Ok(Outcome::Accepted) => "taken",
            Ok(Outcome::NoneAvailable) => "none_available",
            Err(_) => "failed",
        };
        metrics::count("ordered", outcome);
        let basis = self.planners.get(service).map(|it| it.basis().clone()).unwrap_or_default();
        spdlog::info!("ordered", kv: {
            service = service,
            zone = order.zone.as_str(),
            kind:? = order.kind,
            count = order.count,
            outcome = outcome,
            cause = result.as_ref().err().map(ToString::to_string).unwrap_or_default(),
            busy = basis.busy,
            peak = basis.peak,
            need = basis.need,
            on_demand = basis.serving.on_demand,
            reclaimable = basis.serving.reclaimable,
            shortfall = basis.shortfall,
            waves = basis.waves.join(" "),
            is_load_known = basis.is_load_known,
        });
        let Some(planner) = self.planners.get_mut(service) else { return };
        match result {
            Ok(Outcome::Accepted) => planner.order_accepted(order, now),
            Ok(Outcome::NoneAvailable) => planner.order_rejected(order, now),
            // The next plan repeats the order.
            Err(_) => {}
        }
    }

    /// Stores the subjects that crash endpoints if they have changed, and periodically.
    fn store_rejected(&mut self, now: Instant) {
        let is_busy = self.leader_calls.stores_rejected;
        if is_busy || !self.has_read_rejected || now < self.stored_rejected_at + PLAN_INTERVAL {
            return;
        }
        let rejected = self.suspects.over_limit(MAX_STORED_REJECTED, now);
        let subjects: BTreeSet<Subject> = rejected.iter().map(|it| it.subject).collect();
        let is_due =
            !rejected.is_empty() && now >= self.stored_rejected_at + REJECTED_REWRITE_INTERVAL;
        if subjects == self.stored_rejected && !is_due {
            return;
        }
        self.stored_rejected_at = now;
        self.leader_calls.stores_rejected = true;
        let content = rejected::encode(&rejected, self.clock.now_ms(clock::since_boot()));
        self.call_store(lease::Job::StoreRejected { subjects, content });
    }

    pub(super) fn handle_rejected_stored(
        &mut self,
        subjects: BTreeSet<Subject>,
        result: Result<Commit, Error>,
    ) {
        self.leader_calls.stores_rejected = false;
        match result {
            // The copy from which the store has returned since may lack them.
            Ok(Commit::Done { version }) if !self.era.covers(version) => {
                self.stored_rejected.clear();
            }
            Ok(_) => {
                if self.stored_rejected != subjects {
                    spdlog::info!("rejected requests stored", kv: { count = subjects.len() });
                }
                self.stored_rejected = subjects;
            }
            Err(error) => {
                metrics::count("store_failed", "rejected");
                spdlog::warn!("failed to store the rejected requests",
                    kv: { count = subjects.len(), cause = error.to_string() });
            }
        }
    }

    /// Learns from a daemon that may have ended which requests crash endpoints.
    pub(super) fn handle_rejected_read(&mut self, row: &Row, now: Instant) {
        self.has_read_rejected = true;
        let now_ms = self.clock.now_ms(clock::since_boot());
        let reports = match rejected::decode(&row.value, now_ms) {
            Ok(reports) => reports,
            Err(error) => {
                spdlog::error!("rejected requests can't be decoded; the row is replaced at the next change",
                    kv: { cause = error.to_string(), version = row.version });
                return;
            }
        };
        spdlog::info!("rejected requests read", kv: { count = reports.len(), version = row.version });
        self.merge_suspects(&reports, now);
        self.stored_rejected.extend(reports.iter().map(|it| it.subject));
    }

    fn update_leadership(&mut self, grant: Option<Grant>) {
        let is_leader = grant.is_some();
        if is_leader == self.is_leader {
            return;
        }
        self.is_leader = is_leader;
        metrics::set_state("leads", i64::from(is_leader));
        if let Some(grant) = grant {
            self.usage.start_reporting(self.clock.now_ms(clock::since_boot()));
            // With the same token, no other daemon has placed orders since the last term.
            if self.led_fence != Some(grant.fence) {
                self.fleet_origin = self.fleet_origin();
                self.order_book.start_term(self.fleet_origin);
                self.planners.clear();
                self.demand.clear();
                self.remote_work_ms.clear();
            }
            self.led_fence = Some(grant.fence);
        }
        let fence = grant.map_or(0, |it| it.fence);
        spdlog::info!("lease", kv: { held = is_leader, fence = fence });
    }

    /// Returns who deployed the endpoints, at the start of a term.
    fn fleet_origin(&self) -> Origin {
        let is_first_term = self.context.settings.is_first_start
            && self.led_fence.is_none()
            && self.remote_holder.is_none()
            && !self.lease.has_predecessor();
        match is_first_term && self.work_ms.is_empty() {
            true => Origin::Deployment,
            false => Origin::Orders,
        }
    }

    fn order_endpoints(&mut self, grant: Grant, now: Instant) {
        let settle_time = self.context.settings.heartbeat.mul_f64(LIST_SETTLE_HEARTBEATS);
        self.is_list_complete |= self.list_grew_at.is_some_and(|it| now >= it + settle_time);
        if self.leader_calls.orders > 0 || !self.is_list_complete {
            return;
        }
        let config = self.table.config.clone();
        let has_scale = config.services.iter().any(|it| it.scale.is_some());
        if !has_scale || !self.has_order_book(now) {
            return;
        }
        for service in &config.services {
            let Some(scale) = &service.scale else { continue };
            let busy = self.busy_engines(&service.name, now);
            let capacity = self.capacity(&service.name, now);
            let new = || new_planner(&service.name, self.fleet_origin, &self.order_book.found, now);
            let planner = self.planners.entry(service.name.clone()).or_insert_with(new);
            for order in planner.plan(scale, &capacity, busy, now) {
                self.leader_calls.orders += 1;
                let service = service.name.clone();
                self.call_cloud(cloud::Job::Order { grant, service, order });
            }
        }
    }

    /// Returns the number of engines that the load keeps busy.
    fn busy_engines(&mut self, service: &str, now: Instant) -> f64 {
        let own = self.work_ms.get(service).copied().unwrap_or(0.0);
        let mut totals = vec![(self.context.instance_id.clone(), own)];
        for (id, _) in self.peers.live(now) {
            let remote = self.remote_work_ms.get(id).and_then(|it| it.get(service));
            totals.extend(remote.map(|it| (id.clone(), *it)));
        }
        let demand = self.demand.entry(service.to_owned()).or_default();
        demand.update(&totals, now) / 1e3
    }

    /// Returns the usable capacity of a service by availability zone.
    fn capacity(&self, service: &str, now: Instant) -> BTreeMap<String, Capacity> {
        let mut capacity: BTreeMap<String, Capacity> = BTreeMap::new();
        for member in self.pool.members() {
            if member.endpoint.service != service || !member.is_usable(now) {
                continue;
            }
            let zone = capacity.entry(member.endpoint.zone.clone()).or_default();
            match member.endpoint.reclaimable {
                true => zone.reclaimable += 1,
                false => zone.on_demand += 1,
            }
        }
        capacity
    }

    pub(super) fn call_store(&self, job: lease::Job) {
        // Sending fails only while the daemon shuts down.
        let _ = self.context.lease_jobs.send(job);
    }

    pub(super) fn call_cloud(&self, job: cloud::Job) {
        let _ = self.context.cloud_jobs.send(job);
    }
}

/// Creates a planner that continues from the previous holder's orders, if they are known.
fn new_planner(service: &str, origin: Origin, found: &[Entry], now: Instant) -> Planner {
    let mut planner = Planner::new(origin);
    if let Some(entry) = found.iter().find(|it| it.service == service) {
        planner.restore(entry, now);
    }
    planner
}
