//! Limits shared by all daemons: workspace quotas and retry budgets of services.

use std::time::Duration;
use std::time::Instant;

use membership::digest::RETENTION;
use quota::fleet::Fleet;
use quota::retry;
use quota::retry::Budget;
use relay::admission::Refusal;
use route::request::Attributes;
use route::table::Match;

use super::Broker;
use super::requests::Cause;
use super::requests::refuse;
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
        let Some(bucket) = self.buckets.get_mut(&workspace.name) else { return Ok(0.0) };
        let units = quota.unit.count(attributes.tokens());
        match bucket.take(units, now) {
            Ok(()) => {
                metrics::count("quota", "granted");
                Ok(units)
            }
            Err(wait) => {
                metrics::count("quota", "refused");
                spdlog::info!("over quota", kv: {
                    request = attributes.id.as_str(),
                    workspace = workspace.name.as_str(),
                    units = units.round() as i64,
                    left = bucket.level().round() as i64,
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
            allowed:? = decision.allowed,
            daemons:? = fleet.daemons,
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
