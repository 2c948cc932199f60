//! The log of a slot in the object store, for when the table is down.
//!
//! The journal would refuse every new non-idempotent request while the table
//! service is down, which takes minutes. With the log it goes on: a start is
//! handed on once it is in the table or in the log. A daemon that takes the slot
//! over reads both, and what is in the log only is copied into the table when
//! that is back. The log is not used by a daemon that dropped ids of the slot from
//! memory, since only the table could tell whether those were started.

use std::time::Instant;

use chestnut_base::{RequestId, SlotId};

use super::commit::Sense;
use super::{Append, Journal, Phase};
use crate::batch::Write;
use crate::event::{AppendResult, Effect};
use crate::index::State;
use crate::limits::jitter;
use crate::record::JournalRow;

/// How often an append is sent whose answers are lost.
const SEND_LIMIT: u32 = 2;

impl Journal {
    /// Whether a slot's starts can go into its log.
    pub(super) fn has_log(&self, slot: SlotId, now: Instant) -> bool {
        self.slots.get(&slot).is_some_and(|slot| {
            slot.complete && slot.log.is_some() && matches!(slot.phase, Phase::Open)
        }) && now >= self.log_after
    }

    /// Whether a start waits for its slot's log.
    pub(super) fn waits_for_log(&self) -> bool {
        self.queue.iter().any(|write| {
            let slot = self.slots.get(&write.slot());
            let free =
                slot.is_some_and(|slot| slot.log.is_some() && slot.append.is_none());
            free && matches!(write, Write::Start { .. })
        })
    }

    /// Whether an id's start is in the log only.
    pub(super) fn is_unsaved(&self, id: &RequestId) -> bool {
        self.index.entries.get(id).is_some_and(|entry| entry.unsaved)
    }

    /// Sends the starts of the slot that waits longest into its log.
    pub(super) fn divert(&mut self, now: Instant) {
        let free = |write: &&Write| {
            matches!(write, Write::Start { .. })
                && self.sense(write, now) == Sense::Later
                && self.slots.get(&write.slot()).is_some_and(|slot| slot.append.is_none())
        };
        let Some(slot) = self.queue.iter().find(free).map(Write::slot) else { return };
        let mut records = Vec::new();
        let mut rest = std::collections::VecDeque::new();
        for write in std::mem::take(&mut self.queue) {
            let fits = write.slot() == slot
                && records.len() < self.limits.max_batch_rows
                && matches!(write, Write::Start { .. });
            match self.index.entries.get(write.id()) {
                Some(entry) if fits && matches!(entry.state, State::Pending(_)) => {
                    records.push(entry.record(write.id(), None));
                }
                _ if fits => {}
                _ => rest.push_back(write),
            }
        }
        self.queue = rest;
        let Some(place) = self.slots.get(&slot).and_then(|slot| slot.log) else { return };
        self.append(slot, place, records, 0);
    }

    fn append(
        &mut self,
        slot: SlotId,
        place: u64,
        records: Vec<crate::record::Record>,
        lost: u32,
    ) {
        self.numbers += 1;
        let number = self.numbers;
        let effect = Effect::AppendToLog {
            slot,
            number,
            position: place,
            records: records.clone(),
        };
        self.effects.push_back(effect);
        if let Some(slot) = self.slots.get_mut(&slot) {
            slot.append = Some(Append { number, place, records, lost });
        }
    }

    pub(super) fn appended(
        &mut self,
        slot: SlotId,
        number: u64,
        appended: AppendResult,
        now: Instant,
    ) {
        let Some(known) = self.slots.get_mut(&slot) else { return };
        let version = known.version;
        let Some(append) = known.append.take_if(|append| append.number == number) else {
            return;
        };
        match appended {
            AppendResult::Appended => {
                known.log = Some(append.place + 1);
                known.dirty = true;
                for record in append.records {
                    self.logged(slot, &record.id);
                }
            }
            AppendResult::Conflict => self.deposed(slot, version),
            AppendResult::Unknown if append.lost + 1 < SEND_LIMIT => {
                self.append(slot, append.place, append.records, append.lost + 1);
            }
            AppendResult::Unavailable | AppendResult::Unknown => {
                if appended == AppendResult::Unknown {
                    // The place may be taken by these records yet.
                    known.log = None;
                }
                self.log_after =
                    now + jitter(self.limits.initial_backoff * 2, &mut self.seed);
                for record in append.records {
                    let refusal = self.down(slot, now);
                    let pending = self.index.entries.get(&record.id);
                    if pending
                        .is_some_and(|entry| matches!(entry.state, State::Pending(_)))
                    {
                        self.void(&record.id, &refusal, now);
                    }
                }
            }
        }
    }

    /// The start of an id is in the log.
    fn logged(&mut self, slot: SlotId, id: &RequestId) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if !matches!(entry.state, State::Pending(_)) {
            return;
        }
        entry.state = State::Running;
        entry.unsaved = true;
        let attempt = entry.attempt;
        let owner = entry.askers.first().copied();
        self.queue.push_back(Write::Copy { slot, id: id.clone(), over: None });
        if let Some(ticket) = owner {
            self.effects.push_back(Effect::Run {
                waiter: ticket,
                id: id.clone(),
                attempt,
            });
        }
    }

    /// The copy of an id met a row, or the lack of one.
    pub(super) fn met(&mut self, slot: SlotId, id: &RequestId, row: Option<JournalRow>) {
        let Some(entry) = self.index.entries.get(id) else { return };
        let attempt = row.as_ref().and_then(|row| row.record.as_ref()).map(|r| r.attempt);
        match row {
            Some(row) if attempt == Some(entry.attempt) => {
                self.copied(slot, id, row.version);
            }
            row => {
                let over = row.map(|row| row.version);
                self.queue.push_front(Write::Copy { slot, id: id.clone(), over });
            }
        }
    }

    /// What the log holds of an id is in the table.
    pub(super) fn copied(&mut self, slot: SlotId, id: &RequestId, version: u64) {
        if let Some(entry) = self.index.entries.get_mut(id) {
            entry.unsaved = false;
            entry.version = Some(version);
            if matches!(entry.state, State::Void) {
                let id = id.clone();
                self.queue.push_back(Write::Forget { slot, id, version });
            } else if entry.is_settled()
                && let Some(end) = entry.end
            {
                self.index.finish(id, end);
            }
        }
    }

    /// Removes from the logs what the table has by now.
    pub(super) fn trim_logs(&mut self) {
        if !self.is_table_up() {
            return;
        }
        for (slot, known) in &mut self.slots {
            if known.log.is_none() && matches!(known.phase, Phase::Open) {
                // Where its end is got lost in the outage.
                known.phase = Phase::Loading(Vec::new());
                let version = known.version;
                self.effects.push_back(Effect::LoadSlot { slot: *slot, version });
            }
            let (Some(next), true) = (known.log, known.dirty) else { continue };
            let open = matches!(known.phase, Phase::Open) && known.append.is_none();
            let unsaved =
                |entry: &crate::index::Entry| entry.unsaved && entry.slot == *slot;
            if open && !self.index.entries.values().any(unsaved) {
                known.dirty = false;
                // The last place stays: a former lead finds the log grown by it.
                let effect =
                    Effect::TrimLog { slot: *slot, position: next.saturating_sub(1) };
                self.effects.push_back(effect);
            }
        }
    }
}
