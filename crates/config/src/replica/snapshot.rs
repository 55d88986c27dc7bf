//! Snapshots of the catalog in the object store, so that a start doesn't
//! replay every change.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::catalog::Catalog;

/// Key of the row that names the newest snapshot.
pub const POINTER_KEY: &str = "config/snapshot";
/// Revisions between two snapshots.
pub const INTERVAL: u64 = 256;

/// Content of the row that names the newest snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// Revision.
    pub revision: u64,
    /// SHA-256 of the object, in hex.
    pub sha256: String,
}

/// A snapshot with the row that names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The row's content.
    pub pointer: Pointer,
    /// The object's content.
    pub content: Vec<u8>,
}

impl Snapshot {
    /// Snapshot of a catalog.
    pub fn new(catalog: &Catalog) -> Result<Snapshot, serde_json::Error> {
        let content = serde_json::to_vec(catalog)?;
        let pointer = Pointer { revision: catalog.revision, sha256: checksum(&content) };
        Ok(Snapshot { pointer, content })
    }

    /// The catalog, if the content is that which was saved.
    pub fn catalog(&self) -> Result<Catalog, String> {
        if checksum(&self.content) != self.pointer.sha256 {
            return Err("its checksum is another than the pointer's".to_owned());
        }
        let catalog: Catalog =
            serde_json::from_slice(&self.content).map_err(|it| it.to_string())?;
        if catalog.revision != self.pointer.revision {
            return Err("its revision is another than the pointer's".to_owned());
        }
        Ok(catalog)
    }
}

/// Name of the object of a snapshot.
pub fn object_name(revision: u64) -> String {
    format!("config-snapshot-{revision:020}")
}

fn checksum(content: &[u8]) -> String {
    Sha256::digest(content).iter().map(|byte| format!("{byte:02x}")).collect()
}
