//! Changes of the operators' configuration and of the daemon's settings.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use platform::settings;
use platform::settings::Settings;
use route::config::Config;
use route::table::Table;

use super::Broker;
use crate::metrics;

impl Broker {
    /// Applies the settings that can change while the daemon runs.
    pub(super) fn reload(&mut self, settings: Result<Settings, settings::Error>) {
        let settings = match settings {
            Ok(settings) => settings,
            Err(error) => {
                let cause = error.to_string();
                spdlog::error!("settings not reloaded; the previous ones stay in force",
                    kv: { cause = cause });
                return;
            }
        };
        let current = &mut self.context.settings;
        let is_changed = *current != settings;
        let needs_restart = current.callers != settings.callers
            || current.readiness != settings.readiness
            || current.peers != settings.peers
            || current.metrics != settings.metrics
            || current.store != settings.store
            || current.cloud != settings.cloud;
        current.bounds = settings.bounds;
        current.seeds = settings.seeds;
        current.reports_usage = settings.reports_usage;
        current.orders_endpoints = settings.orders_endpoints;
        let limit = self.retry_limit();
        self.budgets.values_mut().for_each(|it| it.set_limit(limit));
        spdlog::info!("settings reloaded", kv: {
            changed = is_changed,
            needs_restart = needs_restart,
        });
    }

    /// Applies a configuration if it is newer than the current one.
    pub(super) fn set_config(&mut self, config: Config, source: &'static str, now: Instant) {
        // Invariant: the version never decreases within an instance of the daemon.
        if config.version <= self.table.config.version {
            return;
        }
        spdlog::info!("configuration in force", kv: {
            version = config.version,
            before = self.table.config.version,
            source = source,
            routes = config.routes.len(),
        });
        metrics::set_state("configuration", config.version as i64);
        self.context.limits.set(config.limits);
        self.durations.retain(|route| config.routes.iter().any(|it| it.name == route));
        self.set_quotas(&config.workspaces, now);
        self.note_rerouted(&config.routes, now);
        self.config_changes.record(&self.table.config, &config);
        self.needs_whole_config = false;
        self.table = Rc::new(Table::new(Arc::new(config)));
        self.has_urgent_changes = true;
    }
}
