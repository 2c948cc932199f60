//! What goes into the journal and what comes out of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{AttemptId, Digest, Refusal, RequestId, ServerName, SlotId, Target};

use crate::batch::{Batch, CommitResult};
use crate::index::WaiterId;
use crate::record::{BodyLocation, JournalRow, Record, Response, ResponseSummary};

/// What the journal is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// The daemon holds the claim of a slot, at this version of the claim's row.
    SlotClaimed {
        /// The slot.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
    },
    /// The daemon no longer holds the claim of a slot.
    ClaimLost(SlotId),
    /// The daemon's lease holds until then, so that nobody takes its slots over.
    LeaseExpiry(Instant),
    /// The slot's rows were read after the claim was taken, with their ages.
    SlotLoaded {
        /// The slot.
        slot: SlotId,
        /// The version of the claim's row under which they were read.
        version: u64,
        /// The rows.
        rows: Vec<(JournalRow, Duration)>,
        /// The slot's log, sealed against its former leads.
        log: SlotLog,
    },
    /// The slot's rows could not be read.
    LoadFailed {
        /// The slot.
        slot: SlotId,
        /// The version of the claim's row under which they were to be read.
        version: u64,
    },
    /// A request came.
    Submit {
        /// Who waits for the reply.
        waiter: WaiterId,
        /// The slot of the id.
        slot: SlotId,
        /// The caller's name for the request.
        id: RequestId,
        /// A hash of the target and the body.
        digest: Digest,
        /// The attempt to make if the id is new.
        attempt: AttemptId,
        /// What the request is sent to.
        target: Target,
    },
    /// Somebody wants to know what became of an id.
    Lookup {
        /// Who waits for the reply.
        waiter: WaiterId,
        /// The slot of the id.
        slot: SlotId,
        /// The caller's name for the request.
        id: RequestId,
    },
    /// A batch was answered.
    CommitFinished {
        /// The number of the batch.
        number: u64,
        /// The answer.
        result: CommitResult,
    },
    /// An append to a slot's log was answered.
    AppendFinished {
        /// The slot.
        slot: SlotId,
        /// The number of the append.
        number: u64,
        /// The answer.
        result: AppendResult,
    },
    /// A run ended without being handed to a backend server's connection.
    RunRefused {
        /// The id.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        refusal: Refusal,
    },
    /// A run was handed over and broke off.
    RunInterrupted {
        /// The id.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// What the askers are told.
        refusal: Refusal,
    },
    /// A run ended with a whole answer, whose body is kept at `kept`.
    RunFinished {
        /// The id.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        response: Arc<Response>,
        /// Where the body is kept.
        body: BodyLocation,
    },
    /// The answer to [`Effect::RecoverResponse`].
    RecoveryFinished {
        /// The id.
        id: RequestId,
        /// The attempt that was looked for.
        attempt: AttemptId,
        /// What was found.
        recovered: Recovered,
    },
    /// The answer to [`Effect::FetchBody`]: the body, if it could be read.
    BodyFetched {
        /// The id.
        id: RequestId,
        /// The body.
        body: Option<Bytes>,
    },
}

/// The log of a slot in the object store.
///
/// The table can't be written at times, and requests that must be journalled would
/// have to wait for it. Then their starts go into objects with numbered names,
/// each written only if it does not exist. A new lead takes the next number
/// itself, the seal, so that whoever led the slot before finds its place taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotLog {
    /// What it holds, in order.
    pub records: Vec<Record>,
    /// The next place.
    pub next_position: u64,
}

/// What became of an append to a slot's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// It is in the log.
    Appended,
    /// Another daemon has the place or a later one.
    Conflict,
    /// Nothing was done.
    Unavailable,
    /// The answer was lost.
    Unknown,
}

/// What is found of an id that an earlier daemon started.
#[derive(Debug, Clone)]
pub enum Recovered {
    /// Nothing.
    Nothing,
    /// Its row has the answer by now.
    Row {
        /// The answer without its body.
        summary: ResponseSummary,
        /// The row's version.
        version: u64,
    },
    /// The engine still has the answer.
    Engine {
        /// The answer.
        response: Arc<Response>,
        /// Where the body was put.
        body: BodyLocation,
    },
}

/// What the journal wants done.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Read the slot's rows and answer with [`Event::SlotLoaded`] or `LoadFailed`.
    LoadSlot {
        /// The slot.
        slot: SlotId,
        /// The version of the claim's row.
        version: u64,
    },
    /// Commit a batch and answer with [`Event::CommitFinished`].
    Commit(Batch),
    /// Write records to a place in a slot's log, which nobody else may have, and
    /// answer with [`Event::AppendFinished`].
    AppendToLog {
        /// The slot.
        slot: SlotId,
        /// The number of the append.
        number: u64,
        /// The place in the log.
        position: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Remove the places of a slot's log before `place`; the table has them.
    TrimLog {
        /// The slot.
        slot: SlotId,
        /// The first place that stays.
        position: u64,
    },
    /// Hand the request on, once, and answer with `RunRefused`, `RunInterrupted` or `RunFinished`.
    Run {
        /// The asker that brought the request.
        waiter: WaiterId,
        /// The id.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell an asker the end.
    Reply {
        /// The asker.
        waiter: WaiterId,
        /// What it is told.
        reply: Reply,
    },
    /// Look for the answer of an id that an earlier daemon started.
    RecoverResponse {
        /// The slot.
        slot: SlotId,
        /// The id.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// What the request was sent to.
        target: Target,
        /// The backend server, if known.
        server: Option<ServerName>,
    },
    /// Read a stored answer's body from the object store.
    FetchBody {
        /// The id.
        id: RequestId,
        /// The object's key.
        key: String,
    },
    /// Remove the body of a forgotten answer from the object store.
    DeleteBody(String),
    /// Read the slot's log and then the id's row, and tell the asker what they say.
    ReadState {
        /// The asker.
        waiter: WaiterId,
        /// The slot.
        slot: SlotId,
        /// The id.
        id: RequestId,
    },
}

/// What an asker is told.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The whole answer; whoever got its parts already takes it as the end mark.
    Response(Arc<Response>),
    /// Why there is no answer.
    Refused(Refusal),
    /// The request runs; only those who look up are told so.
    Running,
}
