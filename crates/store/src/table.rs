//! Transactional table: rows with versions, changed by conditional commits.

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Version of a row that does not exist.
pub const ABSENT: u64 = 0;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the row.
    pub key: String,
    /// Version, which grows with every write; [`ABSENT`] when there is no row.
    pub version: u64,
    /// Content; empty when there is no row.
    pub value: String,
}

/// A condition of a commit: the row has exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Name of the row.
    pub key: String,
    /// Expected version, [`ABSENT`] for "no such row".
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Name of the row.
    pub key: String,
    /// New content.
    pub value: String,
}

/// All conditions and writes of one atomic commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to remove.
    pub deletes: Vec<String>,
}

/// Answer to a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// Every write took effect; `version` is the version of all written rows.
    Done {
        /// Version given to the written rows.
        version: u64,
    },
    /// Nothing was written, because these rows did not match their checks.
    Conflict {
        /// Current content of the rows that did not match.
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
    /// Applies a transaction. [`Error::NoAnswer`] means the outcome is unknown.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error>;
}
