//! The ids that a journal holds in memory, within bounds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use chestnut_base::{AttemptId, Digest, RequestId, ServerName, SlotId, Target};
use indexmap::IndexMap;

use crate::record::{Record, Response, ResponseSummary};

/// The daemon's number for one asker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// What is known of an id.
#[derive(Debug, Clone)]
pub(crate) enum State {
    /// Its start waits for the journal since this time.
    Pending(Instant),
    /// Its start is recorded and it was handed on.
    Running,
    /// It ended and its answer waits for the journal.
    Ending(Arc<Response>, ResponseSummary),
    /// Its answer is recorded, and held in memory if there is room.
    Done(ResponseSummary, Option<Arc<Response>>),
    /// It was started and its answer is being looked for.
    Seeking,
    /// It was started and its answer was not found when last looked for.
    Doubt(Option<Instant>),
    /// It was refused without a run; its row may exist until it is removed.
    Void,
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
    pub version: Option<u64>,
    /// Whether its start is in the slot's log and not in the table.
    pub unsaved: bool,
    /// When the id may be forgotten; absent while it is not finished.
    pub end: Option<Instant>,
    pub state: State,
    /// Who waits for the end; the first brought the request.
    pub askers: Vec<WaiterId>,
}

impl Entry {
    /// The record of the id with this answer.
    pub fn record(&self, id: &RequestId, answer: Option<ResponseSummary>) -> Record {
        Record {
            slot: self.slot,
            id: id.clone(),
            digest: self.digest,
            attempt: self.attempt,
            target: self.target.clone(),
            transaction_id: 0,
            server: self.server.clone(),
            response: answer,
        }
    }

    /// Whether nothing goes on for the id.
    pub fn is_settled(&self) -> bool {
        matches!(self.state, State::Done(..) | State::Doubt(_) | State::Void)
    }

    /// The entry of a record that was read.
    pub fn of(record: Record, version: Option<u64>) -> (RequestId, Self) {
        let state = match record.response {
            Some(summary) => State::Done(summary, None),
            None => State::Doubt(None),
        };
        let entry = Self {
            slot: record.slot,
            digest: record.digest,
            attempt: record.attempt,
            target: record.target,
            server: record.server,
            version,
            unsaved: version.is_none(),
            end: None,
            state,
            askers: Vec::new(),
        };
        (record.id, entry)
    }
}

/// Items of the list of finished ids that may be out of date before it is cleaned.
const SLACK: usize = 1000;

/// The ids in memory.
#[derive(Debug, Default)]
pub(crate) struct Index {
    pub entries: IndexMap<RequestId, Entry>,
    /// Finished ids, oldest first, with the time after which they are forgotten.
    ///
    /// An item counts only if its entry has the same end.
    finished: VecDeque<(Instant, RequestId)>,
    /// Ids whose answers are held in memory, oldest first.
    cached: VecDeque<(RequestId, usize)>,
    bytes: usize,
}

impl Index {
    /// Notes that an id is finished and may be forgotten at `end`.
    pub fn finish(&mut self, id: &RequestId, end: Instant) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.end = Some(end);
        self.finished.push_back((end, id.clone()));
        if self.finished.len() > 2 * self.entries.len() + SLACK {
            let entries = &self.entries;
            let counts = |(end, id): &(Instant, RequestId)| {
                entries.get(id).is_some_and(|entry| entry.end == Some(*end))
            };
            self.finished.retain(counts);
        }
    }

    /// Notes that an answer is held, and lets go of the oldest beyond `limit` bytes.
    pub fn cache(&mut self, id: &RequestId, size: usize, limit: usize) {
        self.cached.push_back((id.clone(), size));
        self.bytes += size;
        while self.bytes > limit {
            let Some((old, size)) = self.cached.pop_front() else { break };
            self.bytes -= size;
            if let Some(entry) = self.entries.get_mut(&old)
                && let State::Done(_, held) = &mut entry.state
            {
                *held = None;
            }
        }
    }

    /// Takes the next finished id whose time is over.
    pub fn expired(&mut self, now: Instant) -> Option<RequestId> {
        while self.finished.front().is_some_and(|(end, _)| *end <= now) {
            let (end, id) = self.finished.pop_front()?;
            if self.entries.get(&id).is_some_and(|entry| entry.end == Some(end)) {
                return Some(id);
            }
        }
        None
    }

    /// Drops the oldest finished ids beyond `limit`, and names their slots.
    pub fn trim(&mut self, limit: usize) -> Vec<SlotId> {
        let mut slots = Vec::new();
        while self.entries.len() > limit {
            let Some((end, id)) = self.finished.pop_front() else { break };
            let idle = |entry: &Entry| {
                entry.end == Some(end)
                    && entry.askers.is_empty()
                    && entry.is_settled()
                    && !entry.unsaved
            };
            if self.entries.get(&id).is_some_and(idle)
                && let Some(entry) = self.entries.swap_remove(&id)
            {
                slots.push(entry.slot);
            }
        }
        slots
    }

    /// Bytes of answers held in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
