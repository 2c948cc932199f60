//! The journal of the slots that one daemon holds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{AttemptId, Outcome, Refusal, RefusalCode, RequestId, SlotId};
use indexmap::IndexMap;

use crate::batch::{Batch, PendingWrite};
use crate::event::{Effect, Event, Recovered, Reply};
use crate::index::{Entry, Index, RequestState, WaiterId};
use crate::limits::{Limits, jitter};
use crate::record::{BodyLocation, Record, Response};
use crate::refusals::{in_doubt, response_unreadable, slot_moving};

mod claims;
mod commit;
mod log;
mod requests;

/// The minimum time between an unsuccessful recovery of an id and the next one.
const RECOVERY_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Spread of the retry delays that callers get during an outage.
const RETRY_SPREAD: Duration = Duration::from_secs(2);

/// A slot that the daemon holds or held.
#[derive(Debug)]
struct SlotState {
    /// The version of the claim's row.
    claim_version: u64,
    phase: SlotPhase,
    /// Whether all ids of the slot that were ever started are in memory.
    complete: bool,
    /// The next position in the slot's log; `None` while it is unknown.
    log_end: Option<u64>,
    append_in_flight: Option<Append>,
    /// Whether the log may hold records that the table has.
    log_needs_trim: bool,
}

#[derive(Debug)]
enum SlotPhase {
    /// The rows are being read; requests wait until their deadlines.
    Loading(Vec<(Instant, Event)>),
    /// The rows could not be read; they are read again at this time.
    LoadFailed(Instant),
    /// Requests are accepted.
    Open,
    /// The claim is lost; running requests finish.
    ClaimLost,
}

/// Whether the table service responds.
#[derive(Debug, Clone, Copy)]
enum TableState {
    Available,
    /// No batch is sent before `retry_at`.
    Unavailable {
        retry_at: Instant,
        /// Failures in a row after the first, at most 16.
        failures: u32,
    },
}

/// A batch that was sent and whose result is pending.
#[derive(Debug)]
struct BatchInFlight {
    batch: Batch,
    /// Identifies the batch in the rows that it writes.
    transaction_id: u64,
    writes: Vec<PendingWrite>,
    /// Earlier sends of this batch whose result is unknown.
    resends: u32,
}

/// Starts that were sent to a slot's log and whose result is pending.
#[derive(Debug)]
struct Append {
    number: u64,
    position: u64,
    records: Vec<Record>,
    /// Earlier sends of this append whose result is unknown.
    resends: u32,
}

/// The journal of the slots that one daemon holds.
///
/// An id is dispatched only after its start was recorded, and its start is recorded
/// only if the id has no row, or a row of an attempt of this daemon that was never
/// dispatched. So each id is dispatched at most once.
pub struct Journal {
    limits: Limits,
    /// Added to a batch's number to get its transaction id.
    transaction_id_base: u64,
    jitter_seed: u64,
    slots: IndexMap<SlotId, SlotState>,
    index: Index,
    /// In the order in which they will be written.
    write_queue: VecDeque<PendingWrite>,
    /// Ids whose start is queued, with the ends of their wait limits.
    start_deadlines: VecDeque<(Instant, RequestId)>,
    in_flight: Option<BatchInFlight>,
    table: TableState,
    /// After this time other daemons may take over the slots.
    lease_expiry: Instant,
    /// The earliest start of the next batch or append.
    next_batch_at: Instant,
    /// The number of the last batch or append.
    last_number: u64,
    /// Nothing is appended to logs before this time.
    log_retry_at: Instant,
    effects: VecDeque<Effect>,
}

impl Journal {
    /// Creates a journal without slots.
    ///
    /// `seed` spreads the retries and identifies the batches; it must differ for each
    /// start of a daemon.
    pub fn new(limits: Limits, seed: u64, now: Instant) -> Self {
        Self {
            limits,
            transaction_id_base: seed,
            jitter_seed: seed,
            slots: IndexMap::new(),
            index: Index::default(),
            write_queue: VecDeque::new(),
            start_deadlines: VecDeque::new(),
            in_flight: None,
            table: TableState::Available,
            lease_expiry: now,
            next_batch_at: now,
            last_number: 0,
            log_retry_at: now,
            effects: VecDeque::new(),
        }
    }

    /// Sets the minimum time between the starts of two batches.
    pub fn set_batch_interval(&mut self, interval: Duration) {
        self.limits.batch_interval = interval;
    }

    /// Handles an event; the resulting effects are returned by [`Self::next_effect`].
    pub fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::SlotClaimed { slot, version } => self.claim_slot(slot, version),
            Event::ClaimLost(slot) => self.lose_claim(slot, now),
            Event::LeaseExpiry(expiry) => self.lease_expiry = expiry,
            Event::SlotLoaded { slot, version, rows, log } => {
                self.slot_loaded(slot, version, rows, log, now)
            }
            Event::AppendFinished { slot, number, result } => {
                self.append_finished(slot, number, result, now)
            }
            Event::LoadFailed { slot, version } => self.load_failed(slot, version, now),
            Event::ClaimSuperseded { slot, version } => {
                self.claim_superseded(slot, version, now)
            }
            Event::Submit { .. } => self.submit(event, now),
            Event::Lookup { waiter, slot, id } => self.lookup(waiter, slot, id, now),
            Event::CommitFinished { number, result } => {
                self.commit_finished(number, result, now)
            }
            Event::RunRefused { id, attempt, refusal } => {
                self.run_refused(&id, attempt, refusal, now)
            }
            Event::RunInterrupted { id, attempt, refusal } => {
                self.run_interrupted(&id, attempt, refusal, now)
            }
            Event::RunFinished { id, attempt, response, body } => {
                self.run_finished(&id, attempt, response, body)
            }
            Event::RecoveryFinished { id, attempt, recovered } => {
                self.recovery_finished(&id, attempt, recovered, now)
            }
            Event::BodyFetched { id, body } => self.body_fetched(&id, body),
        }
        self.send_due(now);
    }

    /// Handles what is due at `now`: timeouts, retries, expiry, the next batch and log
    /// trimming.
    pub fn tick(&mut self, now: Instant) {
        self.time_out_starts(now);
        self.retry_loads(now);
        self.expire_ids(now);
        self.send_due(now);
        self.trim_logs();
    }

    /// When [`Self::tick`] must be called next; `None` while it has nothing to do.
    ///
    /// Doesn't cover id expiry and log trimming, which happen at the next call.
    pub fn next_deadline(&self) -> Option<Instant> {
        let start_deadline = self.start_deadlines.front().map(|(deadline, _)| *deadline);
        let batch = (!self.write_queue.is_empty()).then(|| match self.table {
            TableState::Available if self.in_flight.is_some() => None,
            TableState::Available => Some(self.next_batch_at),
            TableState::Unavailable { .. } if self.has_start_for_log() => {
                Some(self.next_batch_at)
            }
            TableState::Unavailable { retry_at, .. } => {
                self.in_flight.is_none().then(|| retry_at.max(self.next_batch_at))
            }
        });
        let batch = batch.flatten();
        let slots = self.slots.values().filter_map(|slot| match &slot.phase {
            SlotPhase::LoadFailed(retry_at) => Some(*retry_at),
            SlotPhase::Loading(waiting) => waiting.first().map(|(deadline, _)| *deadline),
            SlotPhase::Open | SlotPhase::ClaimLost => None,
        });
        slots.chain(start_deadline).chain(batch).min()
    }

    /// Removes and returns the next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The number of ids in memory.
    pub fn id_count(&self) -> usize {
        self.index.entries.len()
    }

    /// Bytes of finished responses in memory.
    pub fn cached_bytes(&self) -> usize {
        self.index.cached_bytes()
    }

    /// The number of changes that wait to be written.
    pub fn queued(&self) -> usize {
        self.write_queue.len()
    }

    /// Whether the table service responded to the last batch; true before the first.
    pub fn is_table_up(&self) -> bool {
        matches!(self.table, TableState::Available)
    }

    /// The number of slots whose requests are accepted.
    pub fn open_slots(&self) -> usize {
        self.slots.values().filter(|slot| matches!(slot.phase, SlotPhase::Open)).count()
    }

    /// The number of dispatched requests whose responses are not recorded yet.
    pub fn running(&self) -> usize {
        let is_running = |entry: &&Entry| {
            matches!(
                entry.state,
                RequestState::Running | RequestState::StoringResponse(..)
            )
        };
        self.index.entries.values().filter(is_running).count()
    }

    fn run_refused(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        refusal: Refusal,
        now: Instant,
    ) {
        let Some(entry) = self.running_entry(id, attempt) else { return };
        entry.state = RequestState::NotRun;
        entry.log_only = false;
        let slot = entry.slot;
        if let Some(version) = entry.row_version {
            self.write_queue.push_back(PendingWrite::DeleteRow {
                slot,
                id: id.clone(),
                version,
            });
        }
        self.index.schedule_expiry(id, now + self.limits.retention);
        self.reply_to_waiters(id, &Reply::Refused(refusal));
    }

    fn run_interrupted(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        refusal: Refusal,
        now: Instant,
    ) {
        let Some(entry) = self.running_entry(id, attempt) else { return };
        entry.state = RequestState::InDoubt(None);
        self.index.schedule_expiry(id, now + self.limits.retention);
        self.reply_to_waiters(id, &Reply::Refused(refusal));
    }

    fn run_finished(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        response: Arc<Response>,
        body: BodyLocation,
    ) {
        if self.running_entry(id, attempt).is_some() {
            self.store_response(id, response, body);
        }
    }

    /// Queues the response for the table; the waiters get it once it is recorded.
    fn store_response(
        &mut self,
        id: &RequestId,
        response: Arc<Response>,
        body: BodyLocation,
    ) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let summary = response.summary(body);
        entry.state = RequestState::StoringResponse(response.clone(), summary);
        let slot = entry.slot;
        self.write_queue.push_back(PendingWrite::StoreResponse { slot, id: id.clone() });
        if !self.is_table_up() {
            // The response is complete; an outage of the table must not delay it.
            self.reply_to_waiters(id, &Reply::Response(response));
        }
    }

    fn recovery_finished(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        recovered: Recovered,
        now: Instant,
    ) {
        let expires_at = now + self.limits.retention;
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        if entry.attempt != attempt || !matches!(entry.state, RequestState::Recovering) {
            return;
        }
        match recovered {
            // Another holder of the slot has found that this attempt was never dispatched, and
            // has run another request with the id.
            Recovered::Row { attempt: recorded, .. } if recorded != attempt => {
                self.reply_to_waiters(id, &Reply::Refused(slot_moving()));
                self.index.entries.swap_remove(id);
            }
            Recovered::Nothing => {
                entry.state = RequestState::InDoubt(Some(now));
                self.reply_to_waiters(id, &Reply::Refused(in_doubt()));
            }
            Recovered::Row { summary, version, .. } => {
                entry.row_version = Some(version);
                entry.state = RequestState::Done(summary, None);
                self.index.schedule_expiry(id, expires_at);
                for waiter in self.take_waiters(id) {
                    self.add_waiter(waiter, id, now);
                }
            }
            Recovered::Engine { response, body } => {
                self.store_response(id, response, body)
            }
        }
    }

    fn body_fetched(&mut self, id: &RequestId, body: Option<Bytes>) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        let RequestState::Done(summary, cached) = &mut entry.state else { return };
        let Some(body) = body else {
            let refusal = response_unreadable().with_retry_after(Duration::from_secs(2));
            return self.reply_to_waiters(id, &Reply::Refused(refusal));
        };
        let response = summary.with_body(body);
        *cached = Some(response.clone());
        self.index.cache(id, response.body.len(), self.limits.max_cached_bytes);
        self.reply_to_waiters(id, &Reply::Response(response));
    }

    /// Refuses requests that waited for the journal beyond the wait limit.
    fn time_out_starts(&mut self, now: Instant) {
        while let Some((deadline, _)) = self.start_deadlines.front()
            && *deadline <= now
        {
            let Some((deadline, id)) = self.start_deadlines.pop_front() else { break };
            let limits = self.limits;
            let is_due = |entry: &Entry| {
                matches!(
                    entry.state,
                    RequestState::Queued(since) if since + limits.wait_limit <= deadline
                )
            };
            if let Some(entry) = self.index.entries.get(&id).filter(|entry| is_due(entry))
            {
                let refusal = self.unavailable_refusal(entry.slot, now);
                self.cancel_start(&id, &refusal, now);
            }
        }
        let mut timed_out = Vec::new();
        for slot in self.slots.values_mut() {
            if let SlotPhase::Loading(waiting) = &mut slot.phase {
                let count =
                    waiting.iter().take_while(|(deadline, _)| *deadline <= now).count();
                timed_out.extend(waiting.drain(..count));
            }
        }
        for (_, event) in timed_out {
            if let Event::Submit { waiter, slot, .. } = event {
                let refusal = self.unavailable_refusal(slot, now);
                self.reply(waiter, Reply::Refused(refusal));
            }
        }
    }

    /// Removes ids whose retention has ended; those with a row are removed once its
    /// queued deletion is committed.
    fn expire_ids(&mut self, now: Instant) {
        while self.write_queue.len() < self.limits.max_batch_rows {
            let Some(id) = self.index.pop_expired(now) else { break };
            let Some(entry) = self.index.entries.get(&id) else { continue };
            if !entry.is_idle() || !entry.waiters.is_empty() {
                continue;
            }
            match entry.row_version {
                Some(version) => {
                    let slot = entry.slot;
                    self.write_queue.push_back(PendingWrite::DeleteRow {
                        slot,
                        id,
                        version,
                    });
                }
                None => {
                    self.index.entries.swap_remove(&id);
                }
            }
        }
    }

    /// Refuses the requests of a slot whose starts are still queued.
    fn refuse_starts(&mut self, slot: SlotId, refusal: &Refusal) {
        let is_queued = |entry: &Entry| {
            entry.slot == slot && matches!(entry.state, RequestState::Queued(_))
        };
        let entries = self.index.entries.iter();
        let ids: Vec<_> = entries
            .filter(|(_, entry)| is_queued(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.mark_not_run(&id);
            self.reply_to_waiters(&id, &Reply::Refused(refusal.clone()));
        }
    }

    /// Refuses a request whose start may still be committed.
    fn cancel_start(&mut self, id: &RequestId, refusal: &Refusal, now: Instant) {
        self.mark_not_run(id);
        self.index.schedule_expiry(id, now + self.limits.retention);
        self.reply_to_waiters(id, &Reply::Refused(refusal.clone()));
    }

    fn mark_not_run(&mut self, id: &RequestId) {
        if let Some(entry) = self.index.entries.get_mut(id) {
            entry.state = RequestState::NotRun;
        }
    }

    /// Returns the entry of an id if this attempt at it is running.
    fn running_entry(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
    ) -> Option<&mut Entry> {
        let entry = self.index.entries.get_mut(id)?;
        let is_running = matches!(entry.state, RequestState::Running);
        (is_running && entry.attempt == attempt).then_some(entry)
    }

    fn take_waiters(&mut self, id: &RequestId) -> Vec<WaiterId> {
        let entry = self.index.entries.get_mut(id);
        entry.map(|entry| std::mem::take(&mut entry.waiters)).unwrap_or_default()
    }

    fn reply_to_waiters(&mut self, id: &RequestId, reply: &Reply) {
        for waiter in self.take_waiters(id) {
            self.reply(waiter, reply.clone());
        }
    }

    fn reply(&mut self, waiter: WaiterId, reply: Reply) {
        self.effects.push_back(Effect::Reply { waiter, reply });
    }

    /// Evicts the oldest finished ids beyond the limit; their slots are then incomplete.
    fn evict_ids(&mut self) {
        for slot in self.index.evict(self.limits.max_ids) {
            if let Some(slot) = self.slots.get_mut(&slot) {
                slot.complete = false;
            }
        }
    }

    /// Whether an id that is not in memory was certainly never started.
    ///
    /// After a suspension the daemon may have lost its slot, and the id may have run
    /// elsewhere. While its lease is valid, nobody can have taken over the slot.
    fn is_index_authoritative(&self, slot: SlotId, now: Instant) -> bool {
        let is_open =
            |slot: &SlotState| slot.complete && matches!(slot.phase, SlotPhase::Open);
        now < self.lease_expiry && self.slots.get(&slot).is_some_and(is_open)
    }

    /// Builds the refusal of a request whose start can't be recorded now.
    fn unavailable_refusal(&mut self, slot: SlotId, now: Instant) -> Refusal {
        let remaining = match self.table {
            TableState::Unavailable { retry_at, .. } => {
                retry_at.saturating_duration_since(now)
            }
            TableState::Available => self.limits.initial_backoff,
        };
        let retry_after = remaining + jitter(RETRY_SPREAD, &mut self.jitter_seed);
        let outcome = match self.is_index_authoritative(slot, now) {
            true => Outcome::NotRun,
            false => Outcome::InDoubt,
        };
        let message = "the journal can't be used now, so the request was not started \
                       here; send it again with the same key after the retry delay";
        Refusal::new(outcome, RefusalCode::JournalDown, message)
            .with_retry_after(retry_after)
    }
}
