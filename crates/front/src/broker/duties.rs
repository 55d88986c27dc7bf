//! The duties of the daemon that holds the lease.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use duty::lease::Grant;
use duty::order::Capacity;
use duty::order::LIST_SETTLE_HEARTBEATS;
use duty::order::Order;
use duty::usage::Counts;
use platform::cloud::Outcome;
use store::Error;
use store::table::Commit;
use store::table::Row;

use super::Broker;
use super::PLAN_EVERY;
use super::Stage;
use crate::clock;
use crate::cloud;
use crate::lease;
use crate::metrics;

/// Part of the lease that must be left to begin a call.
const AHEAD: Duration = Duration::from_millis(400);

/// Calls without an answer yet.
#[derive(Debug, Default)]
pub struct Open {
    /// Window that is being fixed or reported.
    window: Option<u64>,
    /// When the next try of a report may begin.
    retry_at: Option<Instant>,
    /// Orders without an answer.
    orders: usize,
}

impl Broker {
    pub(super) fn tend_duties(&mut self, now: Instant) {
        let boot = clock::since_boot();
        if let Some(step_ms) = self.clock.observe(clock::wall_ms(), boot) {
            // Seen at every look until the clock is set back.
            spdlog::debug!("time of day was stepped", kv: { step_ms = step_ms });
        }
        if self.stage == Stage::Running
            && let Some(action) = self.lease.tick(boot)
        {
            self.call_store(lease::Job::Lease(action));
        }
        let grant = self.lease.grant(boot, AHEAD);
        self.note_lead(grant);
        let Some(grant) = grant else { return };
        if self.parts.settings.cloud.is_none() {
            return;
        }
        if self.parts.settings.reports_usage {
            self.tend_usage(now);
        }
        if self.parts.settings.orders_endpoints && now >= self.planned_at + PLAN_EVERY {
            self.planned_at = now;
            self.tend_orders(grant, now);
        }
    }

    pub(super) fn lease_read(&mut self, result: Result<Row, Error>) {
        match result {
            Ok(row) => {
                if let Some(action) = self.lease.read_completed(&row, clock::since_boot()) {
                    self.call_store(lease::Job::Lease(action));
                }
            }
            Err(error) => {
                metrics::count("store_failed", "lease");
                spdlog::debug!("lease not read", kv: { cause = error.to_string() });
                self.lease.read_failed();
            }
        }
    }

    pub(super) fn lease_written(&mut self, result: Result<Commit, Error>) {
        let outcome = match &result {
            Ok(Commit::Done { version }) => duty::lease::Outcome::Committed(*version),
            Ok(Commit::Conflict { .. }) => duty::lease::Outcome::Conflict,
            Err(Error::Refused { .. }) => duty::lease::Outcome::Rejected,
            Err(Error::NoAnswer { .. } | Error::Malformed { .. }) => duty::lease::Outcome::Unknown,
        };
        if let Err(error) = &result {
            metrics::count("store_failed", "lease");
            spdlog::info!("lease not written", kv: { cause = error.to_string() });
        }
        self.lease.write_completed(&outcome, clock::since_boot());
    }

    pub(super) fn fixed(&mut self, window: u64, counts: Counts, result: Result<Commit, Error>) {
        let fixed = match result {
            Ok(Commit::Done { .. }) => Some(counts),
            // Another holder was first; its counts are the ones to report.
            Ok(Commit::Conflict { rows }) => {
                rows.first().and_then(|it| serde_json::from_str(&it.value).ok())
            }
            Err(error) => {
                spdlog::info!("usage not fixed", kv: { window = window, cause = error.to_string() });
                None
            }
        };
        let grant = self.lease.grant(clock::since_boot(), AHEAD);
        let (Some(counts), Some(grant)) = (fixed, grant) else {
            self.duties.window = None;
            return;
        };
        self.call_cloud(cloud::Job::Report { grant, window, counts });
    }

    pub(super) fn reported(&mut self, window: u64, result: Result<(), Error>) {
        self.duties.window = None;
        match result {
            Ok(()) => {
                self.usage.mark_reported(window);
                metrics::count("usage", "reported");
                spdlog::info!("usage reported", kv: { window = window });
            }
            Err(error) => {
                metrics::count("usage", "failed");
                spdlog::warn!("usage not reported", kv: {
                    window = window,
                    cause = error.to_string(),
                });
            }
        }
    }

    pub(super) fn ordered(
        &mut self,
        service: &str,
        order: &Order,
        result: Result<Outcome, Error>,
        now: Instant,
    ) {
        self.duties.orders = self.duties.orders.saturating_sub(1);
        let outcome = match &result {
            Ok(Outcome::Accepted) => "taken",
            Ok(Outcome::NoneAvailable) => "none_available",
            Err(_) => "failed",
        };
        metrics::count("ordered", outcome);
        spdlog::info!("ordered", kv: {
            service = service,
            zone = order.zone.as_str(),
            kind:? = order.kind,
            count = order.count,
            outcome = outcome,
            cause = result.as_ref().err().map(ToString::to_string).unwrap_or_default(),
        });
        let Some(planner) = self.planners.get_mut(service) else { return };
        match result {
            Ok(Outcome::Accepted) => planner.order_accepted(order, now),
            Ok(Outcome::NoneAvailable) => planner.order_rejected(order, now),
            // Given again with the next plan.
            Err(_) => {}
        }
    }

    fn note_lead(&mut self, grant: Option<Grant>) {
        let leads = grant.is_some();
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        metrics::state("leads", i64::from(leads));
        if leads {
            self.usage.start_reporting(self.clock.now_ms(clock::since_boot()));
            // What a former holder ordered is not known.
            self.planners.clear();
            self.demand.clear();
            self.work_heard.clear();
        }
        let fence = grant.map_or(0, |it| it.fence);
        spdlog::info!("lease", kv: { held = leads, fence = fence });
    }

    fn tend_usage(&mut self, now: Instant) {
        if self.duties.window.is_some() || self.duties.retry_at.is_some_and(|it| now < it) {
            return;
        }
        let now_ms = self.clock.now_ms(clock::since_boot());
        let live: Vec<String> = self.peers.live(now).map(|(life, _)| life.clone()).collect();
        let Some((window, counts)) = self.usage.next_report(&live, now_ms) else { return };
        self.duties.window = Some(window);
        self.duties.retry_at = Some(now + PLAN_EVERY);
        self.call_store(lease::Job::Fix { window, counts });
    }

    fn tend_orders(&mut self, grant: Grant, now: Instant) {
        let settles = self.parts.settings.heartbeat.mul_f64(LIST_SETTLE_HEARTBEATS);
        self.is_list_complete |= self.list_grew_at.is_some_and(|it| now >= it + settles);
        if self.duties.orders > 0 || !self.is_list_complete {
            return;
        }
        let config = self.table.config.clone();
        for service in &config.services {
            let Some(scale) = &service.scale else { continue };
            let busy = self.busy(&service.name, now);
            let present = self.present(&service.name, now);
            let planner = self.planners.entry(service.name.clone()).or_default();
            for order in planner.plan(scale, &present, busy, now) {
                self.duties.orders += 1;
                let service = service.name.clone();
                self.call_cloud(cloud::Job::Order { grant, service, order });
            }
        }
    }

    /// Engines that the load keeps busy.
    fn busy(&mut self, service: &str, now: Instant) -> f64 {
        let own = self.work_ms.get(service).copied().unwrap_or(0.0);
        let mut totals = vec![(self.parts.life.clone(), own)];
        for (life, _) in self.peers.live(now) {
            let heard = self.work_heard.get(life).and_then(|it| it.get(service));
            totals.extend(heard.map(|it| (life.clone(), *it)));
        }
        let demand = self.demand.entry(service.to_owned()).or_default();
        demand.update(&totals, now) / 1e3
    }

    fn present(&self, service: &str, now: Instant) -> BTreeMap<String, Capacity> {
        let mut present: BTreeMap<String, Capacity> = BTreeMap::new();
        for member in self.pool.members() {
            if member.endpoint.service != service || !member.is_usable(now) {
                continue;
            }
            let here = present.entry(member.endpoint.zone.clone()).or_default();
            match member.endpoint.reclaimable {
                true => here.reclaimable += 1,
                false => here.on_demand += 1,
            }
        }
        present
    }

    fn call_store(&self, job: lease::Job) {
        // The task ends only with the daemon.
        let _ = self.parts.lease_jobs.send(job);
    }

    fn call_cloud(&self, job: cloud::Job) {
        let _ = self.parts.cloud_jobs.send(job);
    }
}
