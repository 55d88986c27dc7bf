//! Format of the change log in the platform's table.
//!
//! The head row holds the latest revision, and each change has its own row. One
//! commit writes both, on the condition that the head row has not changed since
//! it was read.

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
    /// Latest revision.
    pub revision: u64,
}

/// Content of a change row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the change.
    pub revision: u64,
    /// Unique token of the write. After a lost response, it shows whether this
    /// write or another one took effect.
    pub token: u64,
    /// The edit that was made.
    pub edit: Edit,
}

/// Returns the key of the row of a change. Keys sort by revision.
pub fn entry_key(revision: u64) -> String {
    format!("{ENTRY_PREFIX}{revision:020}")
}
