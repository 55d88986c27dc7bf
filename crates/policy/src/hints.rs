//! What one endpoint may have in its prefix cache: hints, since events come
//! late and with gaps and own sends only predict what will be cached.

use std::collections::HashMap;
use std::time::Duration;

/// Most blocks remembered for an endpoint.
const BLOCKS_LIMIT: usize = 4096;
/// Part dropped when there are more, as a divisor.
const DROPPED_PART: usize = 4;
/// Age at which a hint no longer counts.
const AGE_LIMIT: Duration = Duration::from_secs(600);

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The block is cached now.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// A cache event of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// Chained hash of the block.
    pub block: u64,
}

/// Blocks that an endpoint may have cached.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    predicted: HashMap<u64, Duration>,
    told: HashMap<u64, Duration>,
    sequence: u64,
}

impl Hints {
    /// Blocks of a request sent there will be cached.
    pub fn predict(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks {
            self.predicted.insert(*block, now);
        }
        bound(&mut self.predicted);
    }

    /// Takes events in order. A gap drops what events told before it, since
    /// the missing one may have evicted anything; predictions stay.
    pub fn take(&mut self, events: &[Event], now: Duration) {
        for event in events {
            if event.sequence <= self.sequence {
                continue;
            }
            if event.sequence != self.sequence + 1 {
                self.told.clear();
            }
            self.sequence = event.sequence;
            match event.kind {
                Kind::Stored => {
                    self.told.insert(event.block, now);
                }
                Kind::Evicted => {
                    self.told.remove(&event.block);
                    self.predicted.remove(&event.block);
                }
            }
        }
        bound(&mut self.told);
    }

    /// Number of the last event taken.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Leading blocks that are probably cached. A cached block implies the
    /// ones before it, so that few look-ups do for a long prompt.
    pub fn cached(&self, blocks: &[u64], now: Duration) -> usize {
        if !blocks.first().is_some_and(|it| self.has(*it, now)) {
            return 0;
        }
        blocks.partition_point(|it| self.has(*it, now))
    }

    fn has(&self, block: u64, now: Duration) -> bool {
        let is_young = |at: &Duration| now.saturating_sub(*at) < AGE_LIMIT;
        self.predicted.get(&block).is_some_and(is_young)
            || self.told.get(&block).is_some_and(is_young)
    }
}

/// Drops the oldest part of the blocks when there are too many.
fn bound(blocks: &mut HashMap<u64, Duration>) {
    if blocks.len() <= BLOCKS_LIMIT {
        return;
    }
    let mut ages: Vec<Duration> = blocks.values().copied().collect();
    let oldest = ages.len() / DROPPED_PART;
    let (_, oldest_kept, _) = ages.select_nth_unstable(oldest);
    let oldest_kept = *oldest_kept;
    blocks.retain(|_, at| *at > oldest_kept);
}
