//! Token texts that are a function of the prompt and the index.
//!
//! This lets a client verify that an answer is complete and belongs to its
//! request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of prompt characters counted as one token.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Returns the text of the token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    format!("{:06x} ", xxh3_64_with_seed(prompt.as_bytes(), u64::from(index)) & 0xff_ffff)
}

/// Returns the text of the first `count` tokens of the answer to `prompt`.
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// Returns the length of a prompt in tokens.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(CHARACTERS_PER_TOKEN)
}
