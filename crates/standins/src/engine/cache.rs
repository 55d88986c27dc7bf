//! Prefix cache of limited size with least-recently-used eviction. Each block is
//! identified by a hash chained over its prefix.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of characters in a block, which is 16 tokens.
pub const BLOCK_CHARACTERS: usize = 64;
/// Events whose sequence number is a multiple of this are never published.
const DROPPED_EVENT_INTERVAL: u64 = 10;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted from the cache.
    Evicted,
}

/// Published cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number of the event. A missing number is a gap.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: Kind,
    /// Chained hash of the block.
    pub block: u64,
}

/// Prefix cache of an engine.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Logical clock, advanced with each use of a block.
    clock: u64,
    /// Time of last use by block.
    last_used: HashMap<u64, u64>,
    /// Blocks by time of last use.
    by_last_use: BTreeMap<u64, u64>,
    events: Vec<Event>,
}

impl Cache {
    /// Creates a cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Cache {
        Cache { capacity, state: Mutex::default() }
    }

    /// Caches the blocks of `text`. Returns the number of leading characters that
    /// were already cached.
    pub fn insert(&self, text: &str) -> usize {
        let blocks = chain(text);
        let mut state = self.state();
        let hits = blocks.iter().take_while(|block| state.last_used.contains_key(block)).count();
        for block in blocks {
            state.touch(block);
        }
        state.evict_to(self.capacity);
        hits * BLOCK_CHARACTERS
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.state().last_used.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the published events with a sequence number larger than `after`, with gaps.
    pub fn events(&self, after: u64) -> Vec<Event> {
        let published = |event: &&Event| {
            event.sequence > after && !event.sequence.is_multiple_of(DROPPED_EVENT_INTERVAL)
        };
        self.state().events.iter().filter(published).copied().collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Returns the chained hashes of the complete blocks of a text.
pub fn chain(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(BLOCK_CHARACTERS);
    let link = |previous: &mut u64, block: &[u8]| {
        *previous = xxh3_64_with_seed(block, *previous);
        Some(*previous)
    };
    blocks.scan(0, link).collect()
}

impl State {
    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.last_used.insert(block, self.clock) {
            Some(previous) => {
                self.by_last_use.remove(&previous);
            }
            None => self.publish(Kind::Stored, block),
        }
        self.by_last_use.insert(self.clock, block);
    }

    fn evict_to(&mut self, capacity: usize) {
        while self.last_used.len() > capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else { return };
            self.last_used.remove(&block);
            self.publish(Kind::Evicted, block);
        }
    }

    fn publish(&mut self, kind: Kind, block: u64) {
        let sequence = self.events.len() as u64 + 1;
        self.events.push(Event { sequence, kind, block });
    }
}
