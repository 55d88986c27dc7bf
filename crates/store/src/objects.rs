//! Object store: named values that are written as a whole; the last write wins.

use crate::Error;

/// The object store.
pub trait Objects: Send + Sync {
    /// Reads an object, or returns `None` if there is none.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
    /// Writes an object, replacing any previous content.
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error>;
    /// Deletes an object, if there is one.
    fn delete(&self, name: &str) -> Result<(), Error>;
}
