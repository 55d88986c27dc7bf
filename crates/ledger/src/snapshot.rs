//! A snapshot of a shard in the object store, which replaces batch rows.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::Error;
use crate::record::Record;
use crate::record::ShardId;

/// Version of the content.
const VERSION: u32 = 1;

/// Names a snapshot and says what it contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Named {
    /// Name of the object.
    pub name: String,
    /// Checksum of the object, in hex.
    pub checksum: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Content {
    version: u32,
    shard: u32,
    records: Vec<Record>,
}

/// Name of an object that was never used before: `token` differs on each try.
pub fn object_name(shard: ShardId, fence: u64, token: u64) -> String {
    format!("ledger/{:05}/{fence:020}-{token:016x}", shard.0)
}

/// Encodes a snapshot.
pub fn encode(shard: ShardId, records: Vec<Record>) -> Vec<u8> {
    let content = Content { version: VERSION, shard: shard.0, records };
    serde_json::to_vec(&content).unwrap_or_default()
}

/// Checksum of an encoded snapshot.
pub fn checksum(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

/// Decodes the snapshot that the head row names.
pub fn decode(shard: ShardId, named: &Named, bytes: Option<&[u8]>) -> Result<Vec<Record>, Error> {
    let name = named.name.clone();
    let Some(bytes) = bytes else { return Err(Error::Missing { name }) };
    let damaged = |detail: String| Error::Damaged { name: named.name.clone(), detail };
    let found = checksum(bytes);
    if found != named.checksum {
        return Err(damaged(format!("checksum {found} in place of {}", named.checksum)));
    }
    let content: Content =
        serde_json::from_slice(bytes).map_err(|error| damaged(error.to_string()))?;
    if content.version != VERSION || content.shard != shard.0 {
        return Err(damaged(format!("version {}, shard {}", content.version, content.shard)));
    }
    Ok(content.records)
}
