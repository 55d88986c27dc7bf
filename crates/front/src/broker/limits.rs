//! Limits shared by all daemons: workspace quotas and retry budgets of services.

use std::time::Duration;
use std::time::Instant;

use membership::digest::Quota;
use membership::digest::RETENTION;
use quota::fleet::Fleet;
use quota::retry;
use quota::retry::Budget;
use quota::scarcity::Request;
use quota::workspace;
use quota::workspace::Bucket;
use quota::workspace::PEER_EXPIRY;
use quota::workspace::Reason;
use quota::workspace::Rejection;
use quota::workspace::Report;
use relay::admission::Refusal;
use route::config::Workspace;
use route::request::Attributes;
use route::table::Match;
use xxhash_rust::xxh3::xxh3_64;

use super::Broker;
use super::refusal::Cause;
use super::refusal::refuse;
use crate::metrics;

impl Broker {
    /// Charges a request to its workspace's quota and returns the units charged.
    pub(super) fn charge_quota(
        &mut self,
        found: &Match<'_>,
        attributes: &Attributes,
        now: Instant,
    ) -> Result<f64, Refusal> {
        let Some(workspace) = found.workspace else { return Ok(0.0) };
        let Some(quota) = workspace.quota else { return Ok(0.0) };
        // The daemons of a small fleet know the level at once, and serve in order of arrival.
        let is_large_fleet = self.is_large_fleet();
        let Some(bucket) = self.buckets.get_mut(&workspace.name) else { return Ok(0.0) };
        let units = quota.unit.count(attributes.tokens());
        let kind = xxh3_64(found.route.name.as_bytes());
        let request = Request { rank: found.route.priority, kind, units };
        let admitted = match is_large_fleet {
            true => bucket.admit(&request, now),
            false => bucket.admit_in_order(&request, now),
        };
        match admitted {
            Ok(()) => {
                metrics::count("quota", "granted");
                Ok(units)
            }
            Err(Rejection { wait, reason }) => {
                metrics::count("quota", "refused");
                metrics::count("quota_refused", reason.name());
                let state = bucket.state(now);
                let (asked, granted, fraction) = match reason {
                    Reason::Outranked(it) => (it.asked, it.granted, it.fraction),
                    Reason::Level | Reason::Share => (0.0, 0.0, 1.0),
                };
                spdlog::info!("over quota", kv: {
                    request = attributes.id.as_str(),
                    workspace = workspace.name.as_str(),
                    reason = reason.name(),
                    rank = request.rank,
                    units = units.round() as i64,
                    left = bucket.level().round() as i64,
                    reserved = state.reserve.round() as i64,
                    share = bucket.share().round() as i64,
                    others = state.others.round() as i64,
                    asked = asked.round() as i64,
                    granted = granted.round() as i64,
                    fraction = (fraction * 100.0).round() / 100.0,
                    oldest_report_ms = state.oldest_report.as_millis() as u64,
                    is_joining = bucket.known_level().is_none(),
                    rate = quota.rate.round() as i64,
                    config = self.table.config.version,
                    daemons = bucket.daemons(),
                    heard = self.peers.live(now).count(),
                    age_ms = now.saturating_duration_since(self.started_at).as_millis() as u64,
                });
                Err(refuse(&attributes.id, Cause::Quota, 429, Some(wait)))
            }
        }
    }

    /// Applies the quotas of a configuration.
    pub(super) fn set_quotas(&mut self, workspaces: &[Workspace], now: Instant) {
        // A quota that appears while this daemon runs has not been used before.
        let is_unused = self.is_first_start || self.table.config.version > 0;
        let phase = phase(&self.context.settings.peers.to_string());
        for workspace in workspaces {
            let Some(quota) = workspace.quota else {
                self.buckets.remove(&workspace.name);
                continue;
            };
            let limit = workspace::Limit { rate: quota.rate, burst: quota.burst };
            let new = || match is_unused {
                true => Bucket::new(limit, now),
                false => Bucket::joining(limit, now),
            };
            let bucket = self.buckets.entry(workspace.name.clone()).or_insert_with(new);
            bucket.set_limit(limit, now);
            bucket.set_phase(phase);
        }
        self.update_buckets(now);
    }

    /// Tells the buckets how many daemons share the limits.
    pub(super) fn update_buckets(&mut self, now: Instant) {
        let timeout = self.peers.liveness_timeout();
        let daemons = self.fleet(PEER_EXPIRY, now).daemons;
        for bucket in self.buckets.values_mut() {
            bucket.set_report_timeout(timeout);
            bucket.set_daemons(daemons, now);
        }
    }

    /// Returns the use of the quotas for the other daemons.
    pub(super) fn quotas(&self) -> Vec<Quota> {
        let quotas = self.buckets.iter().map(|(name, it)| Quota {
            workspace: name.clone(),
            admitted: it.admitted(),
            level: it.known_level(),
        });
        quotas.collect()
    }

    /// Merges the use of the quotas as seen by a daemon of this age.
    pub(super) fn merge_quotas(
        &mut self,
        daemon: &str,
        quotas: &[Quota],
        age: Duration,
        now: Instant,
    ) {
        for quota in quotas {
            let report = Report { admitted: quota.admitted, level: quota.level, age };
            if let Some(bucket) = self.buckets.get_mut(&quota.workspace) {
                bucket.merge_remote(daemon, &report, now);
            }
        }
    }

    /// Takes a retry of a request from its service's budget. Returns whether the budget
    /// allows it.
    pub(super) fn take_retry(&mut self, id: &str, service: &str, now: Instant) -> bool {
        let heard = self.peers.live(now).count();
        let fleet = self.fleet(self.context.settings.bounds.retry_window, now);
        let decision = self.budget(service).take_retry(&fleet, now);
        let result = if decision.is_granted { "granted" } else { "refused" };
        metrics::count("retry_budget", result);
        spdlog::info!("retry budget", kv: {
            request = id,
            service = service,
            result = result,
            spent = decision.spent,
            allowed = (decision.allowed * 100.0).round() / 100.0,
            daemons = fleet.daemons.unwrap_or(0),
            recent = fleet.recent,
            heard = heard,
            age_ms = now.saturating_duration_since(self.started_at).as_millis() as u64,
        });
        decision.is_granted
    }

    pub(super) fn budget(&mut self, service: &str) -> &mut Budget {
        let limit = self.retry_limit();
        self.budgets.entry(service.to_owned()).or_insert_with(|| Budget::new(limit))
    }

    pub(super) fn retry_limit(&self) -> retry::Limit {
        let bounds = &self.context.settings.bounds;
        retry::Limit {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        }
    }

    /// Returns the daemons that share a limit with this window.
    fn fleet(&self, window: Duration, now: Instant) -> Fleet {
        let settings = &self.context.settings;
        let running_for = now.saturating_duration_since(self.started_at);
        let mut seeds = settings.seeds.clone();
        seeds.retain(|it| running_for < RETENTION && *it != settings.peers);
        let others = self.peers.running(&seeds, window, now);
        let age = self.age(now);
        let is_known = self.has_read_daemons || age >= window;
        Fleet {
            daemons: is_known.then_some(others.daemons + 1),
            recent: others.recent + usize::from(age < window),
            age,
        }
    }

    /// Returns the time since the start of this daemon, the maximum if it started
    /// together with the whole fleet.
    pub(super) fn age(&self, now: Instant) -> Duration {
        if self.is_first_start {
            return Duration::MAX;
        }
        now.saturating_duration_since(self.started_at)
    }

    pub(super) fn refund(&mut self, workspace: Option<&str>, units: f64) {
        if let Some(bucket) = workspace.and_then(|it| self.buckets.get_mut(it)) {
            bucket.refund(units);
        }
    }
}

/// Returns a number in [0, 1) that differs between daemons.
fn phase(daemon: &str) -> f64 {
    const BITS: u32 = 32;
    (xxh3_64(daemon.as_bytes()) >> BITS) as f64 / (1u64 << BITS) as f64
}
