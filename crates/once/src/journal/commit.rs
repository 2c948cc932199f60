//! Building batches and handling their results.

use std::collections::VecDeque;
use std::time::Instant;

use chestnut_base::{AttemptId, RequestId, SlotId};
use indexmap::IndexMap;

use super::{BatchInFlight, Journal, SlotPhase, TableState};
use crate::batch::{Batch, Change, CommitResult, Condition, PendingWrite};
use crate::event::{Effect, Reply};
use crate::index::{Entry, RequestState};
use crate::limits::jitter;
use crate::record::{BodyLocation, JournalRow};
use crate::refusals::{in_doubt, key_reused};

/// The most times that a batch is sent while its result is unknown, including the first.
const MAX_BATCH_SENDS: u32 = 2;

impl Journal {
    /// Sends the next batch if one is due, or appends starts to a log while the table
    /// is unavailable.
    pub(super) fn send_due(&mut self, now: Instant) {
        let table_down = matches!(self.table, TableState::Unavailable { .. });
        if now < self.next_batch_at
            || self.write_queue.is_empty()
            || self.in_flight.is_some() && !table_down
        {
            return;
        }
        self.next_batch_at = now + self.limits.batch_interval;
        let backing_off = matches!(
            self.table,
            TableState::Unavailable { retry_at, .. } if now < retry_at
        );
        if self.in_flight.is_none() && !backing_off {
            let writes = self.next_writes(now);
            if !writes.is_empty() {
                return self.send_batch(writes, 0);
            }
        }
        if table_down {
            self.append_starts(now);
        }
    }

    /// Takes the next writes from the queue, skipping deferred and obsolete ones.
    fn next_writes(&mut self, now: Instant) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        let mut deferred = Vec::new();
        while writes.len() < self.limits.max_batch_rows {
            let Some(write) = self.write_queue.pop_front() else { break };
            match self.readiness(&write, now) {
                Readiness::Ready => writes.push(write),
                Readiness::Deferred => deferred.push(write),
                Readiness::Obsolete => {}
            }
        }
        self.write_queue.extend(deferred);
        // Starts come first, so that resending a batch that took effect conflicts with
        // the row of its first start.
        writes.sort_by_key(|write| {
            !matches!(
                write,
                PendingWrite::Start { .. } | PendingWrite::CopyFromLog { .. }
            )
        });
        writes
    }

    pub(super) fn readiness(&self, write: &PendingWrite, now: Instant) -> Readiness {
        let entry = self.index.entries.get(write.id());
        let state = entry.map(|entry| &entry.state);
        let phase = self.slots.get(&write.slot()).map(|slot| &slot.phase);
        match write {
            PendingWrite::Start { .. } if !self.is_queued_start(write) => {
                Readiness::Obsolete
            }
            PendingWrite::Start { slot, .. } => match phase {
                // Starts that can go into the log don't wait for a table that may not
                // respond.
                Some(SlotPhase::Open)
                    if !self.is_table_up() && self.can_append(*slot, now) =>
                {
                    Readiness::Deferred
                }
                Some(SlotPhase::Open) => Readiness::Ready,
                _ => Readiness::Obsolete,
            },
            PendingWrite::CopyFromLog { id, .. } => match phase {
                Some(SlotPhase::Open) if self.is_log_only(id) => Readiness::Ready,
                Some(SlotPhase::Loading(_) | SlotPhase::LoadFailed(_)) => {
                    Readiness::Deferred
                }
                _ => Readiness::Obsolete,
            },
            PendingWrite::StoreResponse { .. } => match state {
                Some(RequestState::StoringResponse(..)) => Readiness::Ready,
                _ => Readiness::Obsolete,
            },
            PendingWrite::DeleteRow { version, .. }
                if entry.is_some_and(|entry| !entry.owns_idle_row(*version)) =>
            {
                Readiness::Obsolete
            }
            PendingWrite::DeleteRow { .. } => match phase {
                Some(SlotPhase::Open) => Readiness::Ready,
                Some(SlotPhase::Loading(_) | SlotPhase::LoadFailed(_)) => {
                    Readiness::Deferred
                }
                Some(SlotPhase::ClaimLost) | None => Readiness::Obsolete,
            },
        }
    }

    /// Whether the id still waits for this start.
    fn is_queued_start(&self, write: &PendingWrite) -> bool {
        let PendingWrite::Start { id, attempt, .. } = write else { return false };
        self.index.entries.get(id).is_some_and(|entry| {
            entry.attempt == *attempt && matches!(entry.state, RequestState::Queued(_))
        })
    }

    fn send_batch(&mut self, writes: Vec<PendingWrite>, resends: u32) {
        self.last_number += 1;
        let transaction_id = self.transaction_id_base.wrapping_add(self.last_number);
        let change = |write| self.change_for(write, transaction_id);
        let batch = Batch {
            number: self.last_number,
            conditions: self.conditions(&writes),
            changes: writes.iter().filter_map(change).collect(),
        };
        self.effects.push_back(Effect::Commit(batch.clone()));
        self.in_flight = Some(BatchInFlight { batch, transaction_id, writes, resends });
    }

    /// Returns the claims of the slots, then a condition for each row that needs one.
    fn conditions(&self, writes: &[PendingWrite]) -> Vec<Condition> {
        let mut claims = IndexMap::new();
        for write in writes {
            // The response to a request that was started under an earlier claim is
            // valid whoever holds the slot now, so it needs no claim.
            if let Some(slot) = self.slots.get(&write.slot())
                && !matches!(slot.phase, SlotPhase::ClaimLost)
                && !matches!(write, PendingWrite::StoreResponse { .. })
            {
                claims.insert(write.slot(), slot.claim_version);
            }
        }
        let claims =
            claims.into_iter().map(|(slot, version)| Condition::Claim { slot, version });
        claims.chain(writes.iter().filter_map(PendingWrite::condition)).collect()
    }

    fn change_for(&self, write: &PendingWrite, transaction_id: u64) -> Option<Change> {
        let id = write.id();
        let slot = write.slot();
        let entry = self.index.entries.get(id);
        if matches!(write, PendingWrite::DeleteRow { .. }) {
            return Some(Change::Delete { slot, id: id.clone() });
        }
        let response = match (write, &entry?.state) {
            (PendingWrite::CopyFromLog { .. }, RequestState::Done(summary, _)) => {
                Some(summary.clone())
            }
            (
                PendingWrite::StoreResponse { .. },
                RequestState::StoringResponse(_, summary),
            ) => Some(summary.clone()),
            (PendingWrite::StoreResponse { .. }, _) => return None,
            _ => None,
        };
        let mut record = entry?.record(id, response);
        record.transaction_id = transaction_id;
        Some(Change::Put(Box::new(record)))
    }

    pub(super) fn commit_finished(
        &mut self,
        number: u64,
        result: CommitResult,
        now: Instant,
    ) {
        let Some(in_flight) =
            self.in_flight.take_if(|in_flight| in_flight.batch.number == number)
        else {
            return;
        };
        match result {
            CommitResult::Committed { version } => {
                self.table = TableState::Available;
                for write in in_flight.writes {
                    self.write_committed(write, version, now);
                }
            }
            CommitResult::Conflict { condition, row } => {
                self.table = TableState::Available;
                self.commit_conflict(in_flight, condition, row.map(|row| *row), now);
            }
            CommitResult::Unavailable => self.commit_failed(in_flight, now),
            CommitResult::Unknown if self.should_resend(&in_flight, now) => {
                self.resend(in_flight)
            }
            CommitResult::Unknown => self.commit_failed(in_flight, now),
        }
    }

    /// Whether a batch with an unknown result is sent again at once.
    ///
    /// Starts that can go into the log don't wait for a second timeout.
    fn should_resend(&self, in_flight: &BatchInFlight, now: Instant) -> bool {
        let can_use_log = |write: &PendingWrite| {
            matches!(write, PendingWrite::Start { .. })
                && self.can_append(write.slot(), now)
        };
        in_flight.resends + 1 < MAX_BATCH_SENDS
            && !in_flight.writes.iter().any(can_use_log)
    }

    /// Sends the identical batch again; its conditions show whether it took effect.
    fn resend(&mut self, in_flight: BatchInFlight) {
        self.last_number += 1;
        let batch = Batch { number: self.last_number, ..in_flight.batch };
        self.effects.push_back(Effect::Commit(batch.clone()));
        self.in_flight =
            Some(BatchInFlight { batch, resends: in_flight.resends + 1, ..in_flight });
    }

    fn write_committed(&mut self, write: PendingWrite, version: u64, now: Instant) {
        match write {
            PendingWrite::Start { slot, id, attempt, .. } => {
                self.start_recorded(slot, &id, attempt, version)
            }
            PendingWrite::CopyFromLog { slot, id, .. } => {
                self.copy_recorded(slot, &id, version)
            }
            PendingWrite::StoreResponse { id, .. } => {
                self.response_recorded(&id, version, now)
            }
            PendingWrite::DeleteRow { id, version, .. } => self.row_deleted(&id, version),
        }
    }

    fn start_recorded(
        &mut self,
        slot: SlotId,
        id: &RequestId,
        attempt: AttemptId,
        version: u64,
    ) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        entry.row_version = Some(version);
        if entry.attempt != attempt {
            return self.replace_unused_row(id, version);
        }
        match entry.state {
            RequestState::Queued(_) => {
                entry.state = RequestState::Running;
                let attempt = entry.attempt;
                let Some(&waiter) = entry.waiters.first() else { return };
                self.effects.push_back(Effect::Run { waiter, id: id.clone(), attempt });
            }
            // It was refused while its start was being committed.
            RequestState::NotRun => self.write_queue.push_back(PendingWrite::DeleteRow {
                slot,
                id: id.clone(),
                version,
            }),
            _ => {}
        }
    }

    /// Lets the queued start of an id replace the row of an earlier attempt, which was
    /// refused while its start was being committed.
    fn replace_unused_row(&mut self, id: &RequestId, version: u64) {
        for write in &mut self.write_queue {
            if let PendingWrite::Start { id: started, replaced_version, .. } = write
                && started == id
            {
                *replaced_version = Some(version);
            }
        }
    }

    fn response_recorded(&mut self, id: &RequestId, version: u64, now: Instant) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let RequestState::StoringResponse(response, summary) = &entry.state else {
            return;
        };
        let (response, summary) = (response.clone(), summary.clone());
        entry.row_version = Some(version);
        entry.log_only = false;
        entry.state = RequestState::Done(summary, Some(response.clone()));
        let slot = entry.slot;
        self.reply_to_waiters(id, &Reply::Response(response.clone()));
        if matches!(
            self.slots.get(&slot).map(|slot| &slot.phase),
            Some(SlotPhase::ClaimLost) | None
        ) {
            self.index.entries.swap_remove(id);
            return;
        }
        self.index.schedule_expiry(id, now + self.limits.retention);
        self.index.cache(id, response.body.len(), self.limits.max_cached_bytes);
        self.evict_ids();
    }

    fn row_deleted(&mut self, id: &RequestId, version: u64) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if entry.row_version != Some(version) {
            return;
        }
        entry.row_version = None;
        let key = match &entry.state {
            RequestState::Done(summary, _) => match &summary.body {
                BodyLocation::Object(key) => Some(key.clone()),
                _ => None,
            },
            _ => None,
        };
        if entry.is_idle() && entry.waiters.is_empty() && !entry.log_only {
            self.index.entries.swap_remove(id);
        }
        self.effects.extend(key.map(Effect::DeleteBody));
    }

    fn commit_conflict(
        &mut self,
        in_flight: BatchInFlight,
        condition: usize,
        row: Option<JournalRow>,
        now: Instant,
    ) {
        let Some(failed_condition) = in_flight.batch.conditions.get(condition) else {
            return self.requeue(in_flight.writes);
        };
        let id = match failed_condition {
            Condition::Claim { slot, version } => {
                self.claim_superseded(*slot, *version, now);
                return self.requeue(in_flight.writes);
            }
            Condition::Absent { id, .. } | Condition::Version { id, .. } => id.clone(),
        };
        if in_flight.resends > 0 && self.was_committed(&in_flight, row.as_ref()) {
            let version = row.map_or(0, |row| row.version);
            for write in in_flight.writes {
                self.write_committed(write, version, now);
            }
            return;
        }
        let (conflicting, rest): (Vec<_>, Vec<_>) =
            in_flight.writes.into_iter().partition(|write| {
                *write.id() == id && !matches!(write, PendingWrite::StoreResponse { .. })
            });
        self.requeue(rest);
        for write in conflicting {
            match write {
                PendingWrite::Start { slot, id, attempt, .. } => {
                    self.start_conflict(slot, &id, attempt, row.clone(), now)
                }
                PendingWrite::CopyFromLog { slot, id, .. } => {
                    self.copy_conflict(slot, &id, row.clone())
                }
                // The row is gone or belongs to another attempt; there is nothing to delete.
                PendingWrite::DeleteRow { id, version, .. } => {
                    self.row_deleted(&id, version)
                }
                PendingWrite::StoreResponse { .. } => {}
            }
        }
    }

    /// Whether the conflict shows that an earlier send of the batch took effect.
    ///
    /// A batch is atomic, so any row with the batch's transaction id proves it. A row
    /// of the same attempt doesn't: an earlier batch that was assumed to be lost may
    /// have written it, and the other starts of this batch would be dispatched without
    /// a record. For a batch that only deletes rows, a missing row proves it.
    fn was_committed(&self, in_flight: &BatchInFlight, row: Option<&JournalRow>) -> bool {
        match row {
            Some(row) => row
                .record
                .as_ref()
                .is_some_and(|record| record.transaction_id == in_flight.transaction_id),
            None => in_flight
                .writes
                .iter()
                .all(|write| matches!(write, PendingWrite::DeleteRow { .. })),
        }
    }

    /// Handles a start whose condition failed, with the current row if there is one.
    fn start_conflict(
        &mut self,
        slot: SlotId,
        id: &RequestId,
        attempt: AttemptId,
        row: Option<JournalRow>,
        now: Instant,
    ) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if entry.attempt != attempt {
            // The id's newer start finds the row by its own condition.
            return;
        }
        let Some(row) = row else {
            entry.row_version = None;
            let (id, replaced_version) = (id.clone(), None);
            let write = PendingWrite::Start { slot, id, attempt, replaced_version };
            return self.write_queue.push_front(write);
        };
        let version = row.version;
        let Some(record) = row.record else {
            // The request of a row that can't be parsed counts as started.
            entry.state = RequestState::InDoubt(Some(now));
            entry.row_version = Some(version);
            return self.reply_to_waiters(id, &Reply::Refused(in_doubt()));
        };
        if record.attempt == entry.attempt {
            return self.start_recorded(slot, id, attempt, version);
        }
        let digest = entry.digest;
        let waiters = self.take_waiters(id);
        let (id, entry) = Entry::from_record(record, Some(version));
        let same_digest = entry.digest == digest;
        self.index.entries.insert(id.clone(), entry);
        self.index.schedule_expiry(&id, now + self.limits.retention);
        for waiter in waiters {
            match same_digest {
                true => self.add_waiter(waiter, &id, now),
                false => self.reply(waiter, Reply::Refused(key_reused())),
            }
        }
    }

    /// Puts writes back at the front of the queue.
    pub(super) fn requeue(&mut self, writes: Vec<PendingWrite>) {
        for write in writes.into_iter().rev() {
            self.write_queue.push_front(write);
        }
    }

    /// Backs off after a batch that could not be written, and refuses queued starts that
    /// can't go into a log.
    fn commit_failed(&mut self, in_flight: BatchInFlight, now: Instant) {
        let failures = match self.table {
            TableState::Available => 0,
            TableState::Unavailable { failures, .. } => (failures + 1).min(16),
        };
        let delay = (self.limits.initial_backoff * 2u32.pow(failures))
            .min(self.limits.max_backoff);
        let retry_at = now + jitter(delay, &mut self.jitter_seed);
        self.table = TableState::Unavailable { retry_at, failures };
        self.requeue(in_flight.writes);
        let (starts, rest): (VecDeque<PendingWrite>, VecDeque<PendingWrite>) =
            std::mem::take(&mut self.write_queue).into_iter().partition(|write| {
                matches!(write, PendingWrite::Start { .. })
                    && !self.can_append(write.slot(), now)
            });
        self.write_queue = rest;
        for write in starts {
            // The log may have started it meanwhile.
            if self.is_queued_start(&write) {
                let refusal = self.unavailable_refusal(write.slot(), now);
                self.cancel_start(write.id(), &refusal, now);
            }
        }
        self.release_responses();
    }

    /// Sends complete responses that wait only for the journal.
    fn release_responses(&mut self) {
        let ids: Vec<_> =
            self.write_queue.iter().map(|write| write.id().clone()).collect();
        for id in ids {
            let state = self.index.entries.get(&id).map(|entry| &entry.state);
            if let Some(RequestState::StoringResponse(response, _)) = state {
                let response = response.clone();
                self.reply_to_waiters(&id, &Reply::Response(response));
            }
        }
    }
}

/// Whether a queued write goes into the next batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Readiness {
    Ready,
    /// Stays in the queue.
    Deferred,
    /// Is removed from the queue.
    Obsolete,
}
