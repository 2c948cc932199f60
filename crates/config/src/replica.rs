//! A daemon's replica of the declarations, and whether it is fresh.
//!
//! A daemon that was suspended, partitioned or just started holds old
//! declarations. It would serve replaced routes or deadlines after their operators
//! got the confirmation that the new ones are in force. Two rules prevent this: the
//! revision of a replica never decreases, and a daemon whose replica was not confirmed
//! within the staleness limit ([`ConfigReplica::is_fresh`]) accepts no new requests.
//!
//! A replica is confirmed by the table, or by a peer that is itself fresh and
//! has no older revision; peers that are not fresh confirm nothing. While the
//! table is unavailable no change can be accepted, so the fresh daemons confirm
//! each other and an outage of the platform affects no caller.

use std::time::{Duration, Instant};

use chestnut_base::Revision;
use serde::{Deserialize, Serialize};

use crate::rows::{FileRow, Files};

/// A daemon's replica of the declarations.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    files: Files,
    /// The version of the table up to which the files are complete.
    table_version: u64,
    /// When the request was sent whose response last confirmed the files.
    ///
    /// The response may be delayed: only changes that were accepted before the
    /// request was sent are certain to be in it.
    confirmed_at: Option<Instant>,
}

/// A daemon's response to a peer that can't read the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The responding daemon's revision.
    pub revision: Revision,
    /// Whether the responding daemon's replica is fresh.
    pub fresh: bool,
    /// The files that changed after the peer's revision.
    pub rows: Vec<FileRow>,
}

impl ConfigReplica {
    /// The files; none is ever replaced by an older revision of it.
    pub fn files(&self) -> &Files {
        &self.files
    }

    /// The version of the table up to which the files are complete.
    pub fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Applies all rows that the table wrote after [`Self::table_version`], read by a
    /// request sent at `requested_at`.
    pub fn apply_changes(
        &mut self,
        rows: Vec<FileRow>,
        version: u64,
        requested_at: Instant,
    ) {
        for row in rows {
            self.files.update(row);
        }
        self.table_version = self.table_version.max(version);
        self.confirm(requested_at);
    }

    /// Applies a peer's response to a request sent at `requested_at`.
    pub fn apply_update(&mut self, update: ReplicaUpdate, requested_at: Instant) {
        for row in update.rows {
            self.files.update(row);
        }
        if update.fresh && update.revision >= self.files.revision() {
            self.confirm(requested_at);
        }
    }

    /// The response to a peer that has revision `peer_revision`.
    pub fn update_for(
        &self,
        peer_revision: Revision,
        now: Instant,
        max_staleness: Duration,
    ) -> ReplicaUpdate {
        let newer = self.files.rows().filter(|row| row.revision > peer_revision);
        ReplicaUpdate {
            revision: self.files.revision(),
            fresh: self.is_fresh(now, max_staleness),
            rows: newer.cloned().collect(),
        }
    }

    /// Whether the files were confirmed within `max_staleness`.
    pub fn is_fresh(&self, now: Instant, max_staleness: Duration) -> bool {
        self.confirmation_age(now).is_some_and(|age| age <= max_staleness)
    }

    /// The time since the files were confirmed; `None` before the first time.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    fn confirm(&mut self, requested_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }
}
