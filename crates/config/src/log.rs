//! The change log as it stands in the platform's table.
//!
//! The head row holds the newest revision; each change has a row of its own.
//! One commit writes both, on the condition that the head is as it was read.

use serde::Deserialize;
use serde::Serialize;

use crate::change::Edit;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of change rows.
pub const ENTRY_PREFIX: &str = "config/change/";

/// Content of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest revision.
    pub revision: u64,
}

/// Content of a change row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the change.
    pub revision: u64,
    /// Unique token of the write, by which a lost answer is resolved.
    pub token: u64,
    /// What was changed.
    pub edit: Edit,
}

/// Key of the row of a change. Keys sort by revision.
pub fn entry_key(revision: u64) -> String {
    format!("{ENTRY_PREFIX}{revision:020}")
}
