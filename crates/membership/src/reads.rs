//! Reads of the store by the few daemons that read it on behalf of all, and which daemons
//! these are.
//!
//! A reader counts its successful reads, and the others pass the counts on. Only a count that
//! was raised is a sign of a read, so that messages that are delayed on links or handled late
//! don't make an old read look recent.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

use crate::digest::FANOUT;

/// Number of daemons that read the store on behalf of all.
const READERS: usize = 2;
/// Time since the preceding daemons' last read after which a daemon reads too, while each
/// gossip round reaches all daemons.
const MAX_AGE: Duration = Duration::from_millis(700);
/// Like [`MAX_AGE`], for fleets in which updates take several gossip rounds to reach all
/// daemons.
const LARGE_FLEET_MAX_AGE: Duration = Duration::from_millis(1_400);
/// Additional age per rank, so that daemons become readers one after the other.
const AGE_PER_RANK: Duration = Duration::from_millis(40);
/// Additional age of reads of the configuration, which wait this long for a change.
pub const CONFIG_POLL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after its last read for which a reader's counts are passed on.
const NOTICE_TIME: Duration = Duration::from_secs(5);
/// Time after its last read for which a reader's counts are remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of readers in a message: those of the lowest ranks.
const MAX_NOTICES: usize = 4;

/// What is read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The operators' configuration.
    Config,
    /// The list of endpoints.
    Endpoints,
}

/// Reads by a daemon, in a message to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// Rank of the reader's instance.
    pub reader: u64,
    /// Reads of the configuration since its start.
    pub config: u64,
    /// Reads of the endpoints since its start.
    pub endpoints: u64,
}

/// Position of a daemon among those that may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Rank of its instance.
    pub rank: u64,
    /// Number of daemons that come before it.
    pub preceding: usize,
}

/// Latest known reads of all daemons.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    by_reader: BTreeMap<u64, Reader>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reader {
    config: Count,
    endpoints: Count,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: u64,
    raised_at: Option<Instant>,
}

impl Count {
    fn raise(&mut self, value: u64, now: Instant) {
        if value > self.value {
            *self = Count { value, raised_at: Some(now) };
        }
    }
}

impl Reader {
    fn count(&self, feed: Feed) -> &Count {
        match feed {
            Feed::Config => &self.config,
            Feed::Endpoints => &self.endpoints,
        }
    }

    fn latest(&self) -> Option<Instant> {
        self.config.raised_at.max(self.endpoints.raised_at)
    }
}

impl Reads {
    /// Records a read by this daemon.
    pub fn record(&mut self, rank: u64, feed: Feed, now: Instant) {
        let reader = self.by_reader.entry(rank).or_default();
        let count = match feed {
            Feed::Config => &mut reader.config,
            Feed::Endpoints => &mut reader.endpoints,
        };
        count.raise(count.value + 1, now);
    }

    /// Merges what another daemon knows.
    pub fn merge(&mut self, notices: &[Notice], now: Instant) {
        for notice in notices {
            let reader = self.by_reader.entry(notice.reader).or_default();
            reader.config.raise(notice.config, now);
            reader.endpoints.raise(notice.endpoints, now);
        }
        self.by_reader.retain(|_, it| it.latest().is_some_and(|at| now < at + RETENTION));
    }

    /// Returns the recent readers of the lowest ranks.
    pub fn notices(&self, now: Instant) -> Vec<Notice> {
        let is_recent = |it: &Reader| it.latest().is_some_and(|at| now < at + NOTICE_TIME);
        let recent = self.by_reader.iter().filter(|(_, it)| is_recent(it));
        recent
            .take(MAX_NOTICES)
            .map(|(rank, it)| Notice {
                reader: *rank,
                config: it.config.value,
                endpoints: it.endpoints.value,
            })
            .collect()
    }

    /// Returns when a daemon other than the one of rank `own` was last known to have read.
    pub fn latest_of_others(&self, own: u64, feed: Feed) -> Option<Instant> {
        let others = self.by_reader.iter().filter(|(rank, _)| **rank != own);
        others.filter_map(|(_, it)| it.count(feed).raised_at).max()
    }

    /// Whether a daemon reads the store. The [`READERS`] daemons of the lowest ranks do. The
    /// following ones do while the latest read by those before them is too old; `since` is
    /// when the wait for one began.
    pub fn is_reader(&self, position: Position, since: Option<Instant>, now: Instant) -> bool {
        if position.preceding < READERS {
            return true;
        }
        let is_small = position.preceding < FANOUT;
        let max_age = if is_small { MAX_AGE } else { LARGE_FLEET_MAX_AGE };
        let max_age = max_age + AGE_PER_RANK * position.preceding as u32;
        let is_late = |feed: Feed, max_age: Duration| {
            let latest = self.latest_of_preceding(position.rank, feed).max(since);
            latest.is_none_or(|it| now >= it + max_age)
        };
        is_late(Feed::Endpoints, max_age) || is_late(Feed::Config, max_age + CONFIG_POLL_TIMEOUT)
    }

    fn latest_of_preceding(&self, rank: u64, feed: Feed) -> Option<Instant> {
        self.by_reader.range(..rank).filter_map(|(_, it)| it.count(feed).raised_at).max()
    }
}
