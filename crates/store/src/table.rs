//! Transactional table: versioned rows that are changed by conditional commits.

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Version of a row that does not exist.
pub const ABSENT: u64 = 0;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, which increases with every write; [`ABSENT`] if there is no row.
    pub version: u64,
    /// Content; empty if there is no row.
    pub value: String,
}

/// A condition of a commit: the row must have exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Expected version; [`ABSENT`] requires that there is no such row.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New content.
    pub value: String,
}

/// The conditions and writes of one atomic commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect.
    Done {
        /// Version of all written rows.
        version: u64,
    },
    /// Nothing was written because some rows did not match their checks.
    Conflict {
        /// Current state of the rows that did not match.
        rows: Vec<Row>,
    },
}

/// The table service.
pub trait Table: Send + Sync {
    /// Reads one row; an absent row has version [`ABSENT`].
    fn read(&self, key: &str) -> Result<Row, Error>;
    /// Reads at most `limit` rows whose key starts with `prefix` and sorts
    /// after `after`, in key order.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error>;
    /// Applies a transaction. After [`Error::NoResponse`] its outcome is unknown.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error>;
}
