//! What this daemon tells the others, and learns from them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::digest::Digest;
use membership::digest::FANOUT;
use membership::digest::Holder;
use membership::digest::Message;
use membership::digest::Peer;
use membership::digest::Report;
use peer::transport::StreamId;
use rand::seq::SliceRandom;
use store::table::Row;
use xxhash_rust::xxh3::xxh3_64;

use super::Broker;
use super::GOSSIP_EVERY;
use super::GOSSIP_EVERY_MANY;
use super::Stage;
use crate::clock;
use crate::metrics;

/// Least time between pulls: an answer takes some milliseconds.
const PULL_EVERY: Duration = Duration::from_millis(150);
/// Time for which a holder of the lease that is not heard any more is told
/// things.
const HOLDER_KEPT: Duration = Duration::from_secs(3);
/// Time between tellings of the account to all, where all are told each time: a
/// daemon that is killed takes no more counts along.
const ACCOUNT_EVERY: Duration = Duration::from_millis(500);
/// Daemons that read the store for all.
const READERS: usize = 2;
/// Age of what others read after which the next daemon in rank reads too, where
/// all daemons are told each time.
const READ_OLD: Duration = Duration::from_millis(700);
/// The same where news takes several rounds of gossip.
const READ_OLD_MANY: Duration = Duration::from_millis(1_400);
/// Time without any read of the store after which entries may lapse unseen; the
/// least time of three heartbeats.
const LONGEST_GAP: Duration = Duration::from_secs(3);
/// Further age for each rank, so that daemons step in one after the other.
const READ_OLD_RANK: Duration = Duration::from_millis(40);

impl Broker {
    /// Tells some daemons what this one knows, and the holder of the lease what
    /// it needs.
    pub(super) fn gossip(&mut self, now: Instant) {
        self.gossiped_at = now;
        self.has_news = false;
        metrics::count("gossip", "round");
        for life in self.peers.remove_expired(now) {
            self.pool.remove_remote_loads(&life);
        }
        let silence = self.peers.liveness_timeout();
        self.buckets.values_mut().for_each(|it| it.set_report_timeout(silence));
        let own = self.parts.settings.peers;
        let holder = self.holder(now).map(|it| it.address);
        let mut addresses = self.peers.gossip_addresses(now);
        let mut others: Vec<(String, SocketAddr)> =
            self.peers.live(now).map(|(life, it)| (life.clone(), it.address)).collect();
        if others.is_empty() {
            addresses.extend(&self.parts.settings.seeds);
        }
        addresses.retain(|it| *it != own && Some(*it) != holder);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(FANOUT);
        others.shuffle(&mut self.rng);
        others.truncate(FANOUT);
        let mut digest = self.digest(now);
        let account = self.account();
        if let Some(holder) = holder.filter(|it| *it != own) {
            let told = Digest { usage_report: Some(account.clone()), ..digest.clone() };
            let message = Message::Digest { digest: told, peers: others.clone() };
            self.parts.streams.send(holder, &message);
        }
        // Who takes the lease after the holder can't ask a daemon that has ended.
        let is_all_told =
            self.peers.count() <= FANOUT && now >= self.account_told_at + ACCOUNT_EVERY;
        let tells_account = is_all_told || self.stage != Stage::Running;
        if tells_account {
            self.account_told_at = now;
        }
        digest.usage_report = tells_account.then_some(account);
        let message = Message::Digest { digest, peers: others };
        for address in addresses {
            self.parts.streams.send(address, &message);
        }
    }

    /// Time between summaries.
    pub(super) fn gossip_period(&self) -> Duration {
        if self.peers.count() <= FANOUT { GOSSIP_EVERY } else { GOSSIP_EVERY_MANY }
    }

    pub(super) fn learn_daemons(&mut self, rows: &[Row], now: Instant) {
        for row in rows {
            let address = row.key.split_once('/').and_then(|(_, it)| it.parse().ok());
            if let Some(address) = address
                && row.value != self.parts.life
            {
                self.peers.discover(&row.value, address, now);
            }
        }
    }

    pub(super) fn peer_message(&mut self, message: Message, now: Instant) {
        match message {
            Message::Digest { digest, peers: others } => {
                for (life, address) in others {
                    if life != self.parts.life {
                        self.peers.discover(&life, address, now);
                    }
                }
                self.hear(digest, now);
            }
            Message::Pull { to, config_version, roster_version } => {
                let config = &self.table.config;
                let newer = (config.version > config_version).then(|| config.as_ref().clone());
                let roster =
                    (self.pool.roster_version > roster_version).then(|| self.pool.roster());
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
                    && roster.version > self.pool.roster_version
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
        if digest.instance_id == self.parts.life {
            return;
        }
        let life = digest.instance_id.clone();
        let was_live = self.peers.live(now).any(|(it, _)| *it == life);
        if !self.peers.merge_remote(digest.clone(), now) {
            return;
        }
        if !was_live {
            let address = digest.address.to_string();
            spdlog::info!("daemon heard", kv: { daemon = life.as_str(), address = address });
        }
        if let Some(read_at) =
            digest.read_age_ms.and_then(|it| now.checked_sub(Duration::from_millis(it)))
        {
            self.others_read_at = self.others_read_at.max(Some(read_at));
        }
        if let Some(since) =
            digest.uninterrupted_reads_ms.and_then(|it| now.checked_sub(Duration::from_millis(it)))
        {
            self.steady_since = Some(self.steady_since.map_or(since, |it| it.min(since)));
        }
        if let Some(holder) = digest.holder {
            self.hear_holder(holder.address, Duration::from_millis(holder.age_ms), now);
        }
        self.pool.set_remote_loads(&life, digest.loads.into_iter().collect(), now);
        for (workspace, admitted) in &digest.admitted {
            if let Some(bucket) = self.buckets.get_mut(workspace) {
                bucket.merge_remote(&life, *admitted, now);
            }
        }
        if let Some(account) = digest.usage_report {
            self.usage.merge_remote(&life, &account.windows, account.settled);
            self.work_heard.insert(life.clone(), account.work_ms.into_iter().collect());
        }
        for (print, count) in digest.crashes {
            self.suspects.merge_remote(&life, print, count, now);
        }
        let effects = digest
            .leaving
            .into_iter()
            .map(|(id, born_ms)| {
                let effect = self.pool.mark_leaving(&id, born_ms);
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
        let wants_roster = roster_version > self.pool.roster_version;
        let is_early = self.pulled_at.is_some_and(|it| now < it + PULL_EVERY);
        if is_early || !(wants_config || wants_roster) {
            return;
        }
        self.pulled_at = Some(now);
        let message = Message::Pull {
            to: self.parts.settings.peers,
            config_version: self.table.config.version,
            roster_version: if wants_roster { self.pool.roster_version } else { u64::MAX },
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
                let heard = now.saturating_duration_since(it.received_at?).as_millis() as i64;
                Some(it.digest.as_ref()?.now_ms + heard - own)
            })
            .collect();
        if let Some(moved) = self.clock.sync_with_peers(&mut ahead) {
            spdlog::warn!("clock set by the other daemons", kv: { moved_ms = moved });
        }
    }

    fn digest(&mut self, now: Instant) -> Digest {
        self.sequence += 1;
        let now_ms = self.clock.now_ms(clock::since_boot());
        let loaded = self.pool.members().filter(|it| it.own_load.open_requests > 0);
        let leaving = self.pool.members().filter(|it| it.leaving);
        Digest {
            instance_id: self.parts.life.clone(),
            address: self.parts.settings.peers,
            sequence: self.sequence,
            now_ms,
            config_version: self.table.config.version,
            roster_version: self.pool.roster_version,
            read_age_ms: self.read_ago(now).map(|it| it.as_millis() as u64),
            uninterrupted_reads_ms: self.steady_since.map(|it| (now - it).as_millis() as u64),
            holder: self.holder(now),
            stopping: self.stage != Stage::Running,
            loads: loaded.map(|it| (it.endpoint.id.clone(), it.own_load)).collect(),
            admitted: self.buckets.iter().map(|(name, it)| (name.clone(), it.admitted())).collect(),
            usage_report: None,
            crashes: self.suspects.observed_by(&self.parts.life, now),
            leaving: leaving
                .map(|it| (it.endpoint.id.clone(), it.endpoint.started_at_ms))
                .collect(),
        }
    }

    fn account(&self) -> Report {
        let now_ms = self.clock.now_ms(clock::since_boot());
        Report {
            windows: self.usage.recent_windows(now_ms),
            settled: self.usage.settled(now_ms),
            work_ms: self.work_ms.iter().map(|(name, it)| (name.clone(), *it)).collect(),
        }
    }

    /// The holder of the lease, if it was heard lately.
    fn holder(&self, now: Instant) -> Option<Holder> {
        if self.leads {
            return Some(Holder { address: self.parts.settings.peers, age_ms: 0 });
        }
        let (address, at) = self.holder_heard?;
        let ago = now.saturating_duration_since(at);
        let ago_ms = ago.as_millis() as u64;
        (ago < HOLDER_KEPT).then_some(Holder { address, age_ms: ago_ms })
    }

    fn hear_holder(&mut self, address: SocketAddr, ago: Duration, now: Instant) {
        let Some(at) = now.checked_sub(ago) else { return };
        if address == self.parts.settings.peers {
            return;
        }
        if self.holder_heard.is_none_or(|(_, heard)| heard < at) {
            self.holder_heard = Some((address, at));
        }
        self.lease.observe_holder(clock::since_boot().saturating_sub(ago));
    }

    /// Whether this daemon reads the store: the first few in rank do, and the
    /// next ones while what the first read gets old.
    pub(super) fn is_reader(&self, now: Instant) -> bool {
        let own = rank(&self.parts.life);
        let ranked = |(life, it): &(&String, &Peer)| {
            rank(life) < own && it.digest.as_ref().is_none_or(|it| !it.stopping)
        };
        let before = self.peers.live(now).filter(ranked).count();
        if before < READERS {
            return true;
        }
        let old = if before < FANOUT { READ_OLD } else { READ_OLD_MANY };
        let limit = old + READ_OLD_RANK * before as u32;
        self.others_read_at.is_none_or(|it| now >= it + limit)
    }

    /// Notes whether somebody reads the store.
    pub(super) fn watch_reads(&mut self, now: Instant) {
        let gap = self.peers.liveness_timeout().min(LONGEST_GAP);
        let is_read = self.read_ago(now).is_some_and(|it| it < gap);
        self.steady_since = is_read.then(|| self.steady_since.unwrap_or(now));
    }

    /// Age of the newest list of endpoints that this daemon has or heard of.
    fn read_ago(&self, now: Instant) -> Option<Duration> {
        let newest = self.read_at.max(self.others_read_at)?;
        Some(now.saturating_duration_since(newest))
    }
}

/// Rank of a daemon's life among readers.
fn rank(life: &str) -> u64 {
    xxh3_64(life.as_bytes())
}
