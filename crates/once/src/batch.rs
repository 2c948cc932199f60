//! Group commit: many journal changes in one transaction of the table service.

use chestnut_base::{AttemptId, RequestId, SlotId};

use crate::record::{JournalRow, Record};

/// One transaction on the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Unique among the batches and appends of one [`Journal`](crate::Journal).
    pub number: u64,
    /// Checked in this order; all must hold.
    pub conditions: Vec<Condition>,
    /// Applied together if all conditions hold.
    pub changes: Vec<Change>,
}

/// A precondition of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The claim's row still has the version at which this daemon claimed the slot.
    ///
    /// Fences off a daemon that was suspended while another took over its slot;
    /// otherwise both could start the same id. The version changes with every
    /// holder, so the check doesn't depend on clocks.
    Claim {
        /// The claimed slot.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
    },
    /// The id has no row.
    ///
    /// Detects ids that were started and then evicted from memory. If the batch is sent
    /// again after an unknown result, it also detects rows that the batch itself wrote.
    Absent {
        /// The slot of the id.
        slot: SlotId,
        /// The id without a row.
        id: RequestId,
    },
    /// The id's row has exactly this version.
    ///
    /// A delete whose result is unknown may take effect late. Without the check it
    /// could delete the record of a run that started in the meantime.
    Version {
        /// The slot of the id.
        slot: SlotId,
        /// The id of the row.
        id: RequestId,
        /// The expected version of the row.
        version: u64,
    },
}

/// A change to a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Creates or replaces the id's row.
    Put(Box<Record>),
    /// Deletes the id's row.
    Delete {
        /// The slot of the id.
        slot: SlotId,
        /// The id of the row.
        id: RequestId,
    },
}

/// The result of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// All changes took effect.
    Committed {
        /// The new version of the written rows.
        version: u64,
    },
    /// A condition failed and nothing was written.
    Conflict {
        /// The index of the first condition that failed.
        condition: usize,
        /// The current row, if it exists and belongs to the journal.
        row: Option<Box<JournalRow>>,
    },
    /// The table service is unavailable; nothing was written.
    Unavailable,
    /// The response was lost; the changes may have taken effect or may still do so.
    Unknown,
}

/// A change that waits for the next batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PendingWrite {
    /// Records the start of an id, replacing a row of the given version if any.
    ///
    /// The id may have been refused and sent again with another body meanwhile; then its
    /// entry has another attempt, and another start is queued for it.
    Start {
        slot: SlotId,
        id: RequestId,
        attempt: AttemptId,
        replaced_version: Option<u64>,
    },
    /// Copies the record of an id from the slot's log into the table.
    ///
    /// The row that it replaces, if any, belongs to an attempt that was never
    /// dispatched and whose record was assumed to be lost.
    CopyFromLog { slot: SlotId, id: RequestId, replaced_version: Option<u64> },
    /// Records the response to an id.
    StoreResponse { slot: SlotId, id: RequestId },
    /// Deletes the row of an id that was not run or whose retention has ended.
    DeleteRow { slot: SlotId, id: RequestId, version: u64 },
}

impl PendingWrite {
    pub fn slot(&self) -> SlotId {
        match self {
            Self::Start { slot, .. }
            | Self::CopyFromLog { slot, .. }
            | Self::StoreResponse { slot, .. }
            | Self::DeleteRow { slot, .. } => *slot,
        }
    }

    pub fn id(&self) -> &RequestId {
        match self {
            Self::Start { id, .. }
            | Self::CopyFromLog { id, .. }
            | Self::StoreResponse { id, .. }
            | Self::DeleteRow { id, .. } => id,
        }
    }

    /// The precondition on the id's row; `None` for a response.
    pub fn condition(&self) -> Option<Condition> {
        match self {
            Self::Start { slot, id, replaced_version: None, .. }
            | Self::CopyFromLog { slot, id, replaced_version: None } => {
                Some(Condition::Absent { slot: *slot, id: id.clone() })
            }
            Self::Start { slot, id, replaced_version: Some(version), .. }
            | Self::CopyFromLog { slot, id, replaced_version: Some(version) }
            | Self::DeleteRow { slot, id, version } => Some(Condition::Version {
                slot: *slot,
                id: id.clone(),
                version: *version,
            }),
            Self::StoreResponse { .. } => None,
        }
    }
}
