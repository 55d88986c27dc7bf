//! Positions in the history of a store that may return from an older copy of itself.
//!
//! After such a return, the store gives out versions again that it gave out before. Each
//! return begins a new era. A position combines era and version into one number, so that
//! positions only increase.

use crate::table::ABSENT;

/// Number of bits of a position that hold the version.
const VERSION_BITS: u32 = 40;
/// Largest version that a position can hold.
const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;
/// Largest era that a position can hold.
pub const MAX_ERA: u64 = u64::MAX >> VERSION_BITS;

/// Returns the position of a version within an era.
pub fn join(era: u64, version: u64) -> u64 {
    era.min(MAX_ERA) << VERSION_BITS | version.min(MAX_VERSION)
}

/// Returns the version that a row has in an era while it is absent. Absence in one era says
/// nothing about another one.
pub fn absent(era: u64) -> u64 {
    join(era, ABSENT)
}

/// Whether a position says that a row is absent.
pub fn is_absent(position: u64) -> bool {
    version(position) == ABSENT
}

/// Returns the era of a position; 0 if the store states none.
pub fn era(position: u64) -> u64 {
    position >> VERSION_BITS
}

/// Returns the store's own version at a position.
pub fn version(position: u64) -> u64 {
    position & MAX_VERSION
}
