//! Preemption and refusal of requests to keep the others in time.

use std::time::{Duration, Instant};

use chestnut_base::Urgency;

use super::{AdmissionController, RequestState, SLOW_STEP_FACTOR};
use crate::forecast::estimate_starts;
use crate::job::{Effect, RejectReason, Ticket};
use crate::limits::SheddingPolicy;
use crate::shedding::SheddingKey;

impl AdmissionController {
    /// Preempts and refuses requests until all that wait are expected to be in time.
    pub(super) fn resolve_lateness(&mut self, now: Instant) {
        if self.policy.shedding == SheddingPolicy::QueueFull {
            return;
        }
        // Terminates because each round preempts or refuses one request.
        while let Some((late, lateness)) = self.first_late(now) {
            if self.preempt_for(late, now) {
                continue;
            }
            let index = self.waiting.iter().position(|&ticket| ticket == late);
            let ahead = &self.waiting[..=index.expect("a late request waits")];
            let victim = self.select_victim(ahead).unwrap_or(late);
            let reason = match (victim == late, self.exceeds_share(victim)) {
                (_, true) => RejectReason::ShareExceeded,
                (true, _) => RejectReason::DeadlineMissed,
                (false, _) => RejectReason::Displaced,
            };
            self.refuse(victim, reason, Some(lateness), now);
        }
    }

    /// The first waiting request that is expected to be late, and by how much.
    fn first_late(&self, now: Instant) -> Option<(Ticket, Duration)> {
        if self.waiting.is_empty() {
            return None;
        }
        let order = self.forecast_order(now);
        let demands = order.iter().map(|&ticket| self.demand(ticket));
        let starts =
            estimate_starts(self.capacity(), now, self.reservations(now), demands);
        order.iter().zip(starts).find_map(|(&ticket, start)| {
            let request = &self.requests[ticket];
            if request.state != RequestState::Waiting || request.job.resumed {
                return None;
            }
            let run_time = self.remaining_time(request);
            // The margin applies to the newest request only, so that admitted ones are
            // not refused because the estimate fluctuates.
            let newest = request.queue_key.sequence == self.last_sequence;
            let margin = if newest {
                run_time.mul_f64(self.policy.deadline_margin)
            } else {
                Duration::ZERO
            };
            let end = start + run_time + margin;
            let lateness = end.saturating_duration_since(request.job.deadline);
            (!lateness.is_zero()).then_some((ticket, lateness))
        })
    }

    /// The requests that are still to be dispatched, in order: those that wait, and
    /// preempted ones, whose remainders will be offered again.
    pub(super) fn forecast_order(&self, now: Instant) -> Vec<Ticket> {
        let mut order = self.waiting.clone();
        let waiting_count = order.len();
        let stopping = |ticket: &&Ticket| {
            matches!(self.requests[**ticket].state, RequestState::Stopping(_))
        };
        order.extend(self.running.iter().filter(stopping));
        if order.len() > waiting_count {
            let (requests, queue_order) = (&self.requests, self.policy.queue_order);
            order.sort_by(|&a, &b| {
                requests[a].queue_key.compare(&requests[b].queue_key, queue_order, now)
            });
        }
        order
    }

    /// Preempts the slow stream with the most slack for a late urgent request.
    ///
    /// Returns false if there is none whose remainder can wait and still be in time.
    fn preempt_for(&mut self, late: Ticket, now: Instant) -> bool {
        let urgent = self.requests[late].job.urgency == Urgency::Urgent;
        if !self.policy.preemption
            || !urgent
            || self.running.len() < self.capacity().streams
        {
            return false;
        }
        let slack = |&ticket: &Ticket| {
            let request = &self.requests[ticket];
            let RequestState::Running(_) = request.state else { return None };
            let preemptible =
                request.job.urgency == Urgency::Slow && request.job.resumable;
            let slack = request
                .job
                .deadline
                .checked_duration_since(now + self.remaining_time(request))?;
            preemptible.then_some((slack, ticket))
        };
        let Some((slack, ticket)) = self.running.iter().filter_map(slack).max() else {
            return false;
        };
        if slack < self.estimate_wait(now) {
            return false;
        }
        let request = &mut self.requests[ticket];
        let RequestState::Running(progress) = request.state else { return false };
        request.state = RequestState::Stopping(progress);
        self.effects.push(Effect::Preempt(ticket));
        true
    }

    /// Preempts streams that would be late on a slow server and in time on another one.
    ///
    /// If a server becomes slow, requests already running on it miss their deadlines;
    /// later ones are refused or routed elsewhere anyway.
    pub(super) fn evacuate_slow_server(&mut self, now: Instant) {
        if !self.policy.preemption
            || self.step_time < self.limits.step_time * SLOW_STEP_FACTOR
        {
            return;
        }
        let step_time_elsewhere = self.limits.step_time * 3 / 2;
        for &ticket in &self.running {
            let request = &self.requests[ticket];
            let (job, RequestState::Running(progress)) = (&request.job, request.state)
            else {
                continue;
            };
            let end_here = progress.last_token_at + self.remaining_time(request);
            let remaining_tokens =
                job.max_output_tokens.saturating_sub(progress.generated);
            let end_elsewhere = now
                + step_time_elsewhere * remaining_tokens
                + self.latency.prefill_time(job.prompt_tokens + progress.generated);
            if job.resumable && end_here > job.deadline && end_elsewhere <= job.deadline {
                self.effects.push(Effect::Preempt(ticket));
                self.requests[ticket].state = RequestState::Stopping(progress);
            }
        }
    }

    /// The request to refuse first; of equal ones the newest.
    ///
    /// Resumed requests are never selected.
    pub(super) fn select_victim(&self, tickets: &[Ticket]) -> Option<Ticket> {
        let below_floor = self.usage.slow_fraction() < self.policy.slow_floor;
        tickets
            .iter()
            .filter(|&&ticket| !self.requests[ticket].job.resumed)
            .map(|&ticket| {
                (
                    self.shedding_key(ticket, below_floor),
                    self.requests[ticket].queue_key.sequence,
                    ticket,
                )
            })
            .max_by(|a, b| match self.policy.shedding {
                SheddingPolicy::Costliest => a.0.compare(&b.0).then(a.1.cmp(&b.1)),
                SheddingPolicy::QueueFull | SheddingPolicy::Newest => a.1.cmp(&b.1),
            })
            .map(|(_, _, ticket)| ticket)
    }

    fn shedding_key(&self, ticket: Ticket, below_floor: bool) -> SheddingKey {
        let job = &self.requests[ticket].job;
        let share_ratio = if self.policy.fair_share {
            self.usage.share_ratio(&job.caller, &job.team)
        } else {
            0.0
        };
        let below_floor = below_floor && job.urgency == Urgency::Slow;
        SheddingKey {
            urgency: job.urgency,
            share_ratio,
            cost: self.cost(ticket),
            below_floor,
        }
    }

    pub(super) fn exceeds_share(&self, ticket: Ticket) -> bool {
        self.shedding_key(ticket, false).exceeds_share()
    }
}
