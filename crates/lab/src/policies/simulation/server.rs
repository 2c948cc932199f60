//! Simulates leads and their engines.

use chestnut_admit::{AdmissionController, AttemptEnd, Effect, Job, Rejection, Ticket};
use chestnut_route::retry::MAX_REJECTED_OFFERS;

use super::super::engine::StepOutput;
use super::{Event, RequestState, Simulation, limits};

impl Simulation<'_> {
    /// Handles an offer at a lead.
    pub(super) fn offer(&mut self, index: usize, attempt: u32, server: usize) {
        if !self.is_current(index, attempt) {
            return;
        }
        if self.servers[server].is_down {
            return self.schedule_after(
                self.spec.lead_latency,
                Event::Failed(index, attempt, server),
            );
        }
        let request = self.request(index);
        let (caller, team) = self.names[request.caller].clone();
        let received_tokens = self.progress[index].received_tokens;
        let job = Job {
            caller,
            team,
            share: 1,
            urgency: request.urgency,
            deadline: self.start + request.deadline - self.spec.caller_latency,
            prompt_tokens: request.prompt_tokens + received_tokens,
            max_output_tokens: request.max_output_tokens - received_tokens,
            resumable: true,
            resumed: received_tokens > 0,
        };
        let now = self.instant();
        let ticket = self.servers[server].lead.offer(job, now);
        self.servers[server].tickets.insert(ticket, index);
        self.progress[index].state = RequestState::AtLead(server, ticket);
        self.apply_effects(server);
    }

    /// Applies the pending decisions of a lead.
    pub(super) fn apply_effects(&mut self, server: usize) {
        for effect in self.servers[server].lead.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => self.dispatch(server, ticket),
                Effect::Refuse(ticket, rejection) => {
                    self.refuse(server, ticket, rejection)
                }
                Effect::Preempt(ticket) => self.preempt(server, ticket),
            }
        }
    }

    fn dispatch(&mut self, server: usize, ticket: Ticket) {
        let index = self.servers[server].tickets[&ticket];
        let received_tokens = self.progress[index].received_tokens;
        let request = &self.traffic.requests[index];
        self.servers[server].engine.start(index, request, received_tokens);
        self.start_step(server);
    }

    fn refuse(&mut self, server: usize, ticket: Ticket, rejection: Rejection) {
        let Some(index) = self.servers[server].tickets.swap_remove(&ticket) else {
            return;
        };
        self.progress[index].state = RequestState::InTransit;
        let retry_after_ms = rejection.retry_after.map(|delay| delay.as_millis() as u64);
        if !rejection.reason.may_retry_elsewhere() {
            // Uses up the offers, so that the entry tries no other server.
            self.progress[index].tried.resize(MAX_REJECTED_OFFERS, server);
        }
        let attempt = self.progress[index].attempt;
        self.schedule_after(
            self.spec.lead_latency,
            Event::Refused(index, attempt, server, retry_after_ms),
        );
    }

    /// Cancels a preempted stream; the entry selects a server for the rest.
    fn preempt(&mut self, server: usize, ticket: Ticket) {
        let now = self.instant();
        let Some(index) = self.servers[server].tickets.swap_remove(&ticket) else {
            return;
        };
        self.cancel_stream(server, index);
        self.servers[server].lead.finish(ticket, AttemptEnd::Cancelled, now);
        self.results[index].preemptions += 1;
        self.end_attempt(index);
        let progress = &mut self.progress[index];
        progress.state = RequestState::InTransit;
        progress.attempt += 1;
        progress.tried.clear();
        let attempt = progress.attempt;
        self.schedule_after(self.spec.lead_latency, Event::SelectServer(index, attempt));
        self.apply_effects(server);
    }

    fn start_step(&mut self, server: usize) {
        let (factor, now) = (self.step_time_factor(server), self.now);
        let state = &mut self.servers[server];
        if state.engine.is_stepping || state.engine.streams.is_empty() {
            return;
        }
        state.engine.is_stepping = true;
        let incarnation = state.incarnation;
        let time = state.engine.step_time(self.spec) * factor;
        self.schedule_at(now + time, Event::Step(server, incarnation));
    }

    pub(super) fn complete_step(&mut self, server: usize, incarnation: u32) {
        if self.servers[server].incarnation != incarnation {
            return;
        }
        self.servers[server].engine.is_stepping = false;
        for output in self.servers[server].engine.step(&self.traffic.requests) {
            self.apply_output(server, output);
        }
        self.apply_effects(server);
        self.start_step(server);
    }

    fn apply_output(&mut self, server: usize, output: StepOutput) {
        let now = self.instant();
        let (index, count) = match output {
            StepOutput::FirstToken(index) => (index, 1),
            StepOutput::Tokens(index, count) | StepOutput::Finished(index, count) => {
                (index, count)
            }
        };
        let RequestState::AtLead(_, ticket) = self.progress[index].state else { return };
        let lead = &mut self.servers[server].lead;
        if count > 0 {
            lead.record_tokens(ticket, count, now);
        }
        match output {
            StepOutput::FirstToken(_) => {
                let first = self.now + self.spec.lead_latency + self.spec.caller_latency;
                self.results[index].first_token_at.get_or_insert(first);
            }
            StepOutput::Tokens(..) => {}
            StepOutput::Finished(..) => {
                lead.finish(ticket, AttemptEnd::Completed, now);
                self.servers[server].tickets.swap_remove(&ticket);
                let actual = u64::from(self.request(index).output_tokens);
                self.results[index].tokens +=
                    actual - u64::from(self.progress[index].received_tokens);
                self.progress[index].state = RequestState::InTransit;
                let attempt = self.progress[index].attempt;
                self.schedule_after(
                    self.spec.lead_latency,
                    Event::Completed(index, attempt, server),
                );
            }
        }
    }

    pub(super) fn crash(&mut self, server: usize) {
        let limits = limits(self.spec);
        let lead =
            AdmissionController::new(limits, self.config.admission, self.instant());
        let state = &mut self.servers[server];
        state.is_down = true;
        state.incarnation += 1;
        state.lead = lead;
        state.engine.is_stepping = false;
        for stream in state.engine.reset() {
            self.save_tokens(stream.request, stream.generated);
        }
        for (_, index) in std::mem::take(&mut self.servers[server].tickets) {
            self.progress[index].state = RequestState::InTransit;
            let attempt = self.progress[index].attempt;
            self.schedule_after(
                self.spec.lead_latency,
                Event::Failed(index, attempt, server),
            );
        }
    }

    pub(super) fn recover(&mut self, server: usize) {
        self.servers[server].is_down = false;
        self.servers[server].listed = true;
    }

    /// Cancels a stream; its tokens so far are kept.
    pub(super) fn cancel_stream(&mut self, server: usize, index: usize) {
        if let Some(received_tokens) = self.servers[server].engine.cancel(index) {
            self.save_tokens(index, received_tokens);
        }
    }

    /// Records the tokens that a stream had generated when it ended early.
    fn save_tokens(&mut self, index: usize, received_tokens: u32) {
        let progress = &mut self.progress[index];
        self.results[index].tokens +=
            u64::from(received_tokens - progress.received_tokens);
        progress.received_tokens = received_tokens;
    }

    fn step_time_factor(&self, server: usize) -> u32 {
        let faults = self.traffic.faults.iter();
        faults
            .filter(|fault| {
                fault.server == server && fault.start <= self.now && self.now < fault.end
            })
            .find_map(|fault| fault.slowdown)
            .unwrap_or(1)
    }
}
