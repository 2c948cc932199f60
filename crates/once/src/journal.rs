//! The journal of the slots that one daemon leads.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{AttemptId, Code, Outcome, Refusal, RequestId, SlotId};
use indexmap::IndexMap;

use crate::batch::{Batch, Write};
use crate::event::{Effect, Event, Found, Reply};
use crate::index::{Entry, Index, State, Ticket};
use crate::limits::{Limits, jitter};
use crate::record::{Answer, Kept, Known};
use crate::refuse::{in_doubt, moved, unkept};

mod ask;
mod commit;

/// How long an id that was looked for in vain is not looked for again.
const SEEK_PAUSE: Duration = Duration::from_secs(2);

/// Over how long callers are spread who are told to come back after an outage.
const RETURN_SPREAD: Duration = Duration::from_secs(2);

/// A slot that the daemon leads or led.
#[derive(Debug)]
struct Slot {
    /// The version of the claim's row.
    version: u64,
    phase: Phase,
    /// Whether all ids of the slot that were ever started are in memory.
    complete: bool,
}

#[derive(Debug)]
enum Phase {
    /// The rows are being read; requests wait.
    Loading(Vec<(Instant, Event)>),
    /// The rows could not be read; they are read again at this time.
    Failed(Instant),
    /// Requests are taken.
    Open,
    /// The claim is lost; running requests end.
    Lost,
}

/// How the table service is.
#[derive(Debug, Clone, Copy)]
enum Link {
    Up,
    /// Nothing is sent before `until`, after so many failures in a row.
    Down {
        until: Instant,
        tries: u32,
    },
}

/// A batch that was sent and not answered yet.
#[derive(Debug)]
struct Flight {
    batch: Batch,
    writes: Vec<Write>,
    /// How often this very batch was sent before and its answer lost.
    lost: u32,
}

/// The journal of the slots that one daemon leads.
///
/// An id is handed on only after its start was committed, and its start is
/// committed only if the id has no row, or a row of this daemon's that was never
/// handed on. So each id is handed on at most once.
pub struct Journal {
    limits: Limits,
    seed: u64,
    slots: IndexMap<SlotId, Slot>,
    index: Index,
    /// Changes in the order in which they will be written.
    queue: VecDeque<Write>,
    /// Ids whose start waits, with the time at which their patience ends.
    pending: VecDeque<(Instant, RequestId)>,
    flight: Option<Flight>,
    link: Link,
    /// When the daemon's lease ends; from then on others may take its slots over.
    lease: Instant,
    /// The earliest start of the next batch.
    next: Instant,
    numbers: u64,
    effects: VecDeque<Effect>,
}

impl Journal {
    /// Creates a journal that leads no slot; `seed` spreads its retries.
    pub fn new(limits: Limits, seed: u64, now: Instant) -> Self {
        Self {
            limits,
            seed,
            slots: IndexMap::new(),
            index: Index::default(),
            queue: VecDeque::new(),
            pending: VecDeque::new(),
            flight: None,
            link: Link::Up,
            lease: now,
            next: now,
            numbers: 0,
            effects: VecDeque::new(),
        }
    }

    /// Sets the least time between two batches.
    pub fn set_gap(&mut self, gap: Duration) {
        self.limits.gap = gap;
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Lead { slot, version } => self.lead(slot, version),
            Event::Unlead(slot) => self.unlead(slot, now),
            Event::Lease(until) => self.lease = until,
            Event::Loaded { slot, version, rows } => {
                self.loaded(slot, version, rows, now)
            }
            Event::Unloaded { slot, version } => self.unloaded(slot, version, now),
            Event::Ask { .. } => self.ask(event, now),
            Event::Lookup { ticket, slot, id } => self.lookup(ticket, slot, id, now),
            Event::Stored { number, stored } => self.stored(number, stored, now),
            Event::Refused { id, attempt, refusal } => {
                self.refused(&id, attempt, refusal, now)
            }
            Event::Broke { id, attempt, refusal } => {
                self.broke(&id, attempt, refusal, now)
            }
            Event::Ended { id, attempt, answer, kept } => {
                self.ended(&id, attempt, answer, kept)
            }
            Event::Found { id, attempt, found } => self.found(&id, attempt, found, now),
            Event::Fetched { id, body } => self.fetched(&id, body),
        }
        self.pump(now);
    }

    /// Does what is due by time alone.
    pub fn tick(&mut self, now: Instant) {
        self.lose_patience(now);
        self.reload(now);
        self.forget(now);
        self.pump(now);
    }

    /// When [`Self::tick`] has something to do next.
    pub fn wake(&self) -> Option<Instant> {
        let patience = self.pending.front().map(|(end, _)| *end);
        let batch =
            (!self.queue.is_empty() && self.flight.is_none()).then(|| match self.link {
                Link::Up => self.next,
                Link::Down { until, .. } => until.max(self.next),
            });
        let slots = self.slots.values().filter_map(|slot| match &slot.phase {
            Phase::Failed(at) => Some(*at),
            Phase::Loading(waiting) => waiting.first().map(|(end, _)| *end),
            Phase::Open | Phase::Lost => None,
        });
        slots.chain(patience).chain(batch).min()
    }

    /// Takes the next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The number of ids in memory.
    pub fn ids(&self) -> usize {
        self.index.entries.len()
    }

    /// Bytes of finished answers in memory.
    pub fn answer_bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Changes that wait to be written.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether the table service answered last.
    pub fn is_up(&self) -> bool {
        matches!(self.link, Link::Up)
    }

    /// The slots of which requests are taken.
    pub fn open_slots(&self) -> usize {
        self.slots.values().filter(|slot| matches!(slot.phase, Phase::Open)).count()
    }

    /// Requests that were handed on and whose answers are not recorded yet.
    pub fn running(&self) -> usize {
        let active =
            |entry: &&Entry| matches!(entry.state, State::Running | State::Ending(..));
        self.index.entries.values().filter(active).count()
    }

    fn lead(&mut self, slot: SlotId, version: u64) {
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
        self.slots.insert(slot, Slot { version, phase, complete: false });
        self.effects.push_back(Effect::Load { slot, version });
    }

    fn unlead(&mut self, slot: SlotId, now: Instant) {
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

    fn loaded(
        &mut self,
        slot: SlotId,
        version: u64,
        rows: Vec<(Known, Duration)>,
        now: Instant,
    ) {
        let Some(known) = self.slots.get_mut(&slot) else { return };
        if known.version != version || !matches!(known.phase, Phase::Loading(_)) {
            return;
        }
        let phase = std::mem::replace(&mut known.phase, Phase::Open);
        known.complete = rows.iter().all(|(row, _)| row.record.is_some());
        for (row, age) in rows {
            let Some(record) = row.record else { continue };
            let (id, entry) = Entry::of(record, row.version);
            if self.index.entries.get(&id).is_some_and(|own| !own.is_settled()) {
                continue;
            }
            let end = now + self.limits.retention.saturating_sub(age);
            self.index.entries.insert(id.clone(), entry);
            self.index.finish(&id, end);
        }
        self.trim();
        if let Phase::Loading(waiting) = phase {
            for (_, event) in waiting {
                self.handle(event, now);
            }
        }
    }

    fn unloaded(&mut self, slot: SlotId, version: u64, now: Instant) {
        let wait = jitter(self.limits.backoff * 2, &mut self.seed);
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

    fn reload(&mut self, now: Instant) {
        for (slot, known) in &mut self.slots {
            if matches!(known.phase, Phase::Failed(at) if at <= now) {
                known.phase = Phase::Loading(Vec::new());
                let version = known.version;
                self.effects.push_back(Effect::Load { slot: *slot, version });
            }
        }
    }

    fn refused(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        refusal: Refusal,
        now: Instant,
    ) {
        let Some(entry) = self.own(id, attempt) else { return };
        entry.state = State::Void;
        let slot = entry.slot;
        if let Some(version) = entry.version {
            self.queue.push_back(Write::Forget { slot, id: id.clone(), version });
        }
        self.index.finish(id, now + self.limits.retention);
        self.tell(id, &Reply::Refused(refusal));
    }

    fn broke(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        refusal: Refusal,
        now: Instant,
    ) {
        let Some(entry) = self.own(id, attempt) else { return };
        entry.state = State::Doubt(None);
        self.index.finish(id, now + self.limits.retention);
        self.tell(id, &Reply::Refused(refusal));
    }

    fn ended(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        answer: Arc<Answer>,
        kept: Kept,
    ) {
        if self.own(id, attempt).is_some() {
            self.end(id, answer, kept);
        }
    }

    /// Records the answer of an id and gives it out afterwards.
    fn end(&mut self, id: &RequestId, answer: Arc<Answer>, kept: Kept) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let summary = answer.summary(kept);
        entry.state = State::Ending(answer.clone(), summary);
        let slot = entry.slot;
        self.queue.push_back(Write::Finish { slot, id: id.clone() });
        if !self.is_up() {
            // The answer is whole; an outage of the journal must not keep it back.
            self.tell(id, &Reply::Answer(answer));
        }
    }

    fn found(&mut self, id: &RequestId, attempt: AttemptId, found: Found, now: Instant) {
        let end = now + self.limits.retention;
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if entry.attempt != attempt || !matches!(entry.state, State::Seeking) {
            return;
        }
        match found {
            Found::Nothing => {
                entry.state = State::Doubt(Some(now));
                self.tell(id, &Reply::Refused(in_doubt()));
            }
            Found::Row { summary, version } => {
                entry.version = Some(version);
                entry.state = State::Done(summary, None);
                self.index.finish(id, end);
                for asker in self.take_askers(id) {
                    self.wait(asker, id, now);
                }
            }
            Found::Engine { answer, kept } => self.end(id, answer, kept),
        }
    }

    fn fetched(&mut self, id: &RequestId, body: Option<Bytes>) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let State::Done(summary, held) = &mut entry.state else { return };
        let Some(body) = body else {
            let refusal = unkept().after(Duration::from_secs(2));
            return self.tell(id, &Reply::Refused(refusal));
        };
        let answer = summary.with_body(body);
        *held = Some(answer.clone());
        self.index.cache(id, answer.body.len(), self.limits.answers);
        self.tell(id, &Reply::Answer(answer));
    }

    /// Refuses requests that have waited for the journal too long.
    fn lose_patience(&mut self, now: Instant) {
        while let Some((end, _)) = self.pending.front()
            && *end <= now
        {
            let Some((end, id)) = self.pending.pop_front() else { break };
            let limits = self.limits;
            let due = |entry: &Entry| matches!(entry.state, State::Pending(since) if since + limits.patience <= end);
            if let Some(entry) = self.index.entries.get(&id).filter(|entry| due(entry)) {
                let refusal = self.down(entry.slot, now);
                self.void(&id, &refusal, now);
            }
        }
        let mut late = Vec::new();
        for slot in self.slots.values_mut() {
            if let Phase::Loading(waiting) = &mut slot.phase {
                let count = waiting.iter().take_while(|(end, _)| *end <= now).count();
                late.extend(waiting.drain(..count));
            }
        }
        for (_, event) in late {
            if let Event::Ask { ticket, slot, .. } = event {
                let refusal = self.down(slot, now);
                self.reply(ticket, Reply::Refused(refusal));
            }
        }
    }

    /// Removes the rows of ids whose retention is over.
    fn forget(&mut self, now: Instant) {
        while self.queue.len() < self.limits.batch {
            let Some(id) = self.index.expired(now) else { break };
            let Some(entry) = self.index.entries.get(&id) else { continue };
            if !entry.is_settled() || !entry.askers.is_empty() {
                continue;
            }
            match entry.version {
                Some(version) => {
                    let slot = entry.slot;
                    self.queue.push_back(Write::Forget { slot, id, version });
                }
                None => {
                    self.index.entries.swap_remove(&id);
                }
            }
        }
    }

    /// Refuses the requests of a slot whose start was not committed.
    fn refuse_starts(&mut self, slot: SlotId, refusal: &Refusal) {
        let waits = |entry: &Entry| {
            entry.slot == slot && matches!(entry.state, State::Pending(_))
        };
        let entries = self.index.entries.iter();
        let ids: Vec<_> =
            entries.filter(|(_, entry)| waits(entry)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.set_void(&id);
            self.tell(&id, &Reply::Refused(refusal.clone()));
        }
    }

    /// Refuses a request whose start may be committed yet.
    fn void(&mut self, id: &RequestId, refusal: &Refusal, now: Instant) {
        self.set_void(id);
        self.index.finish(id, now + self.limits.retention);
        self.tell(id, &Reply::Refused(refusal.clone()));
    }

    fn set_void(&mut self, id: &RequestId) {
        if let Some(entry) = self.index.entries.get_mut(id) {
            entry.state = State::Void;
        }
    }

    /// The entry of a run that this daemon made.
    fn own(&mut self, id: &RequestId, attempt: AttemptId) -> Option<&mut Entry> {
        let entry = self.index.entries.get_mut(id)?;
        let running = matches!(entry.state, State::Running);
        (running && entry.attempt == attempt).then_some(entry)
    }

    fn take_askers(&mut self, id: &RequestId) -> Vec<Ticket> {
        let entry = self.index.entries.get_mut(id);
        entry.map(|entry| std::mem::take(&mut entry.askers)).unwrap_or_default()
    }

    /// Tells all who wait for an id.
    fn tell(&mut self, id: &RequestId, reply: &Reply) {
        for asker in self.take_askers(id) {
            self.reply(asker, reply.clone());
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.effects.push_back(Effect::Reply { ticket, reply });
    }

    /// Drops the oldest ids beyond the limit.
    fn trim(&mut self) {
        for slot in self.index.trim(self.limits.ids) {
            if let Some(slot) = self.slots.get_mut(&slot) {
                slot.complete = false;
            }
        }
    }

    /// Whether an id that is not in memory was certainly never started.
    ///
    /// A daemon that was paused may have lost its slot, and the id may have run
    /// elsewhere since. While its lease holds, nobody can have taken it over.
    fn is_sure(&self, slot: SlotId, now: Instant) -> bool {
        let open = |slot: &Slot| slot.complete && matches!(slot.phase, Phase::Open);
        now < self.lease && self.slots.get(&slot).is_some_and(open)
    }

    /// The refusal of a request that can't be journalled now.
    fn down(&mut self, slot: SlotId, now: Instant) -> Refusal {
        let rest = match self.link {
            Link::Down { until, .. } => until.saturating_duration_since(now),
            Link::Up => self.limits.backoff,
        };
        let wait = rest + jitter(RETURN_SPREAD, &mut self.seed);
        let outcome = match self.is_sure(slot, now) {
            true => Outcome::NotRun,
            false => Outcome::InDoubt,
        };
        let why = "the journal can't be used now, so the request was not started here; \
                   send it again with the same key after the time given";
        Refusal::new(outcome, Code::JournalDown, why).after(wait)
    }
}
