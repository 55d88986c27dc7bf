//! Snapshots of the catalog in the object store, so that a starting daemon
//! doesn't replay every change.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::catalog::Catalog;

/// Key of the pointer row, which identifies the latest snapshot.
pub const POINTER_KEY: &str = "config/snapshot";
/// Number of revisions between two snapshots.
pub const INTERVAL: u64 = 256;

/// Content of the pointer row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// Revision of the snapshot.
    pub revision: u64,
    /// SHA-256 of the object, in lower-case hex.
    pub sha256: String,
}

/// A snapshot with its pointer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Content of the pointer row.
    pub pointer: Pointer,
    /// Content of the object.
    pub content: Vec<u8>,
}

impl Snapshot {
    /// Creates a snapshot of a catalog. Fails if the catalog can't be encoded.
    pub fn new(catalog: &Catalog) -> Result<Snapshot, serde_json::Error> {
        let content = serde_json::to_vec(catalog)?;
        let pointer = Pointer { revision: catalog.revision, sha256: checksum(&content) };
        Ok(Snapshot { pointer, content })
    }

    /// Decodes the catalog. Fails if the content does not match the pointer or
    /// is malformed.
    pub fn catalog(&self) -> Result<Catalog, String> {
        if checksum(&self.content) != self.pointer.sha256 {
            return Err("its checksum does not match the pointer".to_owned());
        }
        let catalog: Catalog =
            serde_json::from_slice(&self.content).map_err(|it| it.to_string())?;
        if catalog.revision != self.pointer.revision {
            return Err("its revision does not match the pointer".to_owned());
        }
        Ok(catalog)
    }
}

/// Returns the name of the object that holds the snapshot of `revision`.
pub fn object_name(revision: u64) -> String {
    format!("config-snapshot-{revision:020}")
}

fn checksum(content: &[u8]) -> String {
    Sha256::digest(content).iter().map(|byte| format!("{byte:02x}")).collect()
}
