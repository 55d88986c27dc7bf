//! What daemons that forward requests tell each other, and who of them lives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Roster;
use balance::load::Load;
use bincode::Decode;
use bincode::Encode;
use duty::usage::Window;
use route::config::Config;

/// Silence after which a daemon no longer counts as live, where all are told
/// each time; several periods.
const SILENT: Duration = Duration::from_millis(1_500);
/// Daemons told at a time.
pub const FANOUT: usize = 7;
/// Silence after which a daemon is forgotten.
pub const FORGOTTEN: Duration = Duration::from_secs(30);

/// A daemon's summary of itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    /// Life of the daemon: its name and a number of this start.
    pub life: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Grows with each digest of a life.
    pub sequence: u64,
    /// Its true time, in milliseconds since 1970.
    pub now_ms: i64,
    /// Version of the configuration that it has; 0 for none.
    pub config_version: u64,
    /// Version of the last change of endpoints that it knows; 0 for none.
    pub roster_version: u64,
    /// Age of the newest read of endpoints that it has or heard of, in
    /// milliseconds.
    pub read_ago_ms: Option<u64>,
    /// Time for which somebody has read the store without a gap, in
    /// milliseconds, as far as it knows.
    pub steady_ms: Option<u64>,
    /// Daemon that it knows to hold the lease on the duties.
    pub holder: Option<Holder>,
    /// Whether it is about to end.
    pub stopping: bool,
    /// Open work that it has sent, by endpoint.
    pub loads: Vec<(String, Load)>,
    /// Units that it has admitted since its start, by workspace.
    pub admitted: Vec<(String, f64)>,
    /// What the holder of the lease needs.
    pub account: Option<Account>,
    /// Crashes of endpoints that it saw, by fingerprint of the request.
    pub crashes: Vec<(u128, u32)>,
    /// Lives of endpoints that it knows to be leaving.
    pub leaving: Vec<(String, u64)>,
}

/// The holder of the lease on the duties, as last heard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Holder {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Time since it said so itself, in milliseconds.
    pub ago_ms: u64,
}

/// What the holder of the lease needs of a daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Account {
    /// Its newest usage windows.
    pub windows: Vec<Window>,
    /// Newest window whose counts are final.
    pub settled: u64,
    /// Engine time that its requests have taken since its start, by service,
    /// in milliseconds.
    pub work_ms: Vec<(String, f64)>,
}

/// A message between daemons that forward requests.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The sender's summary, and where it reaches others.
    Digest {
        /// The summary.
        digest: Digest,
        /// Other daemons that it hears.
        others: Vec<(String, SocketAddr)>,
    },
    /// Asks for what is newer than these versions.
    Pull {
        /// Where the answer goes.
        to: SocketAddr,
        /// Version of the configuration that the sender has.
        config_version: u64,
        /// Version up to which it knows the endpoints.
        roster_version: u64,
    },
    /// Answers a pull.
    Push {
        /// Newer configuration.
        config: Option<Config>,
        /// Newer list of endpoints.
        roster: Option<Roster>,
    },
}

/// Another daemon as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// When it was heard; `None` while only others told of it.
    pub heard_at: Option<Instant>,
    /// When it was first known.
    pub known_at: Instant,
    /// Its newest summary.
    pub digest: Option<Digest>,
}

/// The other daemons.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_life: BTreeMap<String, Peer>,
}

impl Peers {
    /// Learns of a daemon from others or from the store.
    pub fn learn(&mut self, life: &str, address: SocketAddr, now: Instant) {
        self.by_life.entry(life.to_owned()).or_insert(Peer {
            address,
            heard_at: None,
            known_at: now,
            digest: None,
        });
    }

    /// Hears a daemon's summary; gives whether it is newer than the last.
    pub fn hear(&mut self, digest: Digest, now: Instant) -> bool {
        self.learn(&digest.life, digest.address, now);
        let Some(peer) = self.by_life.get_mut(&digest.life) else { return false };
        if peer.digest.as_ref().is_some_and(|it| it.sequence >= digest.sequence) {
            return false;
        }
        peer.heard_at = Some(now);
        peer.address = digest.address;
        peer.digest = Some(digest);
        true
    }

    /// Daemons heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&String, &Peer)> {
        let silent = self.silence();
        self.by_life.iter().filter(move |(_, it)| it.heard_at.is_some_and(|at| now < at + silent))
    }

    /// Daemons known.
    pub fn count(&self) -> usize {
        self.by_life.len()
    }

    /// Silence after which a daemon no longer counts as live: longer with more
    /// daemons, as each tells a few at a time.
    pub fn silence(&self) -> Duration {
        let rounds = self.by_life.len().div_ceil(FANOUT).max(1);
        // Targets are drawn at random; some are missed a few rounds in a row.
        if rounds == 1 { SILENT } else { SILENT / 3 * (rounds as u32 + 3) }
    }

    /// Addresses to tell: those heard, and those that may still come up.
    pub fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let wanted = |it: &&Peer| now < it.heard_at.unwrap_or(it.known_at) + FORGOTTEN;
        let mut addresses: Vec<_> =
            self.by_life.values().filter(wanted).map(|it| it.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Forgets daemons that are silent for long; gives their lives.
    pub fn sweep(&mut self, now: Instant) -> Vec<String> {
        let is_old = |it: &Peer| now >= it.heard_at.unwrap_or(it.known_at) + FORGOTTEN;
        let old: Vec<String> = self
            .by_life
            .iter()
            .filter(|(_, it)| is_old(it))
            .map(|(life, _)| life.clone())
            .collect();
        for life in &old {
            self.by_life.remove(life);
        }
        old
    }
}
