//! Rows of the platform's store.
//!
//! A row lies in a table under a key. Every transaction gives the rows that it
//! writes the next version of one counter that runs over the whole store.

use std::time::Duration;

use bytes::Bytes;

/// A condition of a transaction: the row still has this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// The table's name.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The version; 0 if the row must not exist.
    pub version: u64,
}

/// A change that a transaction makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The table's name.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The new content; nothing removes the row.
    pub value: Option<Bytes>,
}

/// A transaction: all of it takes effect or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Precondition>,
    /// What changes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires that a row has a version; 0 requires that it does not exist.
    pub fn require_version(mut self, table: &str, key: &str, version: u64) -> Self {
        self.checks.push(Precondition { table: table.into(), key: key.into(), version });
        self
    }

    /// Creates or replaces a row.
    pub fn put(mut self, table: &str, key: &str, value: impl Into<Bytes>) -> Self {
        let value = Some(value.into());
        self.writes.push(Write { table: table.into(), key: key.into(), value });
        self
    }

    /// Removes a row.
    pub fn remove(mut self, table: &str, key: &str) -> Self {
        self.writes.push(Write { table: table.into(), key: key.into(), value: None });
        self
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It took effect; its rows have this version.
    Done {
        /// The version of the rows that were written.
        version: u64,
    },
    /// A condition did not hold and nothing changed.
    Conflict,
    /// Nothing was done; the store is busy or turns this daemon away.
    Refused,
}

/// A row that was written or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The row's key.
    pub key: String,
    /// The version of the write.
    pub version: u64,
    /// The content; nothing if the row was removed.
    pub value: Option<Bytes>,
}

/// What changed in a table after a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// The rows, in order of their versions.
    pub changes: Vec<Change>,
    /// The version up to which this is complete; continue from here.
    pub version: u64,
}

/// A part of the rows of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, in order of their keys.
    pub rows: Vec<Change>,
    /// Whether there are rows after these.
    pub more: bool,
    /// The newest version of the store at this moment.
    pub version: u64,
    /// The store's steady clock.
    pub store_time: Duration,
}
