//! Estimated contents of an endpoint's prefix cache.
//!
//! The contents are hints only: cache events arrive late and with gaps, and the
//! requests sent by this daemon only predict what will be cached.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of blocks remembered from each source for an endpoint.
const MAX_BLOCKS: usize = 4096;
/// One in this many blocks, the oldest ones, is dropped when the limit is exceeded.
const EVICTED_DIVISOR: usize = 4;
/// Age at which a hint expires.
const MAX_AGE: Duration = Duration::from_secs(600);

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The block is cached now.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// A cache event reported by the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number of the event; a missing number indicates a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// Chained hash of the block.
    pub block: u64,
}

/// Blocks that an endpoint probably has cached.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    /// When each block was last predicted to be cached.
    predicted: HashMap<u64, Duration>,
    /// When each block was last reported to be cached.
    reported: HashMap<u64, Duration>,
    sequence: u64,
}

impl Hints {
    /// Predicts that the endpoint caches these blocks, as they were sent to it.
    pub fn predict(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks {
            self.predicted.insert(*block, now);
        }
        evict_oldest(&mut self.predicted);
    }

    /// Applies cache events in order and ignores old ones. A gap discards all
    /// blocks reported before it, since a missing event may have evicted any of
    /// them; predictions are kept.
    pub fn apply(&mut self, events: &[Event], now: Duration) {
        for event in events {
            if event.sequence <= self.sequence {
                continue;
            }
            if event.sequence != self.sequence + 1 {
                self.reported.clear();
            }
            self.sequence = event.sequence;
            match event.kind {
                Kind::Stored => {
                    self.reported.insert(event.block, now);
                }
                Kind::Evicted => {
                    self.reported.remove(&event.block);
                    self.predicted.remove(&event.block);
                }
            }
        }
        evict_oldest(&mut self.reported);
    }

    /// Returns the sequence number of the last applied event.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the number of leading blocks that are probably cached. A cached
    /// block implies the blocks before it, so a binary search suffices and a long
    /// prompt needs few lookups.
    pub fn cached(&self, blocks: &[u64], now: Duration) -> usize {
        if !blocks.first().is_some_and(|it| self.contains(*it, now)) {
            return 0;
        }
        blocks.partition_point(|it| self.contains(*it, now))
    }

    fn contains(&self, block: u64, now: Duration) -> bool {
        let is_fresh = |at: &Duration| now.saturating_sub(*at) < MAX_AGE;
        self.predicted.get(&block).is_some_and(is_fresh)
            || self.reported.get(&block).is_some_and(is_fresh)
    }
}

/// Drops the oldest share of the blocks when there are too many.
fn evict_oldest(blocks: &mut HashMap<u64, Duration>) {
    if blocks.len() <= MAX_BLOCKS {
        return;
    }
    let mut times: Vec<Duration> = blocks.values().copied().collect();
    let evicted = times.len() / EVICTED_DIVISOR;
    let (_, latest_evicted, _) = times.select_nth_unstable(evicted);
    let latest_evicted = *latest_evicted;
    blocks.retain(|_, at| *at > latest_evicted);
}
