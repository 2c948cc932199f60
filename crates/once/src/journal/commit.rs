//! Batches of the journal: how they are built and what their answers mean.

use std::collections::VecDeque;
use std::time::Instant;

use chestnut_base::{RequestId, SlotId};
use indexmap::IndexMap;

use super::{Flight, Journal, Link, Phase};
use crate::batch::{Batch, Change, CommitResult, Condition, Write};
use crate::event::{Effect, Reply};
use crate::index::{Entry, State};
use crate::limits::jitter;
use crate::record::{BodyLocation, JournalRow};
use crate::refuse::{in_doubt, moved, reused};

/// How often a batch is sent whose answers are lost.
const SEND_LIMIT: u32 = 2;

impl Journal {
    /// Sends the next batch if one is due, or the next append while the table is
    /// down.
    pub(super) fn pump(&mut self, now: Instant) {
        let down = matches!(self.link, Link::Down { .. });
        if now < self.next || self.queue.is_empty() || self.flight.is_some() && !down {
            return;
        }
        self.next = now + self.limits.batch_interval;
        let rests = matches!(self.link, Link::Down { until, .. } if now < until);
        if self.flight.is_none() && !rests {
            let writes = self.pick(now);
            if !writes.is_empty() {
                return self.send(writes, 0);
            }
        }
        if down {
            self.divert(now);
        }
    }

    /// Takes the next changes from the queue that still make sense.
    fn pick(&mut self, now: Instant) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut later = Vec::new();
        while writes.len() < self.limits.max_batch_rows {
            let Some(write) = self.queue.pop_front() else { break };
            match self.sense(&write, now) {
                Sense::Send => writes.push(write),
                Sense::Later => later.push(write),
                Sense::Never => {}
            }
        }
        self.queue.extend(later);
        // Starts come first, so that a batch whose acknowledgement was lost shows
        // itself by the row of its first start.
        writes.sort_by_key(|write| {
            !matches!(write, Write::Start { .. } | Write::Copy { .. })
        });
        writes
    }

    pub(super) fn sense(&self, write: &Write, now: Instant) -> Sense {
        let state = self.index.entries.get(write.id()).map(|entry| &entry.state);
        let phase = self.slots.get(&write.slot()).map(|slot| &slot.phase);
        match write {
            Write::Start { slot, .. } => match (state, phase) {
                // They are not kept waiting by a table that may not answer.
                (Some(State::Pending(_)), Some(Phase::Open))
                    if !self.is_table_up() && self.has_log(*slot, now) =>
                {
                    Sense::Later
                }
                (Some(State::Pending(_)), Some(Phase::Open)) => Sense::Send,
                _ => Sense::Never,
            },
            Write::Copy { id, .. } => match phase {
                Some(Phase::Open) if self.is_unsaved(id) => Sense::Send,
                Some(Phase::Loading(_) | Phase::Failed(_)) => Sense::Later,
                _ => Sense::Never,
            },
            Write::Finish { .. } => match state {
                Some(State::Ending(..)) => Sense::Send,
                _ => Sense::Never,
            },
            Write::Forget { .. } => match phase {
                Some(Phase::Open) => Sense::Send,
                Some(Phase::Loading(_) | Phase::Failed(_)) => Sense::Later,
                Some(Phase::Lost) | None => Sense::Never,
            },
        }
    }

    fn send(&mut self, writes: Vec<Write>, lost: u32) {
        self.numbers += 1;
        let stamp = self.origin.wrapping_add(self.numbers);
        let change = |write| self.change(write, stamp);
        let batch = Batch {
            number: self.numbers,
            conditions: self.conditions(&writes),
            changes: writes.iter().filter_map(change).collect(),
        };
        self.effects.push_back(Effect::Commit(batch.clone()));
        self.flight = Some(Flight { batch, stamp, writes, lost });
    }

    /// First the claims of the slots, then a condition for each row that needs one.
    fn conditions(&self, writes: &[Write]) -> Vec<Condition> {
        let mut claims = IndexMap::new();
        for write in writes {
            // The answer of a request that was started under a former claim is
            // true whoever holds the slot now, so it needs no claim.
            if let Some(slot) = self.slots.get(&write.slot())
                && !matches!(slot.phase, Phase::Lost)
                && !matches!(write, Write::Finish { .. })
            {
                claims.insert(write.slot(), slot.version);
            }
        }
        let claims =
            claims.into_iter().map(|(slot, version)| Condition::Claim { slot, version });
        claims.chain(writes.iter().filter_map(Write::condition)).collect()
    }

    fn change(&self, write: &Write, stamp: u64) -> Option<Change> {
        let id = write.id();
        let slot = write.slot();
        let entry = self.index.entries.get(id);
        if matches!(write, Write::Forget { .. }) {
            return Some(Change::Delete { slot, id: id.clone() });
        }
        let answer = match (write, &entry?.state) {
            (Write::Copy { .. }, State::Done(summary, _)) => Some(summary.clone()),
            (Write::Finish { .. }, State::Ending(_, summary)) => Some(summary.clone()),
            (Write::Finish { .. }, _) => return None,
            _ => None,
        };
        let mut record = entry?.record(id, answer);
        record.transaction_id = stamp;
        Some(Change::Put(Box::new(record)))
    }

    pub(super) fn stored(&mut self, number: u64, stored: CommitResult, now: Instant) {
        let Some(flight) = self.flight.take_if(|flight| flight.batch.number == number)
        else {
            return;
        };
        match stored {
            CommitResult::Committed { version } => {
                self.link = Link::Up;
                for write in flight.writes {
                    self.committed(write, version, now);
                }
            }
            CommitResult::Conflict { condition, row } => {
                self.link = Link::Up;
                self.conflict(flight, condition, row.map(|row| *row), now);
            }
            CommitResult::Unavailable => self.failed(flight, now),
            CommitResult::Unknown if self.may_resend(&flight, now) => self.resend(flight),
            CommitResult::Unknown => self.failed(flight, now),
        }
    }

    /// Whether a batch whose answer was lost is sent again at once.
    ///
    /// Starts that can go into the log do not wait for a second timeout.
    fn may_resend(&self, flight: &Flight, now: Instant) -> bool {
        let diverts = |write: &Write| {
            matches!(write, Write::Start { .. }) && self.has_log(write.slot(), now)
        };
        flight.lost + 1 < SEND_LIMIT && !flight.writes.iter().any(diverts)
    }

    /// Sends the very same batch again: its conditions tell whether it took effect.
    fn resend(&mut self, flight: Flight) {
        self.numbers += 1;
        let batch = Batch { number: self.numbers, ..flight.batch };
        self.effects.push_back(Effect::Commit(batch.clone()));
        self.flight = Some(Flight { batch, lost: flight.lost + 1, ..flight });
    }

    fn committed(&mut self, write: Write, version: u64, now: Instant) {
        match write {
            Write::Start { slot, id, .. } => self.started(slot, &id, version),
            Write::Copy { slot, id, .. } => self.copied(slot, &id, version),
            Write::Finish { id, .. } => self.finished(&id, version, now),
            Write::Forget { id, .. } => self.forgotten(&id),
        }
    }

    fn started(&mut self, slot: SlotId, id: &RequestId, version: u64) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        entry.version = Some(version);
        match entry.state {
            State::Pending(_) => {
                entry.state = State::Running;
                let attempt = entry.attempt;
                let Some(&ticket) = entry.askers.first() else { return };
                self.effects.push_back(Effect::Run {
                    waiter: ticket,
                    id: id.clone(),
                    attempt,
                });
            }
            // It was refused while its start was on the way.
            State::Void => {
                self.queue.push_back(Write::Forget { slot, id: id.clone(), version })
            }
            _ => {}
        }
    }

    fn finished(&mut self, id: &RequestId, version: u64, now: Instant) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let State::Ending(answer, summary) = &entry.state else { return };
        let (answer, summary) = (answer.clone(), summary.clone());
        entry.version = Some(version);
        entry.unsaved = false;
        entry.state = State::Done(summary, Some(answer.clone()));
        let slot = entry.slot;
        self.tell(id, &Reply::Response(answer.clone()));
        if matches!(
            self.slots.get(&slot).map(|slot| &slot.phase),
            Some(Phase::Lost) | None
        ) {
            self.index.entries.swap_remove(id);
            return;
        }
        self.index.finish(id, now + self.limits.retention);
        self.index.cache(id, answer.body.len(), self.limits.max_cached_bytes);
        self.trim();
    }

    fn forgotten(&mut self, id: &RequestId) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        entry.version = None;
        let key = match &entry.state {
            State::Done(summary, _) => match &summary.body {
                BodyLocation::Object(key) => Some(key.clone()),
                _ => None,
            },
            _ => None,
        };
        if entry.is_settled() && entry.askers.is_empty() {
            self.index.entries.swap_remove(id);
        }
        self.effects.extend(key.map(Effect::DeleteBody));
    }

    fn conflict(
        &mut self,
        flight: Flight,
        condition: usize,
        row: Option<JournalRow>,
        now: Instant,
    ) {
        let Some(failed) = flight.batch.conditions.get(condition) else {
            return self.requeue(flight.writes);
        };
        let id = match failed {
            Condition::Claim { slot, version } => {
                self.deposed(*slot, *version);
                return self.requeue(flight.writes);
            }
            Condition::Absent { id, .. } | Condition::Version { id, .. } => id.clone(),
        };
        if flight.lost > 0 && self.took_effect(&flight, row.as_ref()) {
            let version = row.map_or(0, |row| row.version);
            for write in flight.writes {
                self.committed(write, version, now);
            }
            return;
        }
        let (mut hit, rest): (Vec<_>, Vec<_>) =
            flight.writes.into_iter().partition(|write| {
                *write.id() == id && !matches!(write, Write::Finish { .. })
            });
        self.requeue(rest);
        match hit.pop() {
            Some(Write::Start { slot, id, .. }) => self.taken(slot, &id, row, now),
            Some(Write::Copy { slot, id, .. }) => self.met(slot, &id, row),
            // The row is gone or another's by now; there is nothing to remove.
            Some(Write::Forget { id, .. }) => self.forgotten(&id),
            Some(Write::Finish { .. }) | None => {}
        }
    }

    /// Whether the conflict shows that the batch took effect when its answer was lost.
    ///
    /// All of a batch takes effect or nothing, so that any row with the batch's
    /// stamp shows it. A row of the same attempt does not: an earlier batch that
    /// was believed lost may have written it, and the other starts of this one
    /// would be handed on without a record. A batch that only removes rows shows it
    /// by a row that is gone.
    fn took_effect(&self, flight: &Flight, row: Option<&JournalRow>) -> bool {
        match row {
            Some(row) => row
                .record
                .as_ref()
                .is_some_and(|record| record.transaction_id == flight.stamp),
            None => {
                flight.writes.iter().all(|write| matches!(write, Write::Forget { .. }))
            }
        }
    }

    /// The start of an id met a row, or the lack of one.
    fn taken(
        &mut self,
        slot: SlotId,
        id: &RequestId,
        row: Option<JournalRow>,
        now: Instant,
    ) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let Some(row) = row else {
            entry.version = None;
            let write = Write::Start { slot, id: id.clone(), over: None };
            return self.queue.push_front(write);
        };
        let version = row.version;
        let Some(record) = row.record else {
            // A row that can't be read counts as started.
            entry.state = State::Doubt(Some(now));
            entry.version = Some(version);
            return self.tell(id, &Reply::Refused(in_doubt()));
        };
        if record.attempt == entry.attempt {
            return self.started(slot, id, version);
        }
        let digest = entry.digest;
        let askers = self.take_askers(id);
        let (id, known) = Entry::of(record, Some(version));
        let same = known.digest == digest;
        self.index.entries.insert(id.clone(), known);
        self.index.finish(&id, now + self.limits.retention);
        for asker in askers {
            match same {
                true => self.wait(asker, &id, now),
                false => self.reply(asker, Reply::Refused(reused())),
            }
        }
    }

    pub(super) fn deposed(&mut self, slot: SlotId, version: u64) {
        let Some(known) = self.slots.get_mut(&slot) else { return };
        if known.version == version {
            known.phase = Phase::Lost;
            self.refuse_starts(slot, &moved());
        }
    }

    /// Puts changes back, to be sent at once.
    pub(super) fn requeue(&mut self, writes: Vec<Write>) {
        for write in writes.into_iter().rev() {
            self.queue.push_front(write);
        }
    }

    /// The batch could not be written: nothing new starts until the service is back.
    fn failed(&mut self, flight: Flight, now: Instant) {
        let tries = match self.link {
            Link::Up => 0,
            Link::Down { tries, .. } => (tries + 1).min(16),
        };
        let wait =
            (self.limits.initial_backoff * 2u32.pow(tries)).min(self.limits.max_backoff);
        let until = now + jitter(wait, &mut self.seed);
        self.link = Link::Down { until, tries };
        self.requeue(flight.writes);
        let (starts, rest): (VecDeque<Write>, VecDeque<Write>) =
            std::mem::take(&mut self.queue).into_iter().partition(|write| {
                matches!(write, Write::Start { .. }) && !self.has_log(write.slot(), now)
            });
        self.queue = rest;
        for write in starts {
            let refusal = self.down(write.slot(), now);
            self.void(write.id(), &refusal, now);
        }
        self.release();
    }

    /// Gives out whole answers that wait for the journal only.
    fn release(&mut self) {
        let ids: Vec<_> = self.queue.iter().map(|write| write.id().clone()).collect();
        for id in ids {
            let state = self.index.entries.get(&id).map(|entry| &entry.state);
            if let Some(State::Ending(answer, _)) = state {
                let answer = answer.clone();
                self.tell(&id, &Reply::Response(answer));
            }
        }
    }
}

/// Whether a change is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sense {
    Send,
    Later,
    Never,
}
