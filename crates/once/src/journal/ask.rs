//! Requests and questions that come to the journal.

use std::time::Instant;

use chestnut_base::{Digest, RequestId, SlotId};

use super::{Journal, Link, Phase, SEEK_PAUSE};
use crate::batch::Write;
use crate::event::{Effect, Event, Reply};
use crate::index::{Entry, State, WaiterId};
use crate::record::BodyLocation;
use crate::refuse::{in_doubt, moved, reused, unkept};

impl Journal {
    pub(super) fn ask(&mut self, event: Event, now: Instant) {
        let Event::Submit { waiter: ticket, slot, ref id, digest, attempt, ref target } =
            event
        else {
            return;
        };
        if let Some(entry) = self.index.entries.get(id)
            && !matches!(entry.state, State::Void)
        {
            let id = id.clone();
            return self.join(ticket, &id, digest, now);
        }
        let limits = self.limits;
        match self.slots.get_mut(&slot).map(|slot| &mut slot.phase) {
            Some(Phase::Open) => {}
            Some(Phase::Loading(waiting)) if waiting.len() < limits.max_queued => {
                waiting.push((now + limits.wait_limit, event));
                return;
            }
            Some(Phase::Loading(_) | Phase::Failed(_)) => {
                let refusal = self.down(slot, now);
                return self.reply(ticket, Reply::Refused(refusal));
            }
            Some(Phase::Lost) | None => {
                return self.reply(ticket, Reply::Refused(moved()));
            }
        }
        let full = self.queue.len() >= limits.max_queued;
        let down = matches!(self.link, Link::Down { until, .. } if now < until);
        if full || down && !self.has_log(slot, now) {
            let refusal = self.down(slot, now);
            return self.reply(ticket, Reply::Refused(refusal));
        }
        let (id, target) = (id.clone(), target.clone());
        let old = self.index.entries.get(&id);
        let over = old.and_then(|entry| entry.version);
        // The earlier attempt was not handed on, so its number is free. With the
        // same number, a row that it may have left is recognised as this one's.
        let again = old.filter(|entry| entry.digest == digest);
        let attempt = again.map_or(attempt, |entry| entry.attempt);
        let entry = Entry {
            slot,
            digest,
            attempt,
            target,
            server: None,
            version: over,
            unsaved: false,
            end: None,
            state: State::Pending(now),
            askers: vec![ticket],
        };
        self.index.entries.insert(id.clone(), entry);
        self.trim();
        self.pending.push_back((now + limits.wait_limit, id.clone()));
        // A removal that still waits would remove the row of the new start.
        self.queue.retain(|write| *write.id() != id);
        self.queue.push_back(Write::Start { slot, id, over });
    }

    /// Lets a request share the run or the answer of an id that is known.
    fn join(&mut self, ticket: WaiterId, id: &RequestId, digest: Digest, now: Instant) {
        let Some(entry) = self.index.entries.get(id) else { return };
        if entry.digest != digest {
            return self.reply(ticket, Reply::Refused(reused()));
        }
        self.wait(ticket, id, now);
    }

    pub(super) fn lookup(
        &mut self,
        ticket: WaiterId,
        slot: SlotId,
        id: RequestId,
        now: Instant,
    ) {
        match self.index.entries.get(&id).map(|entry| &entry.state) {
            Some(State::Pending(_) | State::Running | State::Ending(..)) => {
                self.reply(ticket, Reply::Running)
            }
            Some(State::Done(..) | State::Seeking | State::Doubt(_)) => {
                self.wait(ticket, &id, now)
            }
            // Only the row itself proves that an id was not started: this daemon
            // may have been paused while another took the slot over.
            Some(State::Void) | None => {
                self.effects.push_back(Effect::ReadState { waiter: ticket, slot, id })
            }
        }
    }

    /// Lets an asker wait for the end of a known id, and sees to it that it comes.
    pub(super) fn wait(&mut self, asker: WaiterId, id: &RequestId, now: Instant) {
        let Some(entry) = self.index.entries.get_mut(id) else { return };
        entry.askers.push(asker);
        match &entry.state {
            State::Done(summary, held) => {
                let known = held.clone().or_else(|| summary.inline_response());
                if let Some(answer) = known {
                    return self.tell(id, &Reply::Response(answer));
                }
                match &summary.body {
                    BodyLocation::Object(key) if entry.askers.len() == 1 => {
                        let (id, key) = (id.clone(), key.clone());
                        self.effects.push_back(Effect::FetchBody { id, key });
                    }
                    BodyLocation::Object(_) => {}
                    BodyLocation::Inline(_) | BodyLocation::NotStored => {
                        self.tell(id, &Reply::Refused(unkept()))
                    }
                }
            }
            State::Doubt(Some(last)) if now < *last + SEEK_PAUSE => {
                self.tell(id, &Reply::Refused(in_doubt()))
            }
            State::Doubt(_) => {
                entry.state = State::Seeking;
                self.effects.push_back(Effect::RecoverResponse {
                    slot: entry.slot,
                    id: id.clone(),
                    attempt: entry.attempt,
                    target: entry.target.clone(),
                    server: entry.server.clone(),
                });
            }
            State::Pending(_)
            | State::Running
            | State::Ending(..)
            | State::Seeking
            | State::Void => {}
        }
    }
}
