//! Format of a shard's rows in the platform's table.

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
use crate::snapshot::Descriptor;

/// Number of shards. It can only be changed while the ledger is empty.
pub const SHARD_COUNT: u32 = 64;
/// How long a lease lasts after the last change of its head row.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Maximum time between two writes of the head row by the lease holder.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between the starts of two commits of a shard.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// How long the holder keeps its lease without calls.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the record of an ended call is retained, in seconds.
pub const RETENTION_S: u64 = 24 * 3600;
/// Maximum size of a response body stored for resubmissions, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Number of batch rows of a shard at which a snapshot replaces them.
pub const COMPACTION_ROWS: u64 = 256;

/// Number of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardId(pub u32);

/// Identifies a call across resubmissions: the hash of its name, in hex.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity(pub String);

/// The daemon that holds the lease of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the daemon, or empty if the lease is free.
    pub daemon: String,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Address at which its peers reach it.
    pub address: String,
}

/// Content of the head row, which contains the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Fencing token, which increases with every new holder.
    pub fence: u64,
    /// Lease holder.
    pub holder: Holder,
    /// Number of the next batch.
    pub next_batch: u64,
    /// Unique token of the last commit. If the reply to a commit is lost, the
    /// token shows whether it took effect.
    pub token: u64,
    /// Number of the first batch that is not part of the snapshot.
    #[serde(default)]
    pub first_batch: u64,
    /// Snapshot of all batches before `first_batch`.
    #[serde(default)]
    pub snapshot: Option<Descriptor>,
    /// Names of the objects to delete: replaced snapshots, and drafts that never
    /// became the snapshot.
    #[serde(default)]
    pub spare: Vec<String>,
}

/// Content of a batch row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records in the order in which they were written.
    pub records: Vec<Record>,
}

/// A state change of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the call.
    pub identity: Identity,
    /// The step that the call has reached.
    pub step: Step,
    /// Wall clock time of the step, in seconds since the Unix epoch.
    #[serde(default)]
    pub wall_s: u64,
    /// Fingerprint of the request. Batch rows have it in intents only, and 0 in
    /// outcomes.
    #[serde(default)]
    pub request: u64,
}

/// A step in the lifecycle of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The call may be sent to an endpoint.
    Intent,
    /// The call was executed and answered.
    Done(Answer),
    /// The call was not executed. A new intent is allowed.
    NotRun,
    /// The call was sent and its outcome can't be determined.
    Unknown,
}

/// A response stored for resubmissions of its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media_type: String,
    /// Body.
    pub body: Body,
}

/// Stored body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Any other content, in Base64.
    Base64(String),
    /// Larger than [`MAX_STORED_BODY_BYTES`], so not stored.
    NotKept,
}

/// Request of a call for permission to be executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Identity of the call.
    pub identity: Identity,
    /// Fingerprint of the request, used to detect a key that is reused for a
    /// different request.
    pub fingerprint: u64,
}

impl Identity {
    /// Derives the identity of a call from the name that identifies it across
    /// resubmissions.
    pub fn from_name(name: &str) -> Identity {
        Identity(format!("{:032x}", xxh3_128(name.as_bytes())))
    }

    /// Returns the shard that records this call.
    pub fn shard(&self) -> ShardId {
        ShardId((xxh3_64(self.0.as_bytes()) % u64::from(SHARD_COUNT)) as u32)
    }
}

impl From<&Response> for Answer {
    fn from(response: &Response) -> Answer {
        let body = match std::str::from_utf8(&response.body) {
            _ if response.body.len() > MAX_STORED_BODY_BYTES => Body::NotKept,
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
            Body::Base64(encoded) => BASE64_STANDARD.decode(encoded).ok()?,
            Body::NotKept => return None,
        };
        Some(Response { status, media_type, body })
    }
}

/// Returns the key of the head row of a shard.
pub fn head_key(shard: ShardId) -> String {
    format!("ledger/{:05}/head", shard.0)
}

/// Returns the key prefix of the batch rows of a shard.
pub fn batch_prefix(shard: ShardId) -> String {
    format!("ledger/{:05}/batch/", shard.0)
}

/// Returns the key of a batch row of a shard.
pub fn batch_key(shard: ShardId, batch: u64) -> String {
    format!("{}{batch:020}", batch_prefix(shard))
}

/// Decodes a head row. An absent row is decoded as a free lease.
pub fn decode_head(row: &Row) -> Result<Head, Error> {
    if row.version == ABSENT { Ok(Head::default()) } else { decode(row) }
}

/// Decodes the batch rows of a shard. Returns an error unless they are exactly
/// the ones that the head row refers to.
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
