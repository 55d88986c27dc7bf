//! Token texts that are a function of prompt and index, so that a reader can
//! tell whether an answer belongs to its request and is whole.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Characters of a prompt that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Text of the token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    format!("{:06x} ", xxh3_64_with_seed(prompt.as_bytes(), u64::from(index)) & 0xff_ffff)
}

/// Text of the first `count` tokens of the answer to `prompt`.
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// Length of a prompt in tokens.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(CHARACTERS_PER_TOKEN)
}
