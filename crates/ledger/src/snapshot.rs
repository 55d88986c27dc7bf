//! Format of the snapshots that replace batch rows of a shard. They are kept in
//! the object store.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::Error;
use crate::record::Record;
use crate::record::ShardId;

/// Version of the snapshot format.
const VERSION: u32 = 1;

/// Name and checksum of a snapshot object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Name of the object.
    pub name: String,
    /// Checksum of the object's content, in hex.
    pub checksum: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Content {
    version: u32,
    shard: u32,
    records: Vec<Record>,
}

/// Returns a new object name. The name is unique because every attempt uses
/// another `token`.
pub fn object_name(shard: ShardId, fence: u64, token: u64) -> String {
    format!("ledger/{:05}/{fence:020}-{token:016x}", shard.0)
}

/// Encodes a snapshot.
pub fn encode(shard: ShardId, records: Vec<Record>) -> Vec<u8> {
    let content = Content { version: VERSION, shard: shard.0, records };
    serde_json::to_vec(&content).unwrap_or_default()
}

/// Returns the checksum of an encoded snapshot, in hex.
pub fn checksum(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

/// Decodes the snapshot that the head row refers to. Returns an error if the
/// object is missing, has another checksum, or belongs to another shard or
/// format version.
pub fn decode(
    shard: ShardId,
    descriptor: &Descriptor,
    bytes: Option<&[u8]>,
) -> Result<Vec<Record>, Error> {
    let name = descriptor.name.clone();
    let Some(bytes) = bytes else { return Err(Error::Missing { name }) };
    let corrupt = |detail: String| Error::Corrupt { name: descriptor.name.clone(), detail };
    let found = checksum(bytes);
    if found != descriptor.checksum {
        return Err(corrupt(format!("checksum is {found}, expected {}", descriptor.checksum)));
    }
    let content: Content =
        serde_json::from_slice(bytes).map_err(|error| corrupt(error.to_string()))?;
    if content.version != VERSION || content.shard != shard.0 {
        return Err(corrupt(format!("version {}, shard {}", content.version, content.shard)));
    }
    Ok(content.records)
}
