//! Gossip with the other daemons.

use std::collections::HashMap;
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::suspects;
use duty::usage::SENT_WINDOWS;
use membership::digest::Digest;
use membership::digest::FANOUT;
use membership::digest::Holder;
use membership::digest::Message;
use membership::protocol::Protocol;
use peer::transport::StreamId;
use rand::seq::SliceRandom;
use route::delta::Delta;
use store::table::Row;

use super::Broker;
use super::Stage;
use crate::clock;
use crate::metrics;

/// Minimum interval between pulls. A response takes a few milliseconds.
const PULL_INTERVAL: Duration = Duration::from_millis(150);
/// How long after its last sign of life a lease holder is still sent digests and
/// usage reports.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval for which newly heard daemons are counted.
const HEARD_INTERVAL: Duration = Duration::from_secs(1);
/// Number of daemons that may be heard in such an interval with a log line each.
const MAX_HEARD_LINES: usize = 7;
/// Minimum interval between log lines that report skipped messages.
const SKIP_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of subjects that crash endpoints in a digest.
const MAX_SUSPECTS_PER_DIGEST: usize = 64;
/// How long after a return of the store a removed endpoint may be in its list: three
/// heartbeats and the time until the entry is found expired, with a margin.
const RESTORED_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of removed endpoints in a digest.
const MAX_REMOVALS_PER_DIGEST: usize = 256;
/// Number of daemons heard in an interval that were not live before.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) count: usize,
    pub(super) since: Instant,
}

impl Broker {
    /// Runs a gossip round: sends a digest to some daemons. In a small fleet, the lease
    /// holder is one of them, and its digest contains a usage report.
    pub(super) fn gossip(&mut self, now: Instant) {
        self.pace.record(now);
        self.has_urgent_changes = false;
        metrics::count("gossip", "round");
        self.suspects.remove_expired(now);
        for id in self.peers.remove_expired(now) {
            self.pool.remove_remote_loads(&id);
        }
        self.sync_clock(now);
        self.update_buckets(now);
        self.choose_senders(now);
        let own_address = self.context.settings.peers;
        let holder = self.holder(now).map(|it| it.address).filter(|it| *it != own_address);
        let is_direct = self.peers.count() <= FANOUT || self.stage != Stage::Running;
        let takes_reports = |it| self.context.streams.speaks(it, Protocol::Changes);
        let direct = holder.filter(|it| is_direct || !takes_reports(*it));
        let mut addresses = self.peers.gossip_addresses(now);
        let mut peers: Vec<(String, SocketAddr)> =
            self.peers.live(now).map(|(id, it)| (id.clone(), it.address)).collect();
        if peers.is_empty() {
            addresses.extend(&self.context.settings.seeds);
        }
        addresses.retain(|it| *it != own_address && Some(*it) != direct);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(FANOUT);
        peers.shuffle(&mut self.rng);
        peers.truncate(FANOUT);
        let mut streams = self.unsent_streams(now);
        let mut digest = self.digest(now);
        if let Some(holder) = direct {
            let report = Some(self.usage_report(SENT_WINDOWS));
            let full = Digest { usage_report: report, ..digest.clone() };
            let full = self.send_reads(holder, full, now);
            let origins = streams.remove(&holder).unwrap_or_default();
            let message = Message::Digest { digest: Box::new(full), peers: peers.clone(), origins };
            self.context.streams.send(holder, &message, now);
        } else if let Some(holder) = holder {
            self.send_usage(holder, now);
        }
        // While this daemon stops, each round carries the report: a later lease holder
        // can't get it from a daemon that has exited.
        if is_direct && (self.stage != Stage::Running || self.reporting.is_broadcast_due(now)) {
            digest.usage_report = Some(self.usage_report(SENT_WINDOWS));
        }
        for address in addresses {
            let digest = Box::new(self.send_reads(address, digest.clone(), now));
            let origins = streams.remove(&address).unwrap_or_default();
            let message = Message::Digest { digest, peers: peers.clone(), origins };
            self.context.streams.send(address, &message, now);
        }
        for (address, streams) in streams {
            self.send_streams(address, streams, now);
        }
        self.report_interruptions(now);
        self.log_crowd_heard(now);
        metrics::set_state("daemons_heard", self.peers.live(now).count() as i64);
        metrics::set_state("daemons_known", self.peers.count() as i64);
    }

    /// Reports what was learned of single interruptions to the daemons that count those
    /// of each subject.
    fn report_interruptions(&mut self, now: Instant) {
        if self.peers.live(now).next().is_none() {
            return;
        }
        let mut by_address: HashMap<SocketAddr, Vec<suspects::Report>> = HashMap::new();
        for report in self.spread.take_unreported(&self.suspects, now) {
            for address in self.peers.counting_addresses(report.subject, now) {
                by_address.entry(address).or_default().push(report.clone());
            }
        }
        for (address, reports) in by_address {
            self.context.streams.send(address, &Message::Interruptions(reports), now);
        }
    }

    pub(super) fn merge_suspects(&mut self, reports: &[suspects::Report], now: Instant) {
        for report in reports {
            let before = self.suspects.count(report.subject);
            if self.suspects.merge_remote(report, now) {
                self.spread.push(&self.suspects, report.subject, false);
            }
            if self.suspects.count(report.subject) <= before {
                continue;
            }
            metrics::count("crash", "heard");
            spdlog::info!("crashes heard", kv: {
                subject = report.subject.to_string(),
                crashes = self.suspects.count(report.subject),
            });
        }
    }

    pub(super) fn discover_daemons(&mut self, rows: &[Row], now: Instant) {
        self.has_read_daemons = true;
        for row in rows {
            let address = row.key.split_once('/').and_then(|(_, it)| it.parse().ok());
            if let Some(address) = address
                && row.value != self.context.instance_id
            {
                self.peers.discover(&row.value, address, now);
            }
        }
        self.update_buckets(now);
        self.update_preceding(now);
    }

    pub(super) fn handle_peer_message(&mut self, message: Message, now: Instant) {
        match message {
            Message::Digest { digest, peers, origins } => {
                for (id, address) in peers {
                    if id != self.context.instance_id {
                        self.peers.discover(&id, address, now);
                    }
                }
                self.merge_streams(&digest.instance_id, &origins, now);
                self.merge_digest(*digest, now);
            }
            Message::Origins { daemon, streams, history } => {
                self.merge_streams(&daemon, &streams, now);
                if let Some(history) = history {
                    self.merge_history(&history, now);
                }
            }
            Message::OriginQuery { to, key } => self.reply_to_query(to, key, now),
            Message::OriginReply { daemon, key, known } => {
                self.handle_query_reply(&daemon, key, known.as_ref(), now);
            }
            Message::Pull { to, config_version, roster_version } => {
                self.reply_to_pull(to, config_version, roster_version, now);
            }
            Message::ConfigDelta(delta) => self.apply_delta(*delta, now),
            Message::Interruptions(reports) => self.merge_suspects(&reports, now),
            Message::Accounts(message) => self.handle_account_message(message, now),
            Message::Reads(reads) => self.reads.merge(&reads, now),
            Message::Usage { daemon, report } => self.merge_usage(&daemon, report),
            Message::Push { config, roster } => {
                if let Some(config) = config {
                    self.set_config(config, "peer", now);
                }
                if let Some(roster) = roster
                    && roster.version > self.pool.roster_version
                {
                    let settles_at = self.settling.ends_at(self.reads_since, now);
                    let effects = self.pool.replace(roster, settles_at, now);
                    self.handle_effects(effects, "peer", now);
                }
            }
        }
    }

    pub(super) fn handle_peer_acceptance(&mut self, stream: StreamId, protocol: Protocol) {
        let address = self.context.streams.set_protocol(stream, protocol);
        if let Some(address) = address
            && protocol != Protocol::PRESENT
        {
            spdlog::info!("daemon of another build", kv: {
                address = address.to_string(),
                protocol = protocol.number(),
                own = Protocol::PRESENT.number(),
            });
        }
    }

    pub(super) fn handle_skipped_message(&mut self, detail: &str, now: Instant) {
        metrics::count("message", "skipped");
        if now < self.skip_reported_at + SKIP_REPORT_INTERVAL {
            return;
        }
        self.skip_reported_at = now;
        spdlog::warn!("message of another daemon skipped", kv: { cause = detail });
    }

    pub(super) fn handle_peer_loss(&mut self, stream: StreamId, detail: &str) {
        if let Some(address) = self.context.streams.remove(stream) {
            let address = address.to_string();
            spdlog::info!("daemon lost", kv: { address = address, cause = detail });
        }
    }

    /// Logs that a daemon was heard: by a line of its own, or by one that counts if many
    /// were heard within a short time.
    fn log_heard(&mut self, id: &str, address: SocketAddr) {
        self.newly_heard.count += 1;
        if self.newly_heard.count <= MAX_HEARD_LINES {
            spdlog::info!("daemon heard", kv: { daemon = id, address = address.to_string() });
        }
    }

    fn log_crowd_heard(&mut self, now: Instant) {
        if now < self.newly_heard.since + HEARD_INTERVAL {
            return;
        }
        let heard = mem::replace(&mut self.newly_heard, Heard { count: 0, since: now }).count;
        if heard > MAX_HEARD_LINES {
            spdlog::info!("more daemons heard", kv: {
                count = heard - MAX_HEARD_LINES,
                live = self.peers.live(now).count(),
            });
        }
    }

    fn merge_digest(&mut self, mut digest: Digest, now: Instant) {
        if digest.instance_id == self.context.instance_id {
            return;
        }
        let id = digest.instance_id.clone();
        let was_live = self.peers.is_live(&id, now);
        // These are kept elsewhere.
        let loads = mem::take(&mut digest.loads);
        let quotas = mem::take(&mut digest.quotas);
        let suspects = mem::take(&mut digest.suspects);
        let usage_report = digest.usage_report.take();
        if !self.peers.merge_remote(digest.clone(), now) {
            return;
        }
        if !was_live {
            let age = Duration::from_millis(digest.age_ms);
            if let Some(started_at) = now.checked_sub(age) {
                self.context.streams.remove_outdated(digest.address, started_at);
            }
            self.log_heard(&id, digest.address);
            self.spread.push_again(&self.suspects, MAX_SUSPECTS_PER_DIGEST);
            self.hand_over(&id, digest.address, now);
        }
        self.merge_read_age(&digest, now);
        if let Some(since) =
            digest.uninterrupted_reads_ms.and_then(|it| now.checked_sub(Duration::from_millis(it)))
        {
            self.reads_since = Some(self.reads_since.map_or(since, |it| it.min(since)));
        }
        if digest.era > 0 {
            self.context.eras.learn(digest.era);
        }
        if let Some(since) =
            digest.era_age_ms.and_then(|it| now.checked_sub(Duration::from_millis(it)))
        {
            self.settling.merge_remote(digest.era, since);
        }
        if let Some(holder) = digest.holder {
            self.observe_holder(holder.address, Duration::from_millis(holder.age_ms), now);
        }
        self.pool.set_remote_loads(&id, loads.into_iter().collect(), now);
        self.merge_quotas(&id, &quotas, Duration::from_millis(digest.age_ms), now);
        if let Some(report) = usage_report {
            self.merge_usage(&id, report);
        }
        self.merge_suspects(&suspects, now);
        let mut effects = Vec::new();
        for (endpoint, started_at_ms) in digest.leaving {
            let effect = self.pool.mark_leaving(&endpoint, started_at_ms);
            effects.push((endpoint, effect));
        }
        for notice in digest.removals {
            let effect = self.pool.merge_removal(&notice, now);
            effects.push((notice.id, effect));
        }
        self.handle_effects(effects, "peer", now);
        self.merge_limits(&digest.limits, now);
        self.merge_brittle(&digest.brittle, now);
        let own = self.pool.roster_version;
        self.freshness.observe_list(digest.roster_version, own, clock::since_boot());
        self.pull(digest.address, digest.config_version, digest.roster_version, now);
    }

    fn reply_to_pull(
        &mut self,
        to: SocketAddr,
        config_version: u64,
        roster_version: u64,
        now: Instant,
    ) {
        let config = &self.table.config;
        let mut newer_config = None;
        let is_delta_understood = self.context.streams.speaks(to, Protocol::Changes);
        let delta = self.config_changes.since(config_version, config);
        if let Some(delta) = delta.filter(|_| is_delta_understood) {
            metrics::count("configuration", "delta_sent");
            self.context.streams.send(to, &Message::ConfigDelta(Box::new(delta)), now);
        } else if config.version > config_version {
            metrics::count("configuration", "whole_sent");
            newer_config = Some(config.as_ref().clone());
        }
        let roster = (self.pool.roster_version > roster_version).then(|| self.pool.roster());
        if newer_config.is_some() || roster.is_some() {
            let push = Message::Push { config: newer_config, roster };
            self.context.streams.send(to, &push, now);
        }
    }

    fn apply_delta(&mut self, delta: Delta, now: Instant) {
        let (since, version) = (delta.since, delta.config.version);
        // Another peer may have sent a later version meanwhile.
        if since != self.table.config.version {
            metrics::count("configuration", "delta_outdated");
            return;
        }
        if let Some(config) = delta.apply(&self.table.config) {
            self.set_config(config, "peer", now);
            return;
        }
        self.needs_whole_config = true;
        self.pulled_at = None;
        metrics::count("configuration", "delta_mismatch");
        spdlog::warn!("changes don't lead to the sender's configuration; pulling the whole one",
            kv: { since = since, version = version });
    }

    /// Requests the configuration and the roster from a peer that has newer versions.
    fn pull(&mut self, to: SocketAddr, config_version: u64, roster_version: u64, now: Instant) {
        let is_config_newer = config_version > self.table.config.version;
        let is_roster_newer = roster_version > self.pool.roster_version;
        let is_early = self.pulled_at.is_some_and(|it| now < it + PULL_INTERVAL);
        if is_early || !(is_config_newer || is_roster_newer) {
            return;
        }
        self.pulled_at = Some(now);
        metrics::count("configuration", "pulled");
        let message = Message::Pull {
            to: self.context.settings.peers,
            config_version: match self.needs_whole_config {
                true => 0,
                false => self.table.config.version,
            },
            roster_version: if is_roster_newer { self.pool.roster_version } else { u64::MAX },
        };
        self.context.streams.send(to, &message, now);
    }

    fn sync_clock(&mut self, now: Instant) {
        let own_ms = self.clock.now_ms(clock::since_boot());
        let mut offsets_ms: Vec<i64> = self
            .peers
            .live(now)
            .filter_map(|(_, it)| {
                let age_ms = now.saturating_duration_since(it.received_at?).as_millis() as i64;
                Some(it.digest.as_ref()?.now_ms + age_ms - own_ms)
            })
            .collect();
        if let Some(step_ms) = self.clock.sync_with_peers(&mut offsets_ms) {
            spdlog::warn!("clock set by the other daemons", kv: { moved_ms = step_ms });
        }
    }

    fn digest(&mut self, now: Instant) -> Digest {
        self.sequence += 1;
        let now_ms = self.clock.now_ms(clock::since_boot());
        let loaded = self.pool.members().filter(|it| it.own_load.open_requests > 0);
        let leaving = self.pool.members().filter(|it| it.leaving);
        let era = self.context.eras.latest().unwrap_or(0);
        let era_age = self.settling.era_age(era, now);
        let is_copy_recent = era_age.is_some_and(|it| it < RESTORED_LIFETIME);
        let max_removals = if is_copy_recent { MAX_REMOVALS_PER_DIGEST } else { 0 };
        Digest {
            instance_id: self.context.instance_id.clone(),
            address: self.context.settings.peers,
            sequence: self.sequence,
            age_ms: u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX),
            now_ms,
            config_version: self.table.config.version,
            roster_version: self.pool.roster_version,
            era,
            era_age_ms: era_age.map(|it| it.as_millis() as u64),
            read_age_ms: self.read_age(now).map(|it| it.as_millis() as u64),
            uninterrupted_reads_ms: self.reads_since.map(|it| (now - it).as_millis() as u64),
            holder: self.holder(now),
            stopping: self.stage != Stage::Running,
            loads: loaded.map(|it| (it.endpoint.id.clone(), it.own_load)).collect(),
            quotas: self.quotas(),
            usage_report: None,
            suspects: self.spread.take_gossip(&self.suspects, MAX_SUSPECTS_PER_DIGEST, now),
            leaving: leaving
                .map(|it| (it.endpoint.id.clone(), it.endpoint.started_at_ms))
                .collect(),
            responses: self.recent_responses(now),
            unreached: self.reach.cut().map(str::to_owned).collect(),
            limits: self.limit_notices(),
            brittle: self.rooms.notices(now),
            removals: self.pool.removal_notices(max_removals),
        }
    }

    /// Returns the lease holder if there was a recent sign of it.
    fn holder(&self, now: Instant) -> Option<Holder> {
        if self.is_leader {
            return Some(Holder { address: self.context.settings.peers, age_ms: 0 });
        }
        let (address, seen_at) = self.remote_holder?;
        let age = now.saturating_duration_since(seen_at);
        let age_ms = age.as_millis() as u64;
        (age < HOLDER_TIMEOUT).then_some(Holder { address, age_ms })
    }

    fn observe_holder(&mut self, address: SocketAddr, age: Duration, now: Instant) {
        let Some(seen_at) = now.checked_sub(age) else { return };
        if address == self.context.settings.peers {
            return;
        }
        if self.remote_holder.is_none_or(|(_, it)| it < seen_at) {
            self.remote_holder = Some((address, seen_at));
        }
        self.lease.observe_holder(clock::since_boot().saturating_sub(age));
    }
}
