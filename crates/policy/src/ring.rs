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
