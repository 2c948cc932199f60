//! What one daemon has of the configuration, and whether it is fresh enough.
//!
//! Failure: a daemon that was frozen, cut off or has just started holds old
//! declarations. Symptom: it serves a route or a deadline that its operators
//! replaced, while they were told that the new one is in force. Two rules
//! suffice against it: a replica's revision never falls, and a replica that was
//! not confirmed for some time says so ([`ConfigReplica::is_fresh`]), so that its
//! daemon takes no new work.
//!
//! The table confirms a replica, and so does a peer that is itself fresh and
//! knows no newer revision; peers that are not fresh confirm nobody. While the
//! table is down nothing can be accepted, and the fresh daemons confirm each
//! other, so that an outage of the platform stops no caller.

use std::time::{Duration, Instant};

use chestnut_base::Revision;
use serde::{Deserialize, Serialize};

use crate::rows::{FileRow, Files};

/// What one daemon has of the configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    /// All files; their revision never falls.
    files: Files,
    /// The version of the table up to which the files are complete.
    version: u64,
    /// When the question was sent whose answer confirmed the files last.
    ///
    /// The answer may have taken long; only what was accepted before the
    /// question was sent is sure to be in it.
    confirmed: Option<Instant>,
}

/// What a daemon tells a peer that can't read the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The daemon's revision.
    pub revision: Revision,
    /// Whether the daemon is itself fresh.
    pub fresh: bool,
    /// The files that changed after the revision that the peer has.
    pub rows: Vec<FileRow>,
}

impl ConfigReplica {
    /// The files.
    pub fn files(&self) -> &Files {
        &self.files
    }

    /// The version of the table after which to read.
    pub fn table_version(&self) -> u64 {
        self.version
    }

    /// Takes in all rows that the table wrote after [`Self::version`].
    pub fn apply_changes(&mut self, rows: Vec<FileRow>, version: u64, asked: Instant) {
        for row in rows {
            self.files.update(row);
        }
        self.version = self.version.max(version);
        self.confirm(asked);
    }

    /// Takes in a peer's answer to a question sent at `asked`.
    pub fn apply_update(&mut self, peer: ReplicaUpdate, asked: Instant) {
        for row in peer.rows {
            self.files.update(row);
        }
        if peer.fresh && peer.revision >= self.files.revision() {
            self.confirm(asked);
        }
    }

    /// What to tell a peer that has revision `have`.
    pub fn update_for(
        &self,
        have: Revision,
        now: Instant,
        limit: Duration,
    ) -> ReplicaUpdate {
        let newer = self.files.rows().filter(|row| row.revision > have);
        ReplicaUpdate {
            revision: self.files.revision(),
            fresh: self.is_fresh(now, limit),
            rows: newer.cloned().collect(),
        }
    }

    /// Whether the files were confirmed within `limit`.
    pub fn is_fresh(&self, now: Instant, limit: Duration) -> bool {
        self.confirmation_age(now).is_some_and(|age| age <= limit)
    }

    /// How long ago the files were confirmed, if ever.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    fn confirm(&mut self, asked: Instant) {
        self.confirmed = self.confirmed.max(Some(asked));
    }
}
