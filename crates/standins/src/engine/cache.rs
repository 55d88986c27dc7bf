//! Prefix cache of limited memory: blocks of a prompt hashed in a chain, the
//! least recently used one evicted first.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Characters of a block; 16 tokens.
pub const BLOCK_CHARACTERS: usize = 64;
/// One event in this many is never published.
const GAP_EVERY: u64 = 10;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The block is cached now.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// A published cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// Chained hash of the block.
    pub block: u64,
}

/// The prefix cache of one engine.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    clock: u64,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    events: Vec<Event>,
}

impl Cache {
    /// A cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Cache {
        Cache { capacity, state: Mutex::default() }
    }

    /// Caches the blocks of `text`; gives the characters found cached before.
    pub fn take_up(&self, text: &str) -> usize {
        let blocks = chain(text);
        let mut state = self.state();
        let hits = blocks.iter().take_while(|block| state.used_at.contains_key(block)).count();
        for block in blocks {
            state.touch(block);
        }
        state.evict_beyond(self.capacity);
        hits * BLOCK_CHARACTERS
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.state().used_at.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Published events with a number larger than `after`, with gaps.
    pub fn events(&self, after: u64) -> Vec<Event> {
        let published =
            |event: &&Event| event.sequence > after && !event.sequence.is_multiple_of(GAP_EVERY);
        self.state().events.iter().filter(published).copied().collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Chained hashes of the whole blocks of a text.
pub fn chain(text: &str) -> Vec<u64> {
    let whole = text.as_bytes().chunks_exact(BLOCK_CHARACTERS);
    let link = |previous: &mut u64, block: &[u8]| {
        *previous = xxh3_64_with_seed(block, *previous);
        Some(*previous)
    };
    whole.scan(0, link).collect()
}

impl State {
    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.used_at.insert(block, self.clock) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.publish(Kind::Stored, block),
        }
        self.by_use.insert(self.clock, block);
    }

    fn evict_beyond(&mut self, capacity: usize) {
        while self.used_at.len() > capacity {
            let Some((_, block)) = self.by_use.pop_first() else { return };
            self.used_at.remove(&block);
            self.publish(Kind::Evicted, block);
        }
    }

    fn publish(&mut self, kind: Kind, block: u64) {
        let sequence = self.events.len() as u64 + 1;
        self.events.push(Event { sequence, kind, block });
    }
}
