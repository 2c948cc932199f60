//! An in-memory replica of a table of the store, with tombstones of recently removed
//! rows.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_edge::Change;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The number of tombstones that are retained, so that other daemons learn of removals.
const MAX_TOMBSTONES: usize = 1024;

/// The least time between two confirmations by the store that other daemons report.
///
/// A reported age lacks the transit of the report. Two daemons that report the same
/// confirmation to each other would take each report for a later confirmation, and their
/// replicas would seem younger than they are for as long as the store is unavailable.
pub const MIN_CONFIRMATION_INTERVAL: Duration = Duration::from_millis(150);

/// A row as daemons send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The version of its last write or removal.
    pub version: u64,
    /// The content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Changes of a table as daemons send them to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The rows that changed, or all rows of a snapshot.
    pub rows: Vec<Row>,
    /// Whether `rows` holds the whole table, so that rows missing from it were removed.
    #[serde(rename = "whole")]
    pub snapshot: bool,
    /// The version up to which the changes are complete.
    pub version: u64,
}

/// The time as of which a response confirms a replica.
///
/// `received_at` would be too late: a response may wait for its body or in a full link. The
/// store held a long poll without changes for `hold`, and may have responded with changes at
/// once.
pub fn confirmation_time(
    sent_at: Instant,
    hold: Duration,
    received_at: Instant,
    has_changes: bool,
) -> Instant {
    match has_changes {
        true => sent_at,
        false => received_at.min(sent_at + hold),
    }
}

/// Whether a reported confirmation must be a later one than the last.
pub fn is_later_confirmation(last: Option<Instant>, reported: Instant) -> bool {
    last.is_none_or(|last| reported >= last + MIN_CONFIRMATION_INTERVAL)
}

/// A replica of a table of the store.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: IndexMap<String, (u64, Bytes)>,
    tombstones: IndexMap<String, u64>,
    /// Tombstones up to this version may be missing: they were pruned, or not in a snapshot.
    pruned_version: u64,
    /// The version up to which the replica is complete; `None` before the first read.
    version: Option<u64>,
    /// When the store last confirmed that the replica is complete.
    confirmed_at: Option<Instant>,
}

impl TableReplica {
    /// The version up to which the replica is complete; `None` before the first read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When the store last confirmed that the replica is complete.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Records that at `at` the store had no changes after `version`; ignored if the
    /// replica is older than that.
    pub fn record_confirmation(&mut self, version: u64, at: Instant) {
        if self.version.is_some_and(|current| current >= version) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records a confirmation that another daemon reports; ignored unless it must be a later
    /// one than the last.
    pub fn record_reported_confirmation(&mut self, version: u64, at: Instant) {
        if is_later_confirmation(self.confirmed_at, at) {
            self.record_confirmation(version, at);
        }
    }

    /// Discards the last confirmation, so that the replica counts as outdated.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Applies changes up to `version`; returns those that were new.
    ///
    /// A row of the same or a newer version is kept: a delayed response must not restore a
    /// replaced or removed row.
    pub fn apply(&mut self, changes: Vec<Change>, version: u64) -> Vec<Change> {
        let applied: Vec<Change> =
            changes.into_iter().filter(|change| self.apply_change(change)).collect();
        self.version = self.version.max(Some(version));
        applied
    }

    /// Applies a row that this daemon has written itself; the replica's version stays.
    ///
    /// Returns whether the row is current: by the time of the response it may have been
    /// replaced or removed again.
    ///
    /// A snapshot lacks removed rows, so it reveals a removal only if the replica holds the
    /// row. If a daemon's own row were not applied here, the daemon could miss its removal.
    /// It would then receive no heartbeats, consider the other daemons unresponsive, and
    /// remove their rows four times a second without end.
    #[must_use]
    pub fn apply_own_write(&mut self, change: &Change) -> bool {
        let is_new = self.apply_change(change);
        // The change may have been read before the response arrived.
        is_new || self.rows.get(&change.key).is_some_and(|row| row.0 == change.version)
    }

    /// Replaces all rows by those as of `version`; returns what changed, or `None` if the
    /// replica is newer.
    pub fn apply_snapshot(
        &mut self,
        rows: Vec<Change>,
        version: u64,
    ) -> Option<Vec<Change>> {
        if self.version.is_some_and(|current| current > version) {
            return None;
        }
        let listed = |key: &String| rows.iter().any(|row| row.key == *key);
        let missing: Vec<Change> = self
            .rows
            .keys()
            .filter(|key| !listed(key))
            .map(|key| Change { key: key.clone(), version, value: None })
            .collect();
        let mut applied = self.apply(missing, version);
        applied.extend(self.apply(rows, version));
        // Rows that were removed before may be ones that this replica never held.
        self.pruned_version = self.pruned_version.max(version);
        Some(applied)
    }

    /// The changes after a version, or a snapshot if tombstones after it may be missing;
    /// `None` before the first read.
    pub fn changes_since(&self, after: u64) -> Option<TableChanges> {
        let version = self.version?;
        let snapshot = after < self.pruned_version;
        let after = if snapshot { 0 } else { after };
        let row = |(key, (version, value)): (&String, &(u64, Bytes))| Row {
            key: key.clone(),
            version: *version,
            value: Some(value.to_vec()),
        };
        let tombstone = |(key, version): (&String, &u64)| Row {
            key: key.clone(),
            version: *version,
            value: None,
        };
        let present = self.rows.iter().map(row);
        let tombstones = self.tombstones.iter().map(tombstone);
        let rows = present.chain(tombstones).filter(|row| row.version > after).collect();
        Some(TableChanges { rows, snapshot, version })
    }

    fn apply_change(&mut self, change: &Change) -> bool {
        let current = self.rows.get(&change.key).map(|(version, _)| *version);
        let current = current.or(self.tombstones.get(&change.key).copied());
        if current.is_some_and(|current| current >= change.version) {
            return false;
        }
        match &change.value {
            Some(value) => {
                self.tombstones.shift_remove(&change.key);
                self.rows.insert(change.key.clone(), (change.version, value.clone()));
            }
            None => {
                self.rows.swap_remove(&change.key);
                self.tombstones.insert(change.key.clone(), change.version);
                self.prune_tombstones();
            }
        }
        true
    }

    fn prune_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES
            && let Some((_, version)) = self.tombstones.shift_remove_index(0)
        {
            self.pruned_version = self.pruned_version.max(version);
        }
    }
}

impl From<Row> for Change {
    fn from(row: Row) -> Self {
        Self { key: row.key, version: row.version, value: row.value.map(Bytes::from) }
    }
}
