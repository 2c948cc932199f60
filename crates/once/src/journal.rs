//! The journal of the slots that one daemon leads.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{AttemptId, Outcome, Refusal, RefusalCode, RequestId, SlotId};
use indexmap::IndexMap;

use crate::batch::{Batch, Write};
use crate::event::{Effect, Event, Recovered, Reply};
use crate::index::{Entry, Index, State, WaiterId};
use crate::limits::{Limits, jitter};
use crate::record::{BodyLocation, Record, Response};
use crate::refuse::{in_doubt, unkept};

mod ask;
mod commit;
mod lead;
mod log;

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
    /// The next place in the slot's log, once it was read.
    log: Option<u64>,
    /// The append that is on its way.
    append: Option<Append>,
    /// Whether the log may hold what the table has by now.
    dirty: bool,
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
    /// The mark of the batch in the rows that it writes.
    stamp: u64,
    writes: Vec<Write>,
    /// How often this very batch was sent before and its answer lost.
    lost: u32,
}

/// Starts on their way into a slot's log.
#[derive(Debug)]
struct Append {
    number: u64,
    place: u64,
    records: Vec<Record>,
    /// How often it was sent before and its answer lost.
    lost: u32,
}

/// The journal of the slots that one daemon leads.
///
/// An id is handed on only after its start was committed, and its start is
/// committed only if the id has no row, or a row of this daemon's that was never
/// handed on. So each id is handed on at most once.
pub struct Journal {
    limits: Limits,
    /// What the stamps of this journal's batches start from.
    origin: u64,
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
    /// When the object store is asked again after it failed.
    log_after: Instant,
    effects: VecDeque<Effect>,
}

impl Journal {
    /// Creates a journal that leads no slot.
    ///
    /// `seed` spreads its retries and marks its batches; it must be another one for
    /// each start of a daemon.
    pub fn new(limits: Limits, seed: u64, now: Instant) -> Self {
        Self {
            limits,
            origin: seed,
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
            log_after: now,
            effects: VecDeque::new(),
        }
    }

    /// Sets the least time between two batches.
    pub fn set_batch_interval(&mut self, gap: Duration) {
        self.limits.batch_interval = gap;
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::SlotClaimed { slot, version } => self.lead(slot, version),
            Event::ClaimLost(slot) => self.unlead(slot, now),
            Event::LeaseExpiry(until) => self.lease = until,
            Event::SlotLoaded { slot, version, rows, log } => {
                self.loaded(slot, version, rows, log, now)
            }
            Event::AppendFinished { slot, number, result } => {
                self.appended(slot, number, result, now)
            }
            Event::LoadFailed { slot, version } => self.unloaded(slot, version, now),
            Event::Submit { .. } => self.ask(event, now),
            Event::Lookup { waiter: ticket, slot, id } => {
                self.lookup(ticket, slot, id, now)
            }
            Event::CommitFinished { number, result } => self.stored(number, result, now),
            Event::RunRefused { id, attempt, refusal } => {
                self.refused(&id, attempt, refusal, now)
            }
            Event::RunInterrupted { id, attempt, refusal } => {
                self.broke(&id, attempt, refusal, now)
            }
            Event::RunFinished { id, attempt, response, body } => {
                self.ended(&id, attempt, response, body)
            }
            Event::RecoveryFinished { id, attempt, recovered } => {
                self.found(&id, attempt, recovered, now)
            }
            Event::BodyFetched { id, body } => self.fetched(&id, body),
        }
        self.pump(now);
    }

    /// Does what is due by time alone.
    pub fn tick(&mut self, now: Instant) {
        self.lose_patience(now);
        self.reload(now);
        self.forget(now);
        self.pump(now);
        self.trim_logs();
    }

    /// When [`Self::tick`] has something to do next.
    pub fn next_deadline(&self) -> Option<Instant> {
        let patience = self.pending.front().map(|(end, _)| *end);
        let batch = (!self.queue.is_empty()).then(|| match self.link {
            Link::Up if self.flight.is_some() => None,
            Link::Up => Some(self.next),
            Link::Down { .. } if self.waits_for_log() => Some(self.next),
            Link::Down { until, .. } => {
                self.flight.is_none().then(|| until.max(self.next))
            }
        });
        let batch = batch.flatten();
        let slots = self.slots.values().filter_map(|slot| match &slot.phase {
            Phase::Failed(at) => Some(*at),
            Phase::Loading(waiting) => waiting.first().map(|(end, _)| *end),
            Phase::Open | Phase::Lost => None,
        });
        slots.chain(patience).chain(batch).min()
    }

    /// Takes the next effect.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The number of ids in memory.
    pub fn id_count(&self) -> usize {
        self.index.entries.len()
    }

    /// Bytes of finished answers in memory.
    pub fn cached_bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Changes that wait to be written.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether the table service answered last.
    pub fn is_table_up(&self) -> bool {
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

    fn refused(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        refusal: Refusal,
        now: Instant,
    ) {
        let Some(entry) = self.own(id, attempt) else { return };
        entry.state = State::Void;
        entry.unsaved = false;
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
        answer: Arc<Response>,
        kept: BodyLocation,
    ) {
        if self.own(id, attempt).is_some() {
            self.end(id, answer, kept);
        }
    }

    /// Records the answer of an id and gives it out afterwards.
    fn end(&mut self, id: &RequestId, answer: Arc<Response>, kept: BodyLocation) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let summary = answer.summary(kept);
        entry.state = State::Ending(answer.clone(), summary);
        let slot = entry.slot;
        self.queue.push_back(Write::Finish { slot, id: id.clone() });
        if !self.is_table_up() {
            // The answer is whole; an outage of the journal must not keep it back.
            self.tell(id, &Reply::Response(answer));
        }
    }

    fn found(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        found: Recovered,
        now: Instant,
    ) {
        let end = now + self.limits.retention;
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if entry.attempt != attempt || !matches!(entry.state, State::Seeking) {
            return;
        }
        match found {
            Recovered::Nothing => {
                entry.state = State::Doubt(Some(now));
                self.tell(id, &Reply::Refused(in_doubt()));
            }
            Recovered::Row { summary, version } => {
                entry.version = Some(version);
                entry.state = State::Done(summary, None);
                self.index.finish(id, end);
                for asker in self.take_askers(id) {
                    self.wait(asker, id, now);
                }
            }
            Recovered::Engine { response, body } => self.end(id, response, body),
        }
    }

    fn fetched(&mut self, id: &RequestId, body: Option<Bytes>) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let State::Done(summary, held) = &mut entry.state else { return };
        let Some(body) = body else {
            let refusal = unkept().with_retry_after(Duration::from_secs(2));
            return self.tell(id, &Reply::Refused(refusal));
        };
        let answer = summary.with_body(body);
        *held = Some(answer.clone());
        self.index.cache(id, answer.body.len(), self.limits.max_cached_bytes);
        self.tell(id, &Reply::Response(answer));
    }

    /// Refuses requests that have waited for the journal too long.
    fn lose_patience(&mut self, now: Instant) {
        while let Some((end, _)) = self.pending.front()
            && *end <= now
        {
            let Some((end, id)) = self.pending.pop_front() else { break };
            let limits = self.limits;
            let due = |entry: &Entry| matches!(entry.state, State::Pending(since) if since + limits.wait_limit <= end);
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
            if let Event::Submit { waiter: ticket, slot, .. } = event {
                let refusal = self.down(slot, now);
                self.reply(ticket, Reply::Refused(refusal));
            }
        }
    }

    /// Removes the rows of ids whose retention is over.
    fn forget(&mut self, now: Instant) {
        while self.queue.len() < self.limits.max_batch_rows {
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

    fn take_askers(&mut self, id: &RequestId) -> Vec<WaiterId> {
        let entry = self.index.entries.get_mut(id);
        entry.map(|entry| std::mem::take(&mut entry.askers)).unwrap_or_default()
    }

    /// Tells all who wait for an id.
    fn tell(&mut self, id: &RequestId, reply: &Reply) {
        for asker in self.take_askers(id) {
            self.reply(asker, reply.clone());
        }
    }

    fn reply(&mut self, ticket: WaiterId, reply: Reply) {
        self.effects.push_back(Effect::Reply { waiter: ticket, reply });
    }

    /// Drops the oldest ids beyond the limit.
    fn trim(&mut self) {
        for slot in self.index.trim(self.limits.max_ids) {
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
            Link::Up => self.limits.initial_backoff,
        };
        let wait = rest + jitter(RETURN_SPREAD, &mut self.seed);
        let outcome = match self.is_sure(slot, now) {
            true => Outcome::NotRun,
            false => Outcome::InDoubt,
        };
        let why = "the journal can't be used now, so the request was not started here; \
                   send it again with the same key after the time given";
        Refusal::new(outcome, RefusalCode::JournalDown, why).with_retry_after(wait)
    }
}
