//! Events that the journal handles and effects that it requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{AttemptId, Digest, Refusal, RequestId, ServerName, SlotId, Target};

use crate::batch::{Batch, CommitResult};
use crate::index::WaiterId;
use crate::record::{BodyLocation, JournalRow, Record, Response, ResponseSummary};

/// An input of the journal.
#[derive(Debug, Clone)]
pub enum Event {
    /// The daemon holds the claim of a slot.
    SlotClaimed {
        /// The claimed slot.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
    },
    /// The daemon no longer holds the claim of a slot.
    ClaimLost(SlotId),
    /// The daemon's lease ends at this time; until then nobody takes over its slots.
    LeaseExpiry(Instant),
    /// The slot's rows were read after it was claimed.
    SlotLoaded {
        /// The claimed slot.
        slot: SlotId,
        /// The version of the claim's row under which they were read.
        version: u64,
        /// The rows with the time since each was written.
        rows: Vec<(JournalRow, Duration)>,
        /// The slot's log, sealed against former holders.
        log: SlotLog,
    },
    /// The slot's rows or its log could not be read.
    LoadFailed {
        /// The claimed slot.
        slot: SlotId,
        /// The version of the claim's row under which they were to be read.
        version: u64,
    },
    /// The slot's log shows that a later claim has another holder.
    ClaimSuperseded {
        /// The claimed slot.
        slot: SlotId,
        /// The version of the claim's row under which it was to be read.
        version: u64,
    },
    /// A caller sent a non-idempotent request.
    Submit {
        /// Gets the reply.
        waiter: WaiterId,
        /// The slot of the id.
        slot: SlotId,
        /// The caller and its idempotency key.
        id: RequestId,
        /// A hash of the target and the body.
        digest: Digest,
        /// The attempt to make if the id is new.
        attempt: AttemptId,
        /// The model or service that the request is for.
        target: Target,
    },
    /// A caller queries the outcome of an id.
    Lookup {
        /// Gets the reply.
        waiter: WaiterId,
        /// The slot of the id.
        slot: SlotId,
        /// The caller and its idempotency key.
        id: RequestId,
    },
    /// The result of [`Effect::Commit`].
    CommitFinished {
        /// The number of the batch.
        number: u64,
        /// Whether the batch took effect.
        result: CommitResult,
    },
    /// The result of [`Effect::AppendToLog`].
    AppendFinished {
        /// The slot of the log.
        slot: SlotId,
        /// The number of the append.
        number: u64,
        /// Whether the records are in the log.
        result: AppendResult,
    },
    /// A run ended before the request was sent to a backend server.
    RunRefused {
        /// The id of the request.
        id: RequestId,
        /// The attempt that ended.
        attempt: AttemptId,
        /// Passed on to the waiters.
        refusal: Refusal,
    },
    /// A run was cut off after the request was sent.
    RunInterrupted {
        /// The id of the request.
        id: RequestId,
        /// The attempt that was cut off.
        attempt: AttemptId,
        /// Passed on to the waiters.
        refusal: Refusal,
    },
    /// A run ended with a complete response.
    RunFinished {
        /// The id of the request.
        id: RequestId,
        /// The attempt that ended.
        attempt: AttemptId,
        /// The response with its body.
        response: Arc<Response>,
        /// Where the body is stored.
        body: BodyLocation,
    },
    /// The result of [`Effect::RecoverResponse`].
    RecoveryFinished {
        /// The id of the request.
        id: RequestId,
        /// The attempt whose response was to be recovered.
        attempt: AttemptId,
        /// What was found.
        recovered: Recovered,
    },
    /// The result of [`Effect::FetchBody`].
    BodyFetched {
        /// The id of the request.
        id: RequestId,
        /// `None` if the body could not be read.
        body: Option<Bytes>,
    },
}

/// The log of a slot in the object store.
///
/// It records the starts of requests while the table can't be written, so that they need
/// not wait for the table. Starts go into objects with numbered names, each of which is
/// written only if it doesn't exist. A new holder writes the next number itself, as a
/// seal, so that an append by a former holder finds its position taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotLog {
    /// The logged records, in order.
    pub records: Vec<Record>,
    /// The first free position.
    pub next_position: u64,
}

/// The result of an append to a slot's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The records are in the log.
    Appended,
    /// Another daemon wrote this position or a later one.
    Conflict,
    /// The object store is unavailable; nothing was written.
    Unavailable,
    /// The response was lost; the records may be in the log.
    Unknown,
}

/// What was recovered of an id that was started earlier.
#[derive(Debug, Clone)]
pub enum Recovered {
    /// No response was found.
    Nothing,
    /// Its row now contains the response.
    Row {
        /// The attempt that the row records.
        attempt: AttemptId,
        /// The response without its body.
        summary: ResponseSummary,
        /// The row's version.
        version: u64,
    },
    /// The engine, or the daemon that relayed the run, still had the response.
    Engine {
        /// The response with its body.
        response: Arc<Response>,
        /// Where the body is stored now.
        body: BodyLocation,
    },
}

/// An action that the daemon carries out for the journal.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Seal the slot's log and read it and the rows; results in [`Event::SlotLoaded`],
    /// [`Event::LoadFailed`] or [`Event::ClaimSuperseded`].
    ///
    /// A log that was sealed under a later claim must not be sealed again.
    LoadSlot {
        /// The claimed slot.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
    },
    /// Commit a batch; results in [`Event::CommitFinished`].
    Commit(Batch),
    /// Write records to a position of a slot's log if it is free and the last one;
    /// results in [`Event::AppendFinished`].
    AppendToLog {
        /// The slot of the log.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
        /// Unique among the batches and appends of one journal.
        number: u64,
        /// The position in the log.
        position: u64,
        /// The records to write.
        records: Vec<Record>,
    },
    /// Empty a position of a slot's log, and delete those before it; the table has them.
    ///
    /// A late append may write to a deleted position. Readers must ignore what precedes a
    /// position that was emptied.
    TrimLog {
        /// The slot of the log.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
        /// The first position that stays.
        position: u64,
    },
    /// Dispatch the request once; results in [`Event::RunRefused`],
    /// [`Event::RunInterrupted`] or [`Event::RunFinished`].
    Run {
        /// The waiter that submitted the request.
        waiter: WaiterId,
        /// The id of the request.
        id: RequestId,
        /// The attempt under which it runs.
        attempt: AttemptId,
    },
    /// Send the final reply to a waiter.
    Reply {
        /// Gets the reply.
        waiter: WaiterId,
        /// The result for this waiter.
        reply: Reply,
    },
    /// Look for the response to an id that was started earlier; results in
    /// [`Event::RecoveryFinished`].
    RecoverResponse {
        /// The slot of the id.
        slot: SlotId,
        /// The id of the request.
        id: RequestId,
        /// The attempt that was started.
        attempt: AttemptId,
        /// The model or service that the request was for.
        target: Target,
        /// The backend server that ran it, if known.
        server: Option<ServerName>,
    },
    /// Read the body of a stored response from the object store; results in
    /// [`Event::BodyFetched`].
    FetchBody {
        /// The id of the request.
        id: RequestId,
        /// The key of the object.
        key: String,
    },
    /// Delete the body of an expired response, by its key, from the object store.
    DeleteBody(String),
    /// Read the slot's log and then the id's row, and reply to the waiter with the
    /// stored state.
    ReadState {
        /// Gets the reply.
        waiter: WaiterId,
        /// The slot of the id.
        slot: SlotId,
        /// The id to look up.
        id: RequestId,
    },
}

/// The result for one waiter.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The complete response; a waiter that already streamed it treats this as the
    /// end of the stream.
    Response(Arc<Response>),
    /// Why there is no response.
    Refused(Refusal),
    /// The request is running; sent only in reply to a lookup.
    Running,
}
