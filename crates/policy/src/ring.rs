//! Rendezvous hashing: all daemons agree on the owner of a name, and a membership
//! change moves only the names of the member that joined or left.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a member for a name; the member with the highest weight
/// owns the name.
pub fn weight(name: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(name.as_bytes()))
}

/// Returns the member that owns a name, or `None` if there are no members.
pub fn owner<'a>(name: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (weight(name, member), *member))
}

/// Returns the position of a member's point with this number on a hash ring.
pub fn point(member: &str, number: u64) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), number)
}

/// Hashes two numbers into one that depends on all bits of both.
pub fn mix(first: u64, second: u64) -> u64 {
    xxh3_64_with_seed(&first.to_le_bytes(), second)
}
