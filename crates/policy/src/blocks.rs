//! Prompts as chains of block hashes, as model engines cache them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a block.
pub const BLOCK_BYTES: usize = 64;
/// Bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of a block.
pub const BLOCK_TOKENS: usize = BLOCK_BYTES / BYTES_PER_TOKEN;

/// Chained hashes of the whole blocks of a text: a hash names all text up to
/// the end of its block.
pub fn chain(text: &str) -> Vec<u64> {
    let whole = text.as_bytes().chunks_exact(BLOCK_BYTES);
    let link = |previous: &mut u64, block: &[u8]| {
        *previous = xxh3_64_with_seed(block, *previous);
        Some(*previous)
    };
    whole.scan(0, link).collect()
}

/// Length of a text in tokens.
pub fn tokens(text: &str) -> usize {
    text.len().div_ceil(BYTES_PER_TOKEN)
}
