//! The log of a slot in the object store, used while the table is unavailable.
//!
//! Outages of the table service take minutes, during which the journal would refuse
//! every new non-idempotent request. With the log it continues: a request is dispatched
//! once its start is in the table or in the log. A daemon that takes over the slot reads
//! both, and records that are only in the log are copied into the table when it is
//! available again. A daemon that has evicted ids of the slot from memory doesn't use the
//! log, since only the table could show whether those ids were started.

use std::time::Instant;

use chestnut_base::{AttemptId, RequestId, SlotId};

use super::commit::Readiness;
use super::{Append, Journal, SlotPhase};
use crate::batch::PendingWrite;
use crate::event::{AppendResult, Effect};
use crate::index::RequestState;
use crate::limits::jitter;
use crate::record::{JournalRow, Record};

/// The most times that an append is sent while its result is unknown, including the
/// first.
const MAX_APPEND_SENDS: u32 = 2;

impl Journal {
    /// Whether a slot's starts can go into its log now.
    pub(super) fn can_append(&self, slot: SlotId, now: Instant) -> bool {
        self.slots.get(&slot).is_some_and(|slot| {
            slot.complete
                && slot.log_end.is_some()
                && matches!(slot.phase, SlotPhase::Open)
        }) && now >= self.log_retry_at
    }

    /// Whether a start is queued for a slot with a known log end and no append in flight.
    pub(super) fn has_start_for_log(&self) -> bool {
        self.write_queue.iter().any(|write| {
            let slot = self.slots.get(&write.slot());
            let is_idle = slot.is_some_and(|slot| {
                slot.log_end.is_some() && slot.append_in_flight.is_none()
            });
            is_idle && matches!(write, PendingWrite::Start { .. })
        })
    }

    pub(super) fn is_log_only(&self, id: &RequestId) -> bool {
        self.index.entries.get(id).is_some_and(|entry| entry.log_only)
    }

    /// Appends the starts of the first slot in the queue that has no append in flight.
    pub(super) fn append_starts(&mut self, now: Instant) {
        let is_candidate = |write: &&PendingWrite| {
            matches!(write, PendingWrite::Start { .. })
                && self.readiness(write, now) == Readiness::Deferred
                && self
                    .slots
                    .get(&write.slot())
                    .is_some_and(|slot| slot.append_in_flight.is_none())
        };
        let Some(slot) =
            self.write_queue.iter().find(is_candidate).map(PendingWrite::slot)
        else {
            return;
        };
        let mut records = Vec::new();
        let mut rest = std::collections::VecDeque::new();
        for write in std::mem::take(&mut self.write_queue) {
            let fits = write.slot() == slot
                && records.len() < self.limits.max_batch_rows
                && matches!(write, PendingWrite::Start { .. });
            let is_queued = self.readiness(&write, now) != Readiness::Obsolete;
            match self.index.entries.get(write.id()) {
                Some(entry) if fits && is_queued => {
                    records.push(entry.record(write.id(), None));
                }
                _ if fits => {}
                _ => rest.push_back(write),
            }
        }
        self.write_queue = rest;
        let Some(position) = self.slots.get(&slot).and_then(|slot| slot.log_end) else {
            return;
        };
        self.send_append(slot, position, records, 0);
    }

    fn send_append(
        &mut self,
        slot: SlotId,
        position: u64,
        records: Vec<Record>,
        resends: u32,
    ) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        self.last_number += 1;
        let number = self.last_number;
        self.effects.push_back(Effect::AppendToLog {
            slot,
            version: state.claim_version,
            number,
            position,
            records: records.clone(),
        });
        state.append_in_flight = Some(Append { number, position, records, resends });
    }

    pub(super) fn append_finished(
        &mut self,
        slot: SlotId,
        number: u64,
        result: AppendResult,
        now: Instant,
    ) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        let version = state.claim_version;
        let Some(append) =
            state.append_in_flight.take_if(|append| append.number == number)
        else {
            return;
        };
        match result {
            AppendResult::Appended => {
                state.log_end = Some(append.position + 1);
                state.log_needs_trim = true;
                for record in append.records {
                    self.start_logged(slot, &record.id, record.attempt);
                }
            }
            AppendResult::Conflict => self.claim_superseded(slot, version, now),
            AppendResult::Unknown if append.resends + 1 < MAX_APPEND_SENDS => {
                self.send_append(
                    slot,
                    append.position,
                    append.records,
                    append.resends + 1,
                );
            }
            AppendResult::Unavailable | AppendResult::Unknown => {
                if result == AppendResult::Unknown {
                    // These records may still occupy the position.
                    state.log_end = None;
                }
                self.log_retry_at =
                    now + jitter(self.limits.initial_backoff * 2, &mut self.jitter_seed);
                for record in append.records {
                    let refusal = self.unavailable_refusal(slot, now);
                    let entry = self.index.entries.get(&record.id);
                    if entry.is_some_and(|entry| {
                        matches!(entry.state, RequestState::Queued(_))
                    }) {
                        self.cancel_start(&record.id, &refusal, now);
                    }
                }
            }
        }
    }

    /// Dispatches a request whose start is in the log, and queues the copy.
    fn start_logged(&mut self, slot: SlotId, id: &RequestId, attempt: AttemptId) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if entry.attempt != attempt || !matches!(entry.state, RequestState::Queued(_)) {
            return;
        }
        entry.state = RequestState::Running;
        entry.log_only = true;
        let submitter = entry.waiters.first().copied();
        self.write_queue.push_back(PendingWrite::CopyFromLog {
            slot,
            id: id.clone(),
            replaced_version: None,
        });
        if let Some(waiter) = submitter {
            self.effects.push_back(Effect::Run { waiter, id: id.clone(), attempt });
        }
    }

    /// Handles a copy whose condition failed, with the current row if there is one.
    pub(super) fn copy_conflict(
        &mut self,
        slot: SlotId,
        id: &RequestId,
        row: Option<JournalRow>,
    ) {
        let Some(entry) = self.index.entries.get(id) else { return };
        let attempt = row.as_ref().and_then(|row| row.record.as_ref()).map(|r| r.attempt);
        match row {
            Some(row) if attempt == Some(entry.attempt) => {
                self.copy_recorded(slot, id, row.version);
            }
            row => {
                let replaced_version = row.map(|row| row.version);
                self.write_queue.push_front(PendingWrite::CopyFromLog {
                    slot,
                    id: id.clone(),
                    replaced_version,
                });
            }
        }
    }

    pub(super) fn copy_recorded(&mut self, slot: SlotId, id: &RequestId, version: u64) {
        if let Some(entry) = self.index.entries.get_mut(id) {
            entry.log_only = false;
            entry.row_version = Some(version);
            if matches!(entry.state, RequestState::NotRun) {
                let id = id.clone();
                self.write_queue.push_back(PendingWrite::DeleteRow { slot, id, version });
            } else if entry.is_idle()
                && let Some(expires_at) = entry.expires_at
            {
                self.index.schedule_expiry(id, expires_at);
            }
        }
    }

    /// Removes the records that the table has from the logs, and reloads slots whose log
    /// end is unknown.
    pub(super) fn trim_logs(&mut self) {
        if !self.is_table_up() {
            return;
        }
        for (slot, state) in &mut self.slots {
            if state.log_end.is_none() && matches!(state.phase, SlotPhase::Open) {
                // An append with an unknown result left the log end unknown.
                state.phase = SlotPhase::Loading(Vec::new());
                let version = state.claim_version;
                self.effects.push_back(Effect::LoadSlot { slot: *slot, version });
            }
            let (Some(log_end), true) = (state.log_end, state.log_needs_trim) else {
                continue;
            };
            let is_idle = matches!(state.phase, SlotPhase::Open)
                && state.append_in_flight.is_none();
            let log_only =
                |entry: &crate::index::Entry| entry.log_only && entry.slot == *slot;
            if is_idle && !self.index.entries.values().any(log_only) {
                state.log_needs_trim = false;
                // The last position stays, so that a former holder's append conflicts.
                self.effects.push_back(Effect::TrimLog {
                    slot: *slot,
                    version: state.claim_version,
                    position: log_end.saturating_sub(1),
                });
            }
        }
    }
}
