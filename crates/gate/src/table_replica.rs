//! A copy of a table of the store, and what changed in it lately.

use std::time::Instant;

use bytes::Bytes;
use chestnut_edge::Change;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Removed rows that are remembered, to tell others of their removal.
const REMOVED_LIMIT: usize = 1024;

/// A row as daemons pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The version of its last write.
    pub version: u64,
    /// The content; nothing if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// TableChanges of a table as daemons pass them on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The rows that changed.
    pub rows: Vec<Row>,
    /// Whether these are all rows there are.
    #[serde(rename = "whole")]
    pub snapshot: bool,
    /// Up to which version this is complete.
    pub version: u64,
}

/// A copy of a table of the store.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: IndexMap<String, (u64, Bytes)>,
    removed: IndexMap<String, u64>,
    /// Removals up to this version may have been forgotten.
    forgotten: u64,
    /// Up to which version the copy is complete; nothing before the first read.
    version: Option<u64>,
    /// When the store last said that the copy is complete.
    confirmed_at: Option<Instant>,
}

impl TableReplica {
    /// Up to which version the copy is complete.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When the store last said that the copy is complete.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Takes note that the store said at `at` that nothing changed after `version`.
    pub fn record_confirmation(&mut self, version: u64, at: Instant) {
        if self.version.is_some_and(|own| own >= version) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Forgets when the store last said that the copy is complete.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Takes in changes up to `version`; returns those that are new.
    ///
    /// A row of which a newer state is known stays: a read that was answered late
    /// must not bring back what was replaced.
    pub fn apply(&mut self, changes: Vec<Change>, version: u64) -> Vec<Change> {
        let fresh: Vec<Change> =
            changes.into_iter().filter(|change| self.take_one(change)).collect();
        self.version = self.version.max(Some(version));
        fresh
    }

    /// Takes in a row that this daemon has written itself; the copy is as complete as
    /// before.
    ///
    /// A read of all rows tells that a row was removed by leaving it out, which only shows
    /// for rows that the copy has. A daemon whose own row was not in it went on as if that
    /// row stood: the others did not know the daemon and sent it no beats, and it took them
    /// for silent and removed their rows, four times a second, without end.
    pub fn apply_own_write(&mut self, change: &Change) {
        self.take_one(change);
    }

    /// Takes in all rows as of `version`; returns what changed by that.
    ///
    /// Nothing if the copy is newer.
    pub fn apply_snapshot(
        &mut self,
        rows: Vec<Change>,
        version: u64,
    ) -> Option<Vec<Change>> {
        if self.version.is_some_and(|own| own > version) {
            return None;
        }
        let listed = |key: &String| rows.iter().any(|row| row.key == *key);
        let missing: Vec<Change> = self
            .rows
            .keys()
            .filter(|key| !listed(key))
            .map(|key| Change { key: key.clone(), version, value: None })
            .collect();
        let mut fresh = self.apply(missing, version);
        fresh.extend(self.apply(rows, version));
        Some(fresh)
    }

    /// What changed after a version.
    pub fn changes_since(&self, after: u64) -> Option<TableChanges> {
        let version = self.version?;
        let whole = after < self.forgotten;
        let after = if whole { 0 } else { after };
        let row = |(key, (version, value)): (&String, &(u64, Bytes))| Row {
            key: key.clone(),
            version: *version,
            value: Some(value.to_vec()),
        };
        let gone = |(key, version): (&String, &u64)| Row {
            key: key.clone(),
            version: *version,
            value: None,
        };
        let present = self.rows.iter().map(row);
        let removed = self.removed.iter().map(gone);
        let rows = present.chain(removed).filter(|row| row.version > after).collect();
        Some(TableChanges { rows, snapshot: whole, version })
    }

    fn take_one(&mut self, change: &Change) -> bool {
        let known = self.rows.get(&change.key).map(|(version, _)| *version);
        let known = known.or(self.removed.get(&change.key).copied());
        if known.is_some_and(|known| known >= change.version) {
            return false;
        }
        match &change.value {
            Some(value) => {
                self.removed.shift_remove(&change.key);
                self.rows.insert(change.key.clone(), (change.version, value.clone()));
            }
            None => {
                self.rows.swap_remove(&change.key);
                self.removed.insert(change.key.clone(), change.version);
                self.forget_removed();
            }
        }
        true
    }

    fn forget_removed(&mut self) {
        while self.removed.len() > REMOVED_LIMIT
            && let Some((_, version)) = self.removed.shift_remove_index(0)
        {
            self.forgotten = self.forgotten.max(version);
        }
    }
}

impl From<Row> for Change {
    fn from(row: Row) -> Self {
        Self { key: row.key, version: row.version, value: row.value.map(Bytes::from) }
    }
}
