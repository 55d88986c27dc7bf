//! Rows of a shard in the platform's table, and what they record.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use job::reply::Response;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::table::ABSENT;
use store::table::Row;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

use crate::Error;
use crate::snapshot::Named;

/// Number of shards. Changing it needs an empty ledger.
pub const SHARDS: u32 = 64;
/// Time for which an unchanged head row keeps its holder.
pub const LEASE: Duration = Duration::from_secs(6);
/// Longest time between two writes of the head row by its holder.
pub const RENEW_AFTER: Duration = Duration::from_secs(2);
/// Least time between the starts of two commits of a shard.
pub const COMMIT_PACE: Duration = Duration::from_millis(250);
/// Time without calls after which a holder gives its lease up.
pub const IDLE_AFTER: Duration = Duration::from_secs(30);
/// Time for which a call that ended is remembered, in seconds.
pub const RETENTION_S: u64 = 24 * 3600;
/// Largest body of an answer that is kept for resubmissions, in bytes.
pub const KEPT_BODY_BYTES: usize = 64 * 1024;
/// Batch rows of a shard that are replaced by a snapshot.
pub const COMPACT_ROWS: u64 = 256;

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
    /// Number of the first batch that the snapshot does not contain.
    #[serde(default)]
    pub first_batch: u64,
    /// Snapshot of all earlier batches.
    #[serde(default)]
    pub snapshot: Option<Named>,
    /// Objects to delete: earlier snapshots, and drafts that no head row named.
    #[serde(default)]
    pub spare: Vec<String>,
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
    /// When, in seconds since the epoch.
    #[serde(default)]
    pub wall_s: u64,
    /// Fingerprint of what was asked, with an intent.
    #[serde(default)]
    pub request: u64,
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
    /// Body.
    pub body: Body,
}

/// Body of an answer as kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Text.
    Text(String),
    /// Anything else, in Base64.
    Base64(String),
    /// Too large to be kept.
    NotKept,
}

/// A call as it asks for permission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Call.
    pub identity: Identity,
    /// Fingerprint of what is asked, by which a key that is used again for
    /// something else is found out.
    pub request: u64,
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

impl From<&Response> for Answer {
    fn from(response: &Response) -> Answer {
        let body = match std::str::from_utf8(&response.body) {
            _ if response.body.len() > KEPT_BODY_BYTES => Body::NotKept,
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Base64(BASE64_STANDARD.encode(&response.body)),
        };
        Answer { status: response.status, media_type: response.media_type.clone(), body }
    }
}

impl Answer {
    /// Returns the response, or `None` if its body was not stored.
    pub fn into_response(self) -> Option<Response> {
        let Answer { status, media_type, body } = self;
        let body = match body {
            Body::Text(text) => text.into_bytes(),
            Body::Base64(code) => BASE64_STANDARD.decode(code).ok()?,
            Body::NotKept => return None,
        };
        Some(Response { status, media_type, body })
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

/// Decodes a head row; an absent one belongs to nobody.
pub fn decode_head(row: &Row) -> Result<Head, Error> {
    if row.version == ABSENT { Ok(Head::default()) } else { decode(row) }
}

/// Decodes the batch rows that a head row names, which must be there whole.
pub fn decode_batches(shard: ShardId, head: &Head, rows: &[Row]) -> Result<Vec<Record>, Error> {
    let expected = head.next_batch.saturating_sub(head.first_batch);
    let mut records = Vec::new();
    for (number, row) in (head.first_batch..).zip(rows) {
        let found = number - head.first_batch;
        if found >= expected || row.key != batch_key(shard, number) {
            return Err(Error::Batches { expected, found });
        }
        records.extend(decode::<Batch>(row)?.records);
    }
    let found = rows.len() as u64;
    if found == expected { Ok(records) } else { Err(Error::Batches { expected, found }) }
}

fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let malformed =
        |error: serde_json::Error| Error::Row { key: row.key.clone(), detail: error.to_string() };
    serde_json::from_str(&row.value).map_err(malformed)
}
