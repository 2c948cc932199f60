//! Claiming, loading and losing slots.

use std::time::{Duration, Instant};

use chestnut_base::{AttemptId, SlotId};

use super::{Journal, SlotPhase, SlotState};
use crate::batch::PendingWrite;
use crate::event::{Effect, SlotLog};
use crate::index::{Entry, RequestState};
use crate::limits::jitter;
use crate::record::{JournalRow, Record};
use crate::refusals::slot_moving;

impl Journal {
    pub(super) fn claim_slot(&mut self, slot: SlotId, version: u64) {
        let is_current = |state: &SlotState| {
            state.claim_version == version && !matches!(state.phase, SlotPhase::ClaimLost)
        };
        if self.slots.get(&slot).is_some_and(is_current) {
            return;
        }
        self.refuse_starts(slot, &slot_moving());
        let previous = self.slots.swap_remove(&slot).map(|state| state.phase);
        // Requests that wait for the rows continue to wait.
        let waiting = match previous {
            Some(SlotPhase::Loading(waiting)) => waiting,
            Some(SlotPhase::LoadFailed(_) | SlotPhase::Open | SlotPhase::ClaimLost)
            | None => Vec::new(),
        };
        let phase = SlotPhase::Loading(waiting);
        self.slots.insert(
            slot,
            SlotState {
                claim_version: version,
                phase,
                complete: false,
                log_end: None,
                append_in_flight: None,
                log_needs_trim: false,
            },
        );
        self.effects.push_back(Effect::LoadSlot { slot, version });
    }

    pub(super) fn lose_claim(&mut self, slot: SlotId, now: Instant) {
        self.close_slot(slot, now);
        // The next holder's state is authoritative; this daemon's may become stale.
        self.index.entries.retain(|_, entry| {
            entry.slot != slot
                || !entry.waiters.is_empty()
                || matches!(
                    entry.state,
                    RequestState::Running | RequestState::StoringResponse(..)
                )
        });
    }

    /// Handles the platform's word that the claim of this version has another holder.
    pub(super) fn claim_superseded(&mut self, slot: SlotId, version: u64, now: Instant) {
        if self.slots.get(&slot).is_some_and(|state| state.claim_version == version) {
            self.close_slot(slot, now);
        }
    }

    /// Accepts no more requests for a slot, and refuses those that were not started.
    fn close_slot(&mut self, slot: SlotId, now: Instant) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        let phase = std::mem::replace(&mut state.phase, SlotPhase::ClaimLost);
        if let SlotPhase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
        self.refuse_starts(slot, &slot_moving());
    }

    pub(super) fn slot_loaded(
        &mut self,
        slot: SlotId,
        version: u64,
        rows: Vec<(JournalRow, Duration)>,
        log: SlotLog,
        now: Instant,
    ) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        if state.claim_version != version || !matches!(state.phase, SlotPhase::Loading(_))
        {
            return;
        }
        let phase = std::mem::replace(&mut state.phase, SlotPhase::Open);
        state.complete = rows.iter().all(|(row, _)| row.record.is_some());
        state.log_end = Some(log.next_position);
        state.log_needs_trim = true;
        for (row, age) in rows {
            let Some(record) = row.record else { continue };
            self.merge_record(record, Some(row.version), age, now);
        }
        for record in log.records {
            let entry = self.index.entries.get(&record.id);
            if entry.is_none_or(|entry| is_later(record.attempt, entry)) {
                let id = record.id.clone();
                self.merge_record(record, None, Duration::ZERO, now);
                self.write_queue.push_back(PendingWrite::CopyFromLog {
                    slot,
                    id,
                    replaced_version: None,
                });
            }
        }
        self.evict_ids();
        if let SlotPhase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
    }

    /// Adds a stored record to the index, unless this daemon still works on the id or
    /// somebody waits for its response.
    ///
    /// Of an attempt that this daemon refused without a run, only the row's version is
    /// updated.
    fn merge_record(
        &mut self,
        record: Record,
        version: Option<u64>,
        age: Duration,
        now: Instant,
    ) {
        let (id, entry) = Entry::from_record(record, version);
        if let Some(existing) = self.index.entries.get_mut(&id) {
            let never_ran = matches!(existing.state, RequestState::NotRun)
                && existing.attempt == entry.attempt;
            if never_ran {
                existing.row_version = version.or(existing.row_version);
            }
            let is_in_use = !existing.is_idle() || !existing.waiters.is_empty();
            if never_ran || is_in_use {
                return;
            }
        }
        let expires_at = now + self.limits.retention.saturating_sub(age);
        self.index.entries.insert(id.clone(), entry);
        self.index.schedule_expiry(&id, expires_at);
    }

    pub(super) fn load_failed(&mut self, slot: SlotId, version: u64, now: Instant) {
        let delay = jitter(self.limits.initial_backoff * 2, &mut self.jitter_seed);
        let Some(state) = self.slots.get_mut(&slot) else { return };
        if state.claim_version != version || !matches!(state.phase, SlotPhase::Loading(_))
        {
            return;
        }
        let phase =
            std::mem::replace(&mut state.phase, SlotPhase::LoadFailed(now + delay));
        if let SlotPhase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
    }

    pub(super) fn retry_loads(&mut self, now: Instant) {
        for (slot, state) in &mut self.slots {
            if matches!(state.phase, SlotPhase::LoadFailed(retry_at) if retry_at <= now) {
                state.phase = SlotPhase::Loading(Vec::new());
                let version = state.claim_version;
                self.effects.push_back(Effect::LoadSlot { slot: *slot, version });
            }
        }
    }
}

/// Whether an attempt in the log was started after that of an entry.
///
/// A daemon starts an id again only after it refused an earlier attempt, and another daemon
/// only if it has seen neither row nor log of it. So where a row names another daemon, the
/// attempt in the log was given up.
fn is_later(attempt: AttemptId, entry: &Entry) -> bool {
    if attempt.member == entry.attempt.member {
        return attempt.number > entry.attempt.number;
    }
    entry.log_only || matches!(entry.state, RequestState::NotRun)
}
