//! Rows and transactions of the platform's store.
//!
//! A row is identified by its table and key. A single counter provides the versions
//! for the whole store: each transaction increments it and stamps the rows that it
//! writes with the new value.

use std::time::Duration;

use bytes::Bytes;

/// A condition of a transaction: the row has the given version at commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// The name of the row's table.
    pub table: String,
    /// The row's key within the table.
    pub key: String,
    /// The required version; 0 if the row must not exist.
    pub version: u64,
}

/// A write to one row within a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The name of the row's table.
    pub table: String,
    /// The row's key within the table.
    pub key: String,
    /// The new content; `None` deletes the row.
    pub value: Option<Bytes>,
}

/// An atomic group of writes, with the preconditions for all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// All of these must hold at commit.
    pub preconditions: Vec<Precondition>,
    /// Applied together if the preconditions hold.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires that the row has the version at commit; 0 requires that it does not
    /// exist.
    pub fn require_version(mut self, table: &str, key: &str, version: u64) -> Self {
        self.preconditions.push(Precondition {
            table: table.into(),
            key: key.into(),
            version,
        });
        self
    }

    /// Creates or replaces a row.
    pub fn put(mut self, table: &str, key: &str, value: impl Into<Bytes>) -> Self {
        let value = Some(value.into());
        self.writes.push(Write { table: table.into(), key: key.into(), value });
        self
    }

    /// Deletes a row.
    pub fn delete(mut self, table: &str, key: &str) -> Self {
        self.writes.push(Write { table: table.into(), key: key.into(), value: None });
        self
    }
}

/// The store's response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction was committed.
    Committed {
        /// The new version of the written rows.
        version: u64,
    },
    /// A precondition did not hold; nothing was written.
    Conflict,
    /// The store was busy or rejected this daemon; nothing was written.
    Refused,
}

/// The state of a row after its last write or deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The row's key within the table.
    pub key: String,
    /// The version of the write or deletion.
    pub version: u64,
    /// The content; `None` if the row was deleted.
    pub value: Option<Bytes>,
}

/// The changes of a table after a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// The changed rows, in order of their versions.
    pub changes: Vec<Change>,
    /// The changes are complete up to this version; the next request continues here.
    pub version: u64,
}

/// One page of a scan over a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, in order of their keys.
    pub rows: Vec<Change>,
    /// Whether more rows follow.
    pub has_more: bool,
    /// The store's newest version when the page was read.
    pub version: u64,
    /// The store's monotonic clock when the page was read.
    pub store_time: Duration,
}
