//! Rows of a shard in the platform's table, and what they record.

use std::time::Duration;

use job::reply::Whole;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

/// Number of shards. Changing it needs an empty ledger.
pub const SHARDS: u32 = 192;
/// Time for which an unchanged head row keeps its holder.
pub const LEASE: Duration = Duration::from_secs(6);
/// Longest time between two writes of the head row by its holder.
pub const RENEW_AFTER: Duration = Duration::from_secs(2);

/// Number of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardId(pub u32);

/// Identifies a call across resubmissions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity(pub String);

/// Who holds a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the daemon; empty for nobody.
    pub daemon: String,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Address on which peers reach it.
    pub address: String,
}

/// Content of the head row: the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Fencing number, which grows with every new holder.
    pub fence: u64,
    /// Holder.
    pub holder: Holder,
    /// Number of the next batch.
    pub next_batch: u64,
    /// Unique token of the last commit, by which a lost answer is resolved.
    pub token: u64,
}

/// Content of a batch row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records in the order written.
    pub records: Vec<Record>,
}

/// A step in the life of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Call.
    pub identity: Identity,
    /// Step.
    pub step: Step,
}

/// A step in the life of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The call may leave for an endpoint from now on.
    Intent,
    /// The call was executed and answered.
    Done(Answer),
    /// The call was not executed; it may be intended again.
    NotRun,
    /// The call left and its fate can't be known.
    Unknown,
}

/// An answer kept for resubmissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media_type: String,
    /// Body, when it was text.
    pub body: String,
}

impl Identity {
    /// Identity of a call by its name across resubmissions.
    pub fn of(name: &str) -> Identity {
        Identity(format!("{:032x}", xxh3_128(name.as_bytes())))
    }

    /// Shard that records this call.
    pub fn shard(&self) -> ShardId {
        ShardId((xxh3_64(self.0.as_bytes()) % u64::from(SHARDS)) as u32)
    }
}

impl From<&Whole> for Answer {
    fn from(whole: &Whole) -> Answer {
        Answer {
            status: whole.status,
            media_type: whole.media_type.clone(),
            body: String::from_utf8_lossy(&whole.body).into_owned(),
        }
    }
}

/// Key of the head row of a shard.
pub fn head_key(shard: ShardId) -> String {
    format!("ledger/{:05}/head", shard.0)
}

/// Prefix of the keys of the batch rows of a shard.
pub fn batch_prefix(shard: ShardId) -> String {
    format!("ledger/{:05}/batch/", shard.0)
}

/// Key of a batch row of a shard.
pub fn batch_key(shard: ShardId, batch: u64) -> String {
    format!("{}{batch:020}", batch_prefix(shard))
}
