//! Changes of the list of endpoints.

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Change;
use balance::pool::Effect;
use membership::reads::Feed;
use store::position;

use super::Broker;
use crate::metrics;

/// Number of endpoints that may join in one change of the list with a log line each.
const MAX_JOINED_LINES: usize = 16;

/// Logs and counts entries that describe no usable endpoint.
pub(super) fn report_unusable(changes: &[Change]) {
    let mut unusable = changes.iter().filter_map(|it| match it {
        Change::Unusable { id, .. } => Some(id.as_str()),
        Change::Updated(_) | Change::Removed { .. } => None,
    });
    let Some(first) = unusable.next() else { return };
    metrics::count("endpoint", "unusable_entry");
    spdlog::warn!("endpoint entries can't be used", kv: {
        first = first,
        count = 1 + unusable.count(),
    });
}

impl Broker {
    /// Handles that the response to a request says that its endpoint is shutting down.
    pub(super) fn handle_leaving_statement(&mut self, ticket: u64, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let (id, instance) = (pending.endpoint.clone(), pending.instance);
        let Some(member) = self.pool.member(&id).filter(|it| it.instance == instance) else {
            return;
        };
        let effect = self.pool.mark_leaving(&id, member.endpoint.started_at_ms);
        self.handle_effects(vec![(id, effect)], "endpoint", now);
    }

    /// Handles that an endpoint wants nothing from this daemon for a time.
    pub(super) fn handle_pause_statement(&mut self, ticket: u64, duration: Duration, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let member = self.pool.member_mut(&pending.endpoint);
        let Some(member) = member.filter(|it| it.instance == pending.instance) else { return };
        let until = Some(now + duration);
        if member.declines_until < until {
            member.declines_until = until;
        }
        metrics::count("endpoint", "declines_for_a_time");
        spdlog::info!("endpoint wants nothing for a time", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            duration_ms = duration.as_millis() as u64,
        });
    }

    pub(super) fn handle_effects(
        &mut self,
        mut effects: Vec<(String, Effect)>,
        source: &'static str,
        now: Instant,
    ) {
        effects.retain(|(_, effect)| *effect != Effect::Unchanged);
        self.has_urgent_changes |= !effects.is_empty();
        if effects.iter().any(|(_, effect)| *effect == Effect::Joined) {
            self.list_grew_at = Some(now);
        }
        if !effects.is_empty() && self.history.observe(&self.pool, now) {
            self.stored_history.outdate();
        }
        let joined = effects.iter().filter(|(_, effect)| *effect == Effect::Joined).count();
        let is_crowd = joined > MAX_JOINED_LINES;
        if is_crowd {
            let version = self.pool.store_version;
            spdlog::info!("endpoints joined",
                kv: { count = joined, source = source, version = version });
        }
        for (id, effect) in effects {
            self.doubt_software(&id, now);
            self.learn_software(&id);
            match effect {
                Effect::Joined => self.handle_joined(&id, now),
                Effect::Left => self.handle_left(&id),
                Effect::Superseded | Effect::Lapsed | Effect::Unchanged => {}
            }
            metrics::count("endpoint", effect.name());
            if is_crowd && effect == Effect::Joined {
                continue;
            }
            let member = self.pool.member(&id);
            let expires_at = member.and_then(|it| it.expires_at);
            let grace = expires_at.map_or(Duration::ZERO, |it| it.saturating_duration_since(now));
            spdlog::info!("endpoint", kv: {
                endpoint = id,
                effect:? = effect,
                source = source,
                version = self.pool.store_version,
                software = member.map_or("", |it| &it.endpoint.software),
                entry = member.map_or(0, |it| it.endpoint.version),
                grace_ms = grace.as_millis() as u64,
            });
        }
    }

    /// Records a read of the endpoints. Returns the time until which missing entries may
    /// still be written again.
    pub(super) fn record_read(&mut self, version: u64, now: Instant) -> Instant {
        self.settling.observe(position::era(version), now);
        self.read_at = Some(now);
        self.record_own_read(Feed::Endpoints, now);
        self.settling.ends_at(self.reads_since, now)
    }
}
