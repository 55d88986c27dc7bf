//! What this daemon tells the others, and learns from them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::digest::Digest;
use membership::digest::Message;
use peer::transport::StreamId;
use store::table::Row;

use super::Broker;
use super::Stage;
use crate::clock;

/// Least time between pulls: an answer takes some milliseconds.
const PULL_EVERY: Duration = Duration::from_millis(150);
/// Time without the store after which peers' lists are asked for.
const STORE_SILENT: Duration = Duration::from_millis(600);

impl Broker {
    /// Tells all daemons what this one knows.
    pub(super) fn gossip(&mut self, now: Instant) {
        self.gossiped_at = now;
        for life in self.peers.sweep(now) {
            self.pool.forget_daemon(&life);
        }
        let digest = self.digest(now);
        let others: Vec<(String, SocketAddr)> =
            self.peers.live(now).map(|(life, it)| (life.clone(), it.address)).collect();
        let own = self.parts.settings.peers;
        let mut addresses = self.peers.addresses(now);
        if others.is_empty() {
            addresses.extend(&self.parts.settings.seeds);
        }
        addresses.sort_unstable();
        addresses.dedup();
        let message = Message::Digest { digest, others };
        for address in addresses.into_iter().filter(|it| *it != own) {
            self.parts.streams.send(address, &message);
        }
    }

    pub(super) fn learn_daemons(&mut self, rows: &[Row], now: Instant) {
        for row in rows {
            let address = row.key.split_once('/').and_then(|(_, it)| it.parse().ok());
            if let Some(address) = address
                && row.value != self.parts.life
            {
                self.peers.learn(&row.value, address, now);
            }
        }
    }

    pub(super) fn peer_message(&mut self, message: Message, now: Instant) {
        match message {
            Message::Digest { digest, others } => {
                for (life, address) in others {
                    if life != self.parts.life {
                        self.peers.learn(&life, address, now);
                    }
                }
                self.hear(digest, now);
            }
            Message::Pull { to, config_version, roster_version } => {
                let config = &self.table.config;
                let newer = (config.version > config_version).then(|| config.as_ref().clone());
                let roster = (self.pool.version > roster_version).then(|| self.pool.roster());
                if newer.is_some() || roster.is_some() {
                    let push = Message::Push { config: newer, roster };
                    self.parts.streams.send(to, &push);
                }
            }
            Message::Push { config, roster } => {
                if let Some(config) = config {
                    self.set_config(config, "peer", now);
                }
                if let Some(roster) = roster
                    && roster.version > self.pool.version
                {
                    let effects = self.pool.replace(roster, false, now);
                    self.note_effects(effects, "peer", now);
                }
            }
        }
    }

    pub(super) fn peer_lost(&mut self, stream: StreamId, detail: &str) {
        if let Some(address) = self.parts.streams.lost(stream) {
            let address = address.to_string();
            spdlog::info!("daemon lost", kv: { address = address, cause = detail });
        }
    }

    fn hear(&mut self, digest: Digest, now: Instant) {
        if digest.life == self.parts.life {
            return;
        }
        let life = digest.life.clone();
        let was_live = self.peers.live(now).any(|(it, _)| *it == life);
        if !self.peers.hear(digest.clone(), now) {
            return;
        }
        if !was_live {
            let address = digest.address.to_string();
            spdlog::info!("daemon heard", kv: { daemon = life.as_str(), address = address });
        }
        if digest.leads {
            self.lease.hear_holder(clock::since_boot());
        }
        self.pool.hear_loads(&life, digest.loads.into_iter().collect());
        for (workspace, admitted) in &digest.admitted {
            if let Some(bucket) = self.buckets.get_mut(workspace) {
                bucket.hear(&life, *admitted, now);
            }
        }
        self.usage.hear(&life, &digest.windows, digest.settled);
        for (print, count) in digest.crashes {
            self.suspects.hear(&life, print, count, now);
        }
        let effects = digest
            .leaving
            .into_iter()
            .map(|(id, born_ms)| {
                let effect = self.pool.note_leaving(&id, born_ms);
                (id, effect)
            })
            .collect();
        self.note_effects(effects, "peer", now);
        self.agree_on_time(now);
        self.pull(digest.address, digest.config_version, digest.roster_version, now);
    }

    /// Asks a peer for what it knows better.
    fn pull(&mut self, to: SocketAddr, config_version: u64, roster_version: u64, now: Instant) {
        let wants_config = config_version > self.table.config.version;
        let is_cut = self.store_away.get("endpoints").copied().unwrap_or(true)
            && self
                .store_failed_at
                .get("endpoints")
                .is_none_or(|it| now < *it + STORE_SILENT + Duration::from_secs(2));
        let wants_roster = is_cut && roster_version > self.pool.version;
        let is_early = self.pulled_at.is_some_and(|it| now < it + PULL_EVERY);
        if is_early || !(wants_config || wants_roster) {
            return;
        }
        self.pulled_at = Some(now);
        let message = Message::Pull {
            to: self.parts.settings.peers,
            config_version: self.table.config.version,
            roster_version: if wants_roster { self.pool.version } else { u64::MAX },
        };
        self.parts.streams.send(to, &message);
    }

    fn agree_on_time(&mut self, now: Instant) {
        let boot = clock::since_boot();
        let own = self.clock.now_ms(boot);
        let mut ahead: Vec<i64> = self
            .peers
            .live(now)
            .filter_map(|(_, it)| {
                let heard = now.saturating_duration_since(it.heard_at?).as_millis() as i64;
                Some(it.digest.as_ref()?.now_ms + heard - own)
            })
            .collect();
        if let Some(moved) = self.clock.agree(&mut ahead) {
            spdlog::warn!("clock set by the other daemons", kv: { moved_ms = moved });
        }
    }

    fn digest(&mut self, now: Instant) -> Digest {
        self.sequence += 1;
        let now_ms = self.clock.now_ms(clock::since_boot());
        let loaded = self.pool.members().filter(|it| it.own.open > 0);
        let leaving = self.pool.members().filter(|it| it.leaving);
        Digest {
            life: self.parts.life.clone(),
            address: self.parts.settings.peers,
            sequence: self.sequence,
            now_ms,
            config_version: self.table.config.version,
            roster_version: self.pool.version,
            leads: self.leads,
            stopping: self.stage != Stage::Running,
            loads: loaded.map(|it| (it.endpoint.id.clone(), it.own)).collect(),
            admitted: self.buckets.iter().map(|(name, it)| (name.clone(), it.admitted())).collect(),
            windows: self.usage.told(now_ms),
            settled: self.usage.settled(now_ms),
            crashes: self.suspects.seen_by(&self.parts.life, now),
            leaving: leaving.map(|it| (it.endpoint.id.clone(), it.endpoint.born_ms)).collect(),
            work_ms: self.work_ms.iter().map(|(name, it)| (name.clone(), *it)).collect(),
        }
    }
}
