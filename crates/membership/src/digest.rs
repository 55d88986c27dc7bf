//! Digests that forwarding daemons exchange, and the liveness of these daemons.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::account;
use balance::endpoint::Roster;
use balance::load::Load;
use balance::origin;
use balance::removal;
use balance::software;
use balance::subject::Subject;
use balance::suspects;
use bincode::Decode;
use bincode::Encode;
use duty::usage::Window;
use quota::endpoint;
use quota::room;
use route::config::Config;
use route::delta::Delta;
use xxhash_rust::xxh3::xxh3_64;

use crate::reads;

/// Liveness timeout while each round of gossip reaches all daemons: several gossip
/// periods.
const BASE_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of daemons that receive a digest in each round of gossip.
pub const FANOUT: usize = 7;
/// Time without a digest after which a daemon is removed.
pub const RETENTION: Duration = Duration::from_secs(30);

/// A daemon's summary of its own state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    /// Id of the daemon's instance: its name and a random number drawn at its start.
    pub instance_id: String,
    /// Address for peers.
    pub address: SocketAddr,
    /// Sequence number, which increases with each digest of an instance.
    pub sequence: u64,
    /// Time since its start, in milliseconds. The maximum if it started together with the
    /// whole fleet.
    pub age_ms: u64,
    /// The daemon's wall-clock time, in milliseconds since the Unix epoch.
    pub now_ms: i64,
    /// Version of its configuration, 0 for none.
    pub config_version: u64,
    /// Version of the latest change of endpoints that it knows, 0 for none.
    pub roster_version: u64,
    /// Latest era of the store that it knows, 0 if the store states none.
    pub era: u64,
    /// How long ago the store returned from an older copy and began that era, in
    /// milliseconds, if a known daemon has seen it.
    pub era_age_ms: Option<u64>,
    /// Age of the latest read of endpoints by this or any other known daemon, in
    /// milliseconds. For daemons that don't know [`Message::Reads`].
    pub read_age_ms: Option<u64>,
    /// How long the store has been read by some daemon without interruption, in
    /// milliseconds, as far as this daemon knows.
    pub uninterrupted_reads_ms: Option<u64>,
    /// Lease holder that it knows of.
    pub holder: Option<Holder>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Pending work that it has sent, by endpoint.
    pub loads: Vec<(String, Load)>,
    /// Use of the workspaces' quotas.
    pub quotas: Vec<Quota>,
    /// Usage report for the lease holder.
    pub usage_report: Option<Report>,
    /// Changes of requests and prompt parts that may crash endpoints.
    pub suspects: Vec<suspects::Report>,
    /// Endpoint instances that it knows to be leaving.
    pub leaving: Vec<(String, u64)>,
    /// Removed endpoints that a copy may contain, while the store has just returned from it.
    pub removals: Vec<removal::Notice>,
    /// How long ago services last responded to it, in milliseconds, if that is recent.
    pub responses: Vec<(String, u64)>,
    /// Services whose endpoints it doesn't reach.
    pub unreached: Vec<String>,
    /// Request limits that endpoints name.
    pub limits: Vec<endpoint::Notice>,
    /// Services whose endpoints survive only few rejections.
    pub brittle: Vec<room::Notice>,
}

/// Use of a workspace's quota as seen by a daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Quota {
    /// Name of the workspace.
    pub workspace: String,
    /// Units that the daemon has admitted since its start.
    pub admitted: f64,
    /// Available units, if it has been running long enough to know.
    pub level: Option<f64>,
}

/// The lease holder as last observed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Holder {
    /// Address for peers.
    pub address: SocketAddr,
    /// Time since it last announced that it holds the lease, in milliseconds.
    pub age_ms: u64,
}

/// Usage and engine time that a daemon reports to the lease holder.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Report {
    /// Latest usage windows.
    pub windows: Vec<Window>,
    /// Latest window whose counts are final.
    pub settled: u64,
    /// Engine time used by its requests since its start, by service, in
    /// milliseconds.
    pub work_ms: Vec<(String, f64)>,
}

/// A message between forwarding daemons.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The sender's digest and the live peers that it knows.
    Digest {
        /// The digest.
        digest: Box<Digest>,
        /// Live peers: instance and address.
        peers: Vec<(String, SocketAddr)>,
        /// Streams that the receiver has to remember.
        origins: Vec<origin::Notice>,
    },
    /// Requests everything newer than the given versions.
    Pull {
        /// Address for the response.
        to: SocketAddr,
        /// Version of the sender's configuration.
        config_version: u64,
        /// Version of the sender's endpoint list.
        roster_version: u64,
    },
    /// Interruptions of subjects whose interruptions the receiver counts.
    Interruptions(Vec<suspects::Report>),
    /// What the receiver has to know of streams and software versions.
    Origins {
        /// Instance of the sender.
        daemon: String,
        /// Streams that the receiver has to remember.
        streams: Vec<origin::Notice>,
        /// Software versions that have served, for a daemon that has just started.
        history: Option<software::Notice>,
    },
    /// Asks where a stream began.
    OriginQuery {
        /// Address for the response.
        to: SocketAddr,
        /// The stream.
        key: origin::Key,
    },
    /// Response to an [`Message::OriginQuery`].
    OriginReply {
        /// Instance of the sender.
        daemon: String,
        /// The stream.
        key: origin::Key,
        /// What the sender knows of it.
        known: Option<origin::Notice>,
    },
    /// Response to a pull.
    Push {
        /// Configuration, if newer.
        config: Option<Config>,
        /// List of endpoints, if newer.
        roster: Option<Roster>,
    },
    /// Usage of a daemon of a large fleet, for the lease holder.
    Usage {
        /// Instance of the sender.
        daemon: String,
        /// Latest usage.
        report: Report,
    },
    /// Response to a pull from a daemon that has an earlier configuration.
    ConfigDelta(Box<Delta>),
    /// Reads of the store by any daemons.
    Reads(Vec<reads::Notice>),
    /// Work at endpoints, to and from the daemons that account for them.
    Accounts(account::Message),
}

/// Latest known state of another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address for peers.
    pub address: SocketAddr,
    /// When its latest digest was received, or `None` if only other daemons or the
    /// store have mentioned it.
    pub received_at: Option<Instant>,
    /// When it was discovered.
    pub discovered_at: Instant,
    /// Its latest digest.
    pub digest: Option<Digest>,
    /// Its rank among the daemons that do the work of all.
    rank: u64,
    /// Whether it was removed before and has not been heard since.
    is_former: bool,
}

impl Peer {
    /// Whether the daemon may be running: it was heard or first mentioned recently.
    fn may_run(&self, now: Instant) -> bool {
        match self.received_at {
            Some(at) => now < at + RETENTION,
            None => !self.is_former && now < self.discovered_at + RETENTION,
        }
    }

    /// Whether the daemon is known to have been running for a time.
    fn has_run_for(&self, time: Duration, now: Instant) -> bool {
        let (Some(digest), Some(at)) = (&self.digest, self.received_at) else { return false };
        let age = Duration::from_millis(digest.age_ms);
        age.saturating_add(now.saturating_duration_since(at)) >= time
    }
}

/// Number of daemons that may be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    /// All of them.
    pub daemons: usize,
    /// Those that are not known to have been running for some time.
    pub recent: usize,
}

/// The other daemons.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_instance: BTreeMap<String, Peer>,
    /// Removed daemons and when they were removed. The store may mention them for long.
    former: BTreeMap<String, Instant>,
}

impl Peers {
    /// Adds a daemon that other daemons or the store mention.
    pub fn discover(&mut self, instance_id: &str, address: SocketAddr, now: Instant) {
        let is_former = self.former.contains_key(instance_id);
        self.by_instance.entry(instance_id.to_owned()).or_insert(Peer {
            address,
            received_at: None,
            discovered_at: now,
            digest: None,
            rank: rank(instance_id),
            is_former,
        });
    }

    /// Merges a digest. Returns whether it is newer than the previous one.
    pub fn merge_remote(&mut self, digest: Digest, now: Instant) -> bool {
        self.discover(&digest.instance_id, digest.address, now);
        let Some(peer) = self.by_instance.get_mut(&digest.instance_id) else { return false };
        if peer.digest.as_ref().is_some_and(|it| it.sequence >= digest.sequence) {
            return false;
        }
        peer.received_at = Some(now);
        peer.is_former = false;
        peer.address = digest.address;
        peer.digest = Some(digest);
        true
    }

    /// Returns the daemons whose latest digest is recent.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&String, &Peer)> {
        let timeout = self.liveness_timeout();
        self.by_instance
            .iter()
            .filter(move |(_, it)| it.received_at.is_some_and(|at| now < at + timeout))
    }

    /// Whether the latest digest of a daemon's instance is recent.
    pub fn is_live(&self, instance_id: &str, now: Instant) -> bool {
        let received_at = self.by_instance.get(instance_id).and_then(|it| it.received_at);
        received_at.is_some_and(|at| now < at + self.liveness_timeout())
    }

    /// Returns the daemons whose latest digest is recent, and those that were mentioned so
    /// recently that they may not have sent one yet.
    pub fn expected(&self, now: Instant) -> impl Iterator<Item = (&String, &Peer)> {
        let timeout = self.liveness_timeout();
        self.by_instance.iter().filter(move |(_, it)| match it.received_at {
            Some(at) => now < at + timeout,
            None => !it.is_former && now < it.discovered_at + timeout,
        })
    }

    /// Returns the number of live daemons that come before `instance_id` when few daemons do
    /// the work of all. With `expects_mentioned`, those count that were mentioned recently
    /// and not heard yet.
    pub fn preceding_in_rank(
        &self,
        instance_id: &str,
        expects_mentioned: bool,
        now: Instant,
    ) -> usize {
        let own = rank(instance_id);
        let is_running = |it: &Peer| it.digest.as_ref().is_none_or(|it| !it.stopping);
        let precedes = |it: &Peer| {
            it.rank < own && (expects_mentioned || it.received_at.is_some()) && is_running(it)
        };
        self.expected(now).filter(|(_, it)| precedes(it)).count()
    }

    /// Returns the number of other daemons that may be running. `mentioned` are further
    /// addresses at which there may be one. `time` is the time after which a daemon that
    /// is running isn't recent any more.
    pub fn running(&self, mentioned: &[SocketAddr], time: Duration, now: Instant) -> Running {
        let mut has_settled: BTreeMap<SocketAddr, bool> =
            mentioned.iter().map(|it| (*it, false)).collect();
        let mut latest: HashMap<SocketAddr, Instant> = HashMap::new();
        for peer in self.by_instance.values().filter(|it| it.may_run(now)) {
            has_settled.entry(peer.address).or_insert(false);
            let discovered_at = latest.entry(peer.address).or_insert(peer.discovered_at);
            *discovered_at = peer.discovered_at.max(*discovered_at);
        }
        for (_, peer) in self.live(now).filter(|(_, it)| it.has_run_for(time, now)) {
            // A later instance at the address has replaced this one.
            let is_replaced = peer.received_at < latest.get(&peer.address).copied();
            has_settled.insert(peer.address, !is_replaced);
        }
        let recent = has_settled.values().filter(|it| !**it).count();
        Running { daemons: has_settled.len(), recent }
    }

    /// Returns the number of known daemons.
    pub fn count(&self) -> usize {
        self.by_instance.len()
    }

    /// Returns how long a daemon counts as live after its latest digest. The timeout
    /// grows with the number of daemons, since each round of gossip reaches only a
    /// few.
    pub fn liveness_timeout(&self) -> Duration {
        let rounds = self.by_instance.len().div_ceil(FANOUT).max(1);
        // Targets are chosen at random, so some are missed for several rounds in a
        // row.
        if rounds == 1 {
            BASE_LIVENESS_TIMEOUT
        } else {
            BASE_LIVENESS_TIMEOUT / 3 * (rounds as u32 + 3)
        }
    }

    /// Returns the addresses to gossip with, including those of daemons that were
    /// mentioned recently but have not sent a digest yet.
    pub fn gossip_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let is_retained = |it: &&Peer| now < it.received_at.unwrap_or(it.discovered_at) + RETENTION;
        let mut addresses: Vec<_> =
            self.by_instance.values().filter(is_retained).map(|it| it.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the addresses of the live daemons that count the interruptions of a
    /// subject: all of them in a small fleet.
    pub fn counting_addresses(&self, subject: Subject, now: Instant) -> Vec<SocketAddr> {
        let mut ranked: Vec<(u64, SocketAddr)> =
            self.live(now).map(|(id, it)| (subject.rank(id), it.address)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(FANOUT).map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the live daemons that remember a stream: all of them in a
    /// small fleet, and `limit` in a large one.
    pub fn remembering(&self, key: origin::Key, limit: usize, now: Instant) -> Vec<SocketAddr> {
        let mut ranked: Vec<(u64, SocketAddr)> =
            self.live(now).map(|(id, it)| (key.rank(id), it.address)).collect();
        let limit = if ranked.len() <= FANOUT { FANOUT } else { limit };
        ranked.sort_unstable();
        ranked.into_iter().take(limit).map(|(_, address)| address).collect()
    }

    /// Returns the daemon that accounts for an endpoint; `None` if it is `instance_id` or if
    /// each gossip round reaches all daemons.
    pub fn accounting(
        &self,
        endpoint: &str,
        instance_id: &str,
        now: Instant,
    ) -> Option<SocketAddr> {
        if self.by_instance.len() <= FANOUT {
            return None;
        }
        let is_running = |it: &Peer| it.digest.as_ref().is_some_and(|it| !it.stopping);
        let running = self.live(now).filter(|(_, it)| is_running(it));
        let (rank, address) =
            running.map(|(id, it)| (account::rank(endpoint, id), it.address)).min()?;
        (rank < account::rank(endpoint, instance_id)).then_some(address)
    }

    /// Returns the number of live daemons that come before `instance_id` when a subject is
    /// tried again.
    pub fn preceding(&self, subject: Subject, instance_id: &str, now: Instant) -> usize {
        let own = subject.rank(instance_id);
        self.live(now).filter(|(id, _)| subject.rank(id) < own).count()
    }

    /// Removes daemons that have not sent a digest for a long time. Returns their
    /// instances.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        let is_expired = |it: &Peer| now >= it.received_at.unwrap_or(it.discovered_at) + RETENTION;
        let expired: Vec<String> = self
            .by_instance
            .iter()
            .filter(|(_, it)| is_expired(it))
            .map(|(instance_id, _)| instance_id.clone())
            .collect();
        self.former.retain(|_, at| now < *at + RETENTION * 2);
        for instance_id in &expired {
            self.by_instance.remove(instance_id);
            self.former.insert(instance_id.clone(), now);
        }
        expired
    }
}

/// Returns the rank of a daemon's instance among those that do the work of all.
pub fn rank(instance_id: &str) -> u64 {
    xxh3_64(instance_id.as_bytes())
}
