//! Requests and lookups from callers.

use std::time::Instant;

use chestnut_base::{Digest, RequestId, SlotId};

use super::{Journal, RECOVERY_RETRY_INTERVAL, SlotPhase, TableState};
use crate::batch::PendingWrite;
use crate::event::{Effect, Event, Reply};
use crate::index::{Entry, RequestState, WaiterId};
use crate::record::BodyLocation;
use crate::refusals::{
    in_doubt, key_contended, key_reused, response_unreadable, slot_moving,
};

impl Journal {
    pub(super) fn submit(&mut self, event: Event, now: Instant) {
        let Event::Submit { waiter, slot, ref id, digest, attempt, ref target } = event
        else {
            return;
        };
        if let Some(entry) = self.index.entries.get(id)
            && !matches!(entry.state, RequestState::NotRun)
        {
            let id = id.clone();
            return self.join(waiter, &id, digest, now);
        }
        let limits = self.limits;
        match self.slots.get_mut(&slot).map(|slot| &mut slot.phase) {
            Some(SlotPhase::Open) => {}
            Some(SlotPhase::Loading(waiting)) if waiting.len() < limits.max_queued => {
                waiting.push((now + limits.wait_limit, event));
                return;
            }
            Some(SlotPhase::Loading(_) | SlotPhase::LoadFailed(_)) => {
                let refusal = self.unavailable_refusal(slot, now);
                return self.reply(waiter, Reply::Refused(refusal));
            }
            Some(SlotPhase::ClaimLost) | None => {
                return self.reply(waiter, Reply::Refused(slot_moving()));
            }
        }
        let queue_full = self.write_queue.len() >= limits.max_queued;
        let table_down = matches!(
            self.table,
            TableState::Unavailable { retry_at, .. } if now < retry_at
        );
        if queue_full || table_down && !self.can_append(slot, now) {
            let refusal = self.unavailable_refusal(slot, now);
            return self.reply(waiter, Reply::Refused(refusal));
        }
        let (id, target) = (id.clone(), target.clone());
        let previous = self.index.entries.get(&id);
        let replaced_version = previous.and_then(|entry| entry.row_version);
        // The earlier attempt was not dispatched, so its number can be reused. A row
        // that it may have left behind is then recognised as this attempt's.
        let same_request = previous.filter(|entry| entry.digest == digest);
        let attempt = same_request.map_or(attempt, |entry| entry.attempt);
        let entry = Entry {
            slot,
            digest,
            attempt,
            target,
            server: None,
            row_version: replaced_version,
            log_only: false,
            expires_at: None,
            state: RequestState::Queued(now),
            waiters: vec![waiter],
        };
        self.index.entries.insert(id.clone(), entry);
        self.evict_ids();
        self.start_deadlines.push_back((now + limits.wait_limit, id.clone()));
        // A delete that is still queued would delete the row of the new start.
        self.write_queue.retain(|write| *write.id() != id);
        let start = PendingWrite::Start { slot, id, attempt, replaced_version };
        self.write_queue.push_back(start);
    }

    /// Attaches a request to the run or the response of a known id.
    fn join(&mut self, waiter: WaiterId, id: &RequestId, digest: Digest, now: Instant) {
        let Some(entry) = self.index.entries.get(id) else { return };
        if entry.digest != digest {
            // An evicted id may have a row that shows that this body ran. The queued start
            // finds it.
            let undecided = matches!(entry.state, RequestState::Queued(_))
                && !self.is_index_authoritative(entry.slot, now);
            let refusal = if undecided { key_contended() } else { key_reused() };
            return self.reply(waiter, Reply::Refused(refusal));
        }
        self.add_waiter(waiter, id, now);
    }

    pub(super) fn lookup(
        &mut self,
        waiter: WaiterId,
        slot: SlotId,
        id: RequestId,
        now: Instant,
    ) {
        match self.index.entries.get(&id).map(|entry| &entry.state) {
            Some(
                RequestState::Queued(_)
                | RequestState::Running
                | RequestState::StoringResponse(..),
            ) => self.reply(waiter, Reply::Running),
            Some(
                RequestState::Done(..)
                | RequestState::Recovering
                | RequestState::InDoubt(_),
            ) => self.add_waiter(waiter, &id, now),
            // Only the row itself proves that an id was not started: this daemon may
            // have been suspended while another took over the slot.
            Some(RequestState::NotRun) | None => {
                self.effects.push_back(Effect::ReadState { waiter, slot, id })
            }
        }
    }

    /// Adds a waiter to a known id, and starts what is needed to get its response.
    pub(super) fn add_waiter(&mut self, waiter: WaiterId, id: &RequestId, now: Instant) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        entry.waiters.push(waiter);
        match &entry.state {
            RequestState::Done(summary, cached) => {
                let response = cached.clone().or_else(|| summary.inline_response());
                if let Some(response) = response {
                    return self.reply_to_waiters(id, &Reply::Response(response));
                }
                match &summary.body {
                    BodyLocation::Object(key) if entry.waiters.len() == 1 => {
                        let (id, key) = (id.clone(), key.clone());
                        self.effects.push_back(Effect::FetchBody { id, key });
                    }
                    BodyLocation::Object(_) => {}
                    BodyLocation::Inline(_) | BodyLocation::NotStored => {
                        self.reply_to_waiters(id, &Reply::Refused(response_unreadable()))
                    }
                }
            }
            RequestState::InDoubt(Some(last_recovery))
                if now < *last_recovery + RECOVERY_RETRY_INTERVAL =>
            {
                self.reply_to_waiters(id, &Reply::Refused(in_doubt()))
            }
            RequestState::InDoubt(_) => {
                entry.state = RequestState::Recovering;
                self.effects.push_back(Effect::RecoverResponse {
                    slot: entry.slot,
                    id: id.clone(),
                    attempt: entry.attempt,
                    target: entry.target.clone(),
                    server: entry.server.clone(),
                });
            }
            RequestState::Queued(_)
            | RequestState::Running
            | RequestState::StoringResponse(..)
            | RequestState::Recovering
            | RequestState::NotRun => {}
        }
    }
}
