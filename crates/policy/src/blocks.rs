//! Block hash chains of prompts, matching the granularity of engine prefix caches.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block, in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Number of bytes counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Size of a block, in tokens.
pub const BLOCK_TOKENS: usize = BLOCK_BYTES / BYTES_PER_TOKEN;

/// Returns the chained hashes of the complete blocks of a text. Each hash
/// identifies all text up to the end of its block.
pub fn chain(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    let link = |previous: &mut u64, block: &[u8]| {
        *previous = xxh3_64_with_seed(block, *previous);
        Some(*previous)
    };
    blocks.scan(0, link).collect()
}

/// Returns the length of a text in tokens, rounded up.
pub fn token_count(text: &str) -> usize {
    text.len().div_ceil(BYTES_PER_TOKEN)
}
