//! Group commit: many changes of the journal in one transaction.

use chestnut_base::{RequestId, SlotId};

use crate::record::{JournalRow, Record};

/// One transaction on the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The number of the batch within the journal.
    pub number: u64,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written if all conditions hold.
    pub changes: Vec<Change>,
}

/// A condition of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The claim's row still has the version at which this daemon got it.
    ///
    /// A daemon that was paused may not know that another took its slot over. If
    /// it could still write, both would start the same id. The row's version
    /// changes with every holder, so that the check fails whatever the clocks say.
    Claim {
        /// The slot.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
    },
    /// The id has no row.
    ///
    /// It holds off ids that were dropped from memory, and finds the batch's own
    /// rows when its acknowledgement was lost.
    Absent {
        /// The slot.
        slot: SlotId,
        /// The id.
        id: RequestId,
    },
    /// The id's row has just this version.
    ///
    /// A removal whose acknowledgement was lost may take effect late; without the
    /// check it would remove the record of a run that was started since.
    Version {
        /// The slot.
        slot: SlotId,
        /// The id.
        id: RequestId,
        /// The version.
        version: u64,
    },
}

/// A change of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Creates or replaces the id's row.
    Put(Box<Record>),
    /// Removes the id's row.
    Delete {
        /// The slot.
        slot: SlotId,
        /// The id.
        id: RequestId,
    },
}

/// What became of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// All changes took effect.
    Committed {
        /// The version of the rows that were written.
        version: u64,
    },
    /// A condition failed and nothing was written.
    Conflict {
        /// The index of the first condition that failed.
        condition: usize,
        /// The row as it is, if it exists and belongs to the journal.
        row: Option<Box<JournalRow>>,
    },
    /// Nothing was done.
    Unavailable,
    /// The answer was lost; the changes may have taken effect or still may.
    Unknown,
}

/// A change that waits for the next batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Write {
    /// Records the start of an id, over a row of this version if there is one.
    Start { slot: SlotId, id: RequestId, over: Option<u64> },
    /// Writes what the slot's log holds of an id into the table.
    ///
    /// Over a row of this version if there is one: an attempt that was never handed
    /// on and whose record was believed lost.
    Copy { slot: SlotId, id: RequestId, over: Option<u64> },
    /// Records the answer of an id.
    Finish { slot: SlotId, id: RequestId },
    /// Removes the row of an id that was not run or is past its retention.
    Forget { slot: SlotId, id: RequestId, version: u64 },
}

impl Write {
    /// The slot.
    pub fn slot(&self) -> SlotId {
        match self {
            Self::Start { slot, .. }
            | Self::Copy { slot, .. }
            | Self::Finish { slot, .. }
            | Self::Forget { slot, .. } => *slot,
        }
    }

    /// The id.
    pub fn id(&self) -> &RequestId {
        match self {
            Self::Start { id, .. }
            | Self::Copy { id, .. }
            | Self::Finish { id, .. }
            | Self::Forget { id, .. } => id,
        }
    }

    /// The condition on the id's row, if there is one.
    pub fn condition(&self) -> Option<Condition> {
        match self {
            Self::Start { slot, id, over: None }
            | Self::Copy { slot, id, over: None } => {
                Some(Condition::Absent { slot: *slot, id: id.clone() })
            }
            Self::Start { slot, id, over: Some(version) }
            | Self::Copy { slot, id, over: Some(version) }
            | Self::Forget { slot, id, version } => Some(Condition::Version {
                slot: *slot,
                id: id.clone(),
                version: *version,
            }),
            Self::Finish { .. } => None,
        }
    }
}
