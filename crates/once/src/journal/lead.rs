//! How the journal takes slots over and gives them up.

use std::time::{Duration, Instant};

use chestnut_base::SlotId;

use super::{Journal, Phase, Slot};
use crate::batch::Write;
use crate::event::{Effect, SlotLog};
use crate::index::{Entry, State};
use crate::limits::jitter;
use crate::record::{JournalRow, Record};
use crate::refuse::moved;

impl Journal {
    pub(super) fn lead(&mut self, slot: SlotId, version: u64) {
        let same = |known: &Slot| {
            known.version == version && !matches!(known.phase, Phase::Lost)
        };
        if self.slots.get(&slot).is_some_and(same) {
            return;
        }
        self.refuse_starts(slot, &moved());
        let old = self.slots.swap_remove(&slot).map(|known| known.phase);
        // Requests that waited for the rows wait on.
        let waiting = match old {
            Some(Phase::Loading(waiting)) => waiting,
            Some(Phase::Failed(_) | Phase::Open | Phase::Lost) | None => Vec::new(),
        };
        let phase = Phase::Loading(waiting);
        self.slots.insert(
            slot,
            Slot {
                version,
                phase,
                complete: false,
                log: None,
                append: None,
                dirty: false,
            },
        );
        self.effects.push_back(Effect::LoadSlot { slot, version });
    }

    pub(super) fn unlead(&mut self, slot: SlotId, now: Instant) {
        let Some(known) = self.slots.get_mut(&slot) else { return };
        let phase = std::mem::replace(&mut known.phase, Phase::Lost);
        if let Phase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
        self.refuse_starts(slot, &moved());
        // The next lead's memory is the one that counts; ours may grow stale.
        self.index.entries.retain(|_, entry| {
            entry.slot != slot
                || !entry.askers.is_empty()
                || matches!(entry.state, State::Running | State::Ending(..))
        });
    }

    pub(super) fn loaded(
        &mut self,
        slot: SlotId,
        version: u64,
        rows: Vec<(JournalRow, Duration)>,
        log: SlotLog,
        now: Instant,
    ) {
        let Some(known) = self.slots.get_mut(&slot) else { return };
        if known.version != version || !matches!(known.phase, Phase::Loading(_)) {
            return;
        }
        let phase = std::mem::replace(&mut known.phase, Phase::Open);
        known.complete = rows.iter().all(|(row, _)| row.record.is_some());
        known.log = Some(log.next_position);
        known.dirty = true;
        for (row, age) in rows {
            let Some(record) = row.record else { continue };
            self.know(record, Some(row.version), age, now);
        }
        for record in log.records {
            let known = self.index.entries.get(&record.id);
            // A row tells at least as much as the log, which is written first.
            if known.is_none_or(|known| known.attempt != record.attempt) {
                let id = record.id.clone();
                self.know(record, None, Duration::ZERO, now);
                self.queue.push_back(Write::Copy { slot, id, over: None });
            }
        }
        self.trim();
        if let Phase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
    }

    /// Takes in a record that was read, unless its run is this daemon's and goes on.
    fn know(
        &mut self,
        record: Record,
        version: Option<u64>,
        age: Duration,
        now: Instant,
    ) {
        let (id, entry) = Entry::of(record, version);
        if let Some(own) = self.index.entries.get_mut(&id) {
            let never_ran =
                matches!(own.state, State::Void) && own.attempt == entry.attempt;
            if never_ran {
                own.version = version.or(own.version);
            }
            if never_ran || !own.is_settled() {
                return;
            }
        }
        let end = now + self.limits.retention.saturating_sub(age);
        self.index.entries.insert(id.clone(), entry);
        self.index.finish(&id, end);
    }

    pub(super) fn unloaded(&mut self, slot: SlotId, version: u64, now: Instant) {
        let wait = jitter(self.limits.initial_backoff * 2, &mut self.seed);
        let Some(known) = self.slots.get_mut(&slot) else { return };
        if known.version != version {
            return;
        }
        let phase = std::mem::replace(&mut known.phase, Phase::Failed(now + wait));
        if let Phase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
    }

    pub(super) fn reload(&mut self, now: Instant) {
        for (slot, known) in &mut self.slots {
            if matches!(known.phase, Phase::Failed(at) if at <= now) {
                known.phase = Phase::Loading(Vec::new());
                let version = known.version;
                self.effects.push_back(Effect::LoadSlot { slot: *slot, version });
            }
        }
    }
}
