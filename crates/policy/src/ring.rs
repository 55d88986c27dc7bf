//! Rendezvous hashing: every daemon agrees on who serves a name, and a change
//! of members moves only the names of the member that came or went.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a member for a name; the largest one wins.
pub fn weight(name: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(name.as_bytes()))
}

/// The member that serves a name.
pub fn owner<'a>(name: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (weight(name, member), *member))
}

/// One of several points of a member on a ring of hashes.
pub fn point(member: &str, number: u64) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), number)
}

/// A number that depends on all bits of both.
pub fn mix(one: u64, other: u64) -> u64 {
    xxh3_64_with_seed(&one.to_le_bytes(), other)
}
