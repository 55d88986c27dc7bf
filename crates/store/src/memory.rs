//! An in-memory table and object store, for tests and for the fake platform.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::Error;
use crate::objects::Objects;
use crate::table::ABSENT;
use crate::table::Check;
use crate::table::Commit;
use crate::table::Row;
use crate::table::Table;
use crate::table::Transaction;

/// In-memory table and object store.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
}

impl Memory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Table for Memory {
    fn read(&self, key: &str) -> Result<Row, Error> {
        Ok(self.lock().read(key))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let state = self.lock();
        let from = if after > prefix { after } else { prefix };
        let rows = state.rows.range(from.to_owned()..).map(|(_, row)| row);
        let in_prefix = rows.take_while(|row| row.key.starts_with(prefix));
        Ok(in_prefix.filter(|row| row.key.as_str() > after).take(limit).cloned().collect())
    }

    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let mut state = self.lock();
        let mismatches: Vec<Row> =
            transaction.checks.iter().filter_map(|check| state.mismatch(check)).collect();
        if !mismatches.is_empty() {
            return Ok(Commit::Conflict { rows: mismatches });
        }
        state.apply(transaction);
        Ok(Commit::Done { version: state.version })
    }
}

impl Objects for Memory {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        Ok(self.lock().objects.get(name).cloned())
    }

    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        self.lock().objects.insert(name.to_owned(), content.to_vec());
        Ok(())
    }

    fn delete(&self, name: &str) -> Result<(), Error> {
        self.lock().objects.remove(name);
        Ok(())
    }
}

impl State {
    fn read(&self, key: &str) -> Row {
        let absent = Row { key: key.to_owned(), version: ABSENT, value: String::new() };
        self.rows.get(key).cloned().unwrap_or(absent)
    }

    /// Returns the current row if it doesn't match the check.
    fn mismatch(&self, check: &Check) -> Option<Row> {
        let row = self.read(&check.key);
        (row.version != check.version).then_some(row)
    }

    fn apply(&mut self, transaction: &Transaction) {
        self.version += 1;
        for put in &transaction.puts {
            let row = Row { key: put.key.clone(), version: self.version, value: put.value.clone() };
            self.rows.insert(put.key.clone(), row);
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
    }
}
