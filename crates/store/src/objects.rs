//! Object store: whole values under a name, last writer wins.

use crate::Error;

/// The object store.
pub trait Objects: Send + Sync {
    /// Reads an object, `None` when there is none.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
    /// Writes an object.
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error>;
    /// Removes an object, if there is one.
    fn delete(&self, name: &str) -> Result<(), Error>;
}
