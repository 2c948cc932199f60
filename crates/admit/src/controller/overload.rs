//! Makes room at a lead: preempts, moves and refuses.

use std::time::{Duration, Instant};

use chestnut_base::Urgency;

use super::{AdmissionController, SLOW, State};
use crate::forecast::starts;
use crate::job::{Effect, RejectReason, Ticket};
use crate::limits::Shed;
use crate::shedding::Price;

impl AdmissionController {
    /// Preempts and refuses until all that wait are foreseen to be in time.
    pub(super) fn make_room(&mut self, now: Instant) {
        if self.rule.shed == Shed::Full {
            return;
        }
        // Each round preempts or refuses one request, so that it ends.
        while let Some((late, by)) = self.first_late(now) {
            if self.preempt_for(late, now) {
                continue;
            }
            let index = self.waiting.iter().position(|&ticket| ticket == late);
            let ahead = &self.waiting[..=index.expect("a late request waits")];
            let victim = self.dearest(ahead).unwrap_or(late);
            let reason = match (victim == late, self.is_hot(victim)) {
                (_, true) => RejectReason::Share,
                (true, _) => RejectReason::Late,
                (false, _) => RejectReason::Displaced,
            };
            self.refuse(victim, reason, Some(by), now);
        }
    }

    /// The first waiting request that is foreseen to be late, and by how much.
    fn first_late(&self, now: Instant) -> Option<(Ticket, Duration)> {
        if self.waiting.is_empty() {
            return None;
        }
        let order = self.schedule(now);
        let items = order.iter().map(|&ticket| self.item(ticket));
        let begins = starts(self.room(), now, self.held(now), items);
        order.iter().zip(begins).find_map(|(&ticket, start)| {
            let entry = &self.jobs[ticket];
            if entry.state != State::Waiting || entry.job.resumed {
                return None;
            }
            let run = self.run(entry);
            // The margin is asked of newcomers only: those who were let in are
            // not refused because the estimate swings a little.
            let fresh = entry.place.number == self.number;
            let margin =
                if fresh { run.mul_f64(self.rule.margin) } else { Duration::ZERO };
            let end = start + run + margin;
            let late = end.saturating_duration_since(entry.job.deadline);
            (!late.is_zero()).then_some((ticket, late))
        })
    }

    /// Waiting requests and the rests of those that are being preempted.
    pub(super) fn schedule(&self, now: Instant) -> Vec<Ticket> {
        let mut order = self.waiting.clone();
        let before = order.len();
        let stopping =
            |ticket: &&Ticket| matches!(self.jobs[**ticket].state, State::Stopping(_));
        order.extend(self.running.iter().filter(stopping));
        if order.len() > before {
            let (jobs, by) = (&self.jobs, self.rule.order);
            order.sort_by(|&a, &b| jobs[a].place.compare(&jobs[b].place, by, now));
        }
        order
    }

    /// Preempts a slow stream if that lets an urgent request be in time and the
    /// slow one still ends in time.
    fn preempt_for(&mut self, late: Ticket, now: Instant) -> bool {
        let urgent = self.jobs[late].job.urgency == Urgency::Urgent;
        if !self.rule.preempt || !urgent || self.running.len() < self.room().streams {
            return false;
        }
        let slack = |&ticket: &Ticket| {
            let entry = &self.jobs[ticket];
            let State::Running(_) = entry.state else { return None };
            let slow = entry.job.urgency == Urgency::Slow && entry.job.resumable;
            let left =
                entry.job.deadline.checked_duration_since(now + self.run(entry))?;
            slow.then_some((left, ticket))
        };
        let Some((left, ticket)) = self.running.iter().filter_map(slack).max() else {
            return false;
        };
        if left < self.wait(now) {
            return false;
        }
        let entry = &mut self.jobs[ticket];
        let State::Running(progress) = entry.state else { return false };
        entry.state = State::Stopping(progress);
        self.effects.push(Effect::Preempt(ticket));
        true
    }

    /// Sends streams away that a slow server would make late and another would not.
    ///
    /// A server that turns slow takes what already runs there beyond its deadline;
    /// what comes later is refused or goes elsewhere by itself.
    pub(super) fn rescue(&mut self, now: Instant) {
        if !self.rule.preempt || self.step < self.limits.step_time * SLOW {
            return;
        }
        let step = self.limits.step_time * 3 / 2;
        for &ticket in &self.running {
            let entry = &self.jobs[ticket];
            let (job, State::Running(at)) = (&entry.job, entry.state) else { continue };
            let here = at.last + self.run(entry);
            let left = job.max_output_tokens.saturating_sub(at.got);
            let there = now + step * left + self.pace.prefill(job.prompt_tokens + at.got);
            if job.resumable && here > job.deadline && there <= job.deadline {
                self.effects.push(Effect::Preempt(ticket));
                self.jobs[ticket].state = State::Stopping(at);
            }
        }
    }

    /// The request that is dearest to keep; of equal ones the newest.
    pub(super) fn dearest(&self, tickets: &[Ticket]) -> Option<Ticket> {
        let owed = self.usage.slow_part() < self.rule.floor;
        tickets
            .iter()
            .filter(|&&ticket| !self.jobs[ticket].job.resumed)
            .map(|&ticket| {
                (self.price(ticket, owed), self.jobs[ticket].place.number, ticket)
            })
            .max_by(|a, b| match self.rule.shed {
                Shed::Costliest => a.0.compare(&b.0).then(a.1.cmp(&b.1)),
                Shed::Full | Shed::Newest => a.1.cmp(&b.1),
            })
            .map(|(_, _, ticket)| ticket)
    }

    fn price(&self, ticket: Ticket, owed: bool) -> Price {
        let job = &self.jobs[ticket].job;
        let excess =
            if self.rule.fair { self.usage.excess(&job.caller, &job.team) } else { 0.0 };
        let owed = owed && job.urgency == Urgency::Slow;
        Price { urgency: job.urgency, excess, cost: self.cost(ticket), owed }
    }

    pub(super) fn is_hot(&self, ticket: Ticket) -> bool {
        self.price(ticket, false).is_hot()
    }
}
