//! A bounded in-memory index of request ids.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use chestnut_base::{AttemptId, Digest, RequestId, ServerName, SlotId, Target};
use indexmap::IndexMap;

use crate::record::{Record, Response, ResponseSummary};

/// Identifies one waiting request or lookup; assigned by the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// The state of an id.
#[derive(Debug, Clone)]
pub(crate) enum RequestState {
    /// Its start has been queued for the journal since this time.
    Queued(Instant),
    /// Its start is recorded and it was dispatched.
    Running,
    /// It ended and its response is queued for the journal.
    StoringResponse(Arc<Response>, ResponseSummary),
    /// Its response is recorded, and cached in memory if there is room.
    Done(ResponseSummary, Option<Arc<Response>>),
    /// It was started and its response is being recovered.
    Recovering,
    /// It was started and its response is unknown; holds the time of the last
    /// unsuccessful recovery.
    InDoubt(Option<Instant>),
    /// It was refused without a run; its row may exist until it is deleted.
    NotRun,
}

/// An id in memory.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub slot: SlotId,
    pub digest: Digest,
    pub attempt: AttemptId,
    pub target: Target,
    pub server: Option<ServerName>,
    /// The version of the id's row, once known.
    pub row_version: Option<u64>,
    /// Whether its start is in the slot's log and not in the table.
    pub log_only: bool,
    /// When the id may be deleted; `None` until it is finished.
    pub expires_at: Option<Instant>,
    pub state: RequestState,
    /// Who waits for the result; the first one submitted the request.
    pub waiters: Vec<WaiterId>,
}

impl Entry {
    /// Builds the record to store, with this response.
    pub fn record(&self, id: &RequestId, response: Option<ResponseSummary>) -> Record {
        Record {
            slot: self.slot,
            id: id.clone(),
            digest: self.digest,
            attempt: self.attempt,
            target: self.target.clone(),
            transaction_id: 0,
            server: self.server.clone(),
            response,
        }
    }

    /// Whether no run, write or recovery is in progress for the id.
    pub fn is_idle(&self) -> bool {
        matches!(
            self.state,
            RequestState::Done(..) | RequestState::InDoubt(_) | RequestState::NotRun
        )
    }

    /// Whether the id is idle and its row has this version.
    ///
    /// Otherwise the row belongs to an earlier attempt, and a new start or its copy from the
    /// log replaces it.
    pub fn owns_idle_row(&self, version: u64) -> bool {
        self.is_idle() && !self.log_only && self.row_version == Some(version)
    }

    /// Whether the id has a row although it was refused without a run.
    ///
    /// Only this entry tells that the row doesn't stand for a run.
    fn has_unused_row(&self) -> bool {
        matches!(self.state, RequestState::NotRun) && self.row_version.is_some()
    }

    /// Creates the entry of a stored record; without a version it is in the log only.
    pub fn from_record(record: Record, version: Option<u64>) -> (RequestId, Self) {
        let state = match record.response {
            Some(summary) => RequestState::Done(summary, None),
            None => RequestState::InDoubt(None),
        };
        let entry = Self {
            slot: record.slot,
            digest: record.digest,
            attempt: record.attempt,
            target: record.target,
            server: record.server,
            row_version: version,
            log_only: version.is_none(),
            expires_at: None,
            state,
            waiters: Vec::new(),
        };
        (record.id, entry)
    }
}

/// Outdated items that the expiry queue may hold, beyond twice the number of
/// entries, before they are removed.
const EXPIRY_QUEUE_SLACK: usize = 1000;

/// The ids in memory.
#[derive(Debug, Default)]
pub(crate) struct Index {
    pub entries: IndexMap<RequestId, Entry>,
    /// Finished ids with their expiry, in the order in which they finished.
    ///
    /// An item is outdated if its entry is gone or has another expiry.
    expiry_queue: VecDeque<(Instant, RequestId)>,
    /// Ids with cached responses and the sizes of these, oldest first.
    cached: VecDeque<(RequestId, usize)>,
    cached_bytes: usize,
}

impl Index {
    /// Marks an id as finished and lets it expire at `expires_at`.
    pub fn schedule_expiry(&mut self, id: &RequestId, expires_at: Instant) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.expires_at = Some(expires_at);
        self.expiry_queue.push_back((expires_at, id.clone()));
        if self.expiry_queue.len() > 2 * self.entries.len() + EXPIRY_QUEUE_SLACK {
            let entries = &self.entries;
            let is_current = |(expires_at, id): &(Instant, RequestId)| {
                entries.get(id).is_some_and(|entry| entry.expires_at == Some(*expires_at))
            };
            self.expiry_queue.retain(is_current);
        }
    }

    /// Records that a response is cached, and evicts the oldest beyond `limit` bytes.
    pub fn cache(&mut self, id: &RequestId, size: usize, limit: usize) {
        self.cached.push_back((id.clone(), size));
        self.cached_bytes += size;
        while self.cached_bytes > limit {
            let Some((oldest, size)) = self.cached.pop_front() else { break };
            self.cached_bytes -= size;
            if let Some(entry) = self.entries.get_mut(&oldest)
                && let RequestState::Done(_, cached) = &mut entry.state
            {
                *cached = None;
            }
        }
    }

    /// Takes the next expired id from the expiry queue; its entry stays.
    pub fn pop_expired(&mut self, now: Instant) -> Option<RequestId> {
        while self.expiry_queue.front().is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            let (expires_at, id) = self.expiry_queue.pop_front()?;
            if self
                .entries
                .get(&id)
                .is_some_and(|entry| entry.expires_at == Some(expires_at))
            {
                return Some(id);
            }
        }
        None
    }

    /// Evicts the oldest finished ids beyond `limit` and returns their slots.
    pub fn evict(&mut self, limit: usize) -> Vec<SlotId> {
        let mut slots = Vec::new();
        while self.entries.len() > limit {
            let Some((expires_at, id)) = self.expiry_queue.pop_front() else { break };
            let is_evictable = |entry: &Entry| {
                entry.expires_at == Some(expires_at)
                    && entry.waiters.is_empty()
                    && entry.is_idle()
                    && !entry.log_only
                    && !entry.has_unused_row()
            };
            if self.entries.get(&id).is_some_and(is_evictable)
                && let Some(entry) = self.entries.swap_remove(&id)
            {
                slots.push(entry.slot);
            }
        }
        slots
    }

    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }
}
