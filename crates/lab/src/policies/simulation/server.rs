//! A server with its lead: what waits there, runs, and breaks off.

use chestnut_admit::{AdmissionController, AttemptEnd, Effect, Job, Rejection, Ticket};
use chestnut_route::retry::MAX_REJECTED_OFFERS;

use super::super::engine::StepOutput;
use super::{Event, Place, Simulation, limits};

impl Simulation<'_> {
    pub(super) fn offer(&mut self, index: usize, attempt: u32, server: usize) {
        if !self.is_live(index, attempt) {
            return;
        }
        if self.servers[server].dead {
            return self
                .after(self.spec.lead_latency, Event::Failed(index, attempt, server));
        }
        let request = self.request(index);
        let (caller, team) = self.names[request.caller].clone();
        let got = self.tracks[index].got;
        let job = Job {
            caller,
            team,
            share: 1,
            urgency: request.urgency,
            deadline: self.start + request.deadline - self.spec.caller_latency,
            prompt_tokens: request.prompt_tokens + got,
            max_output_tokens: request.max_output_tokens - got,
            resumable: true,
            resumed: got > 0,
        };
        let now = self.instant();
        let ticket = self.servers[server].lead.offer(job, now);
        self.servers[server].tickets.insert(ticket, index);
        self.tracks[index].place = Place::Led(server, ticket);
        self.carry_out(server);
    }

    /// Carries out what a lead has decided.
    pub(super) fn carry_out(&mut self, server: usize) {
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
        let got = self.tracks[index].got;
        let request = &self.traffic.requests[index];
        self.servers[server].engine.start(index, request, got);
        self.start_step(server);
    }

    fn refuse(&mut self, server: usize, ticket: Ticket, rejection: Rejection) {
        let Some(index) = self.servers[server].tickets.swap_remove(&ticket) else {
            return;
        };
        self.tracks[index].place = Place::Away;
        let retry = rejection.retry_after.map(|retry| retry.as_millis() as u64);
        if !rejection.reason.may_retry_elsewhere() {
            self.tracks[index].tried.resize(MAX_REJECTED_OFFERS, server);
        }
        let attempt = self.tracks[index].attempt;
        self.after(self.spec.lead_latency, Event::Refused(index, attempt, server, retry));
    }

    /// Cancels a stream; its entry offers the rest again.
    fn preempt(&mut self, server: usize, ticket: Ticket) {
        let now = self.instant();
        let Some(index) = self.servers[server].tickets.swap_remove(&ticket) else {
            return;
        };
        self.stop(server, index);
        self.servers[server].lead.finish(ticket, AttemptEnd::Cancelled, now);
        self.results[index].preemptions += 1;
        self.uncount(index);
        let track = &mut self.tracks[index];
        track.place = Place::Away;
        track.attempt += 1;
        track.tried.clear();
        let attempt = track.attempt;
        self.after(self.spec.lead_latency, Event::Try(index, attempt));
        self.carry_out(server);
    }

    fn start_step(&mut self, server: usize) {
        let (factor, now) = (self.slowness(server), self.now);
        let server_ = &mut self.servers[server];
        if server_.engine.is_stepping || server_.engine.streams.is_empty() {
            return;
        }
        server_.engine.is_stepping = true;
        let life = server_.life;
        let time = server_.engine.step_time(self.spec) * factor;
        self.at(now + time, Event::Step(server, life));
    }

    pub(super) fn step(&mut self, server: usize, life: u32) {
        if self.servers[server].life != life {
            return;
        }
        self.servers[server].engine.is_stepping = false;
        for given in self.servers[server].engine.step(&self.traffic.requests) {
            self.given(server, given);
        }
        self.carry_out(server);
        self.start_step(server);
    }

    fn given(&mut self, server: usize, given: StepOutput) {
        let now = self.instant();
        let (index, count) = match given {
            StepOutput::FirstToken(index) => (index, 1),
            StepOutput::Tokens(index, count) | StepOutput::Finished(index, count) => {
                (index, count)
            }
        };
        let Place::Led(_, ticket) = self.tracks[index].place else { return };
        let lead = &mut self.servers[server].lead;
        if count > 0 {
            lead.record_tokens(ticket, count, now);
        }
        match given {
            StepOutput::FirstToken(_) => {
                let first = self.now + self.spec.lead_latency + self.spec.caller_latency;
                self.results[index].first_token_at.get_or_insert(first);
            }
            StepOutput::Tokens(..) => {}
            StepOutput::Finished(..) => {
                lead.finish(ticket, AttemptEnd::Completed, now);
                self.servers[server].tickets.swap_remove(&ticket);
                let actual = u64::from(self.request(index).output_tokens);
                self.results[index].tokens += actual - u64::from(self.tracks[index].got);
                self.tracks[index].place = Place::Away;
                let attempt = self.tracks[index].attempt;
                self.after(self.spec.lead_latency, Event::Whole(index, attempt, server));
            }
        }
    }

    pub(super) fn death(&mut self, server: usize) {
        let limits = limits(self.spec);
        let lead =
            AdmissionController::new(limits, self.config.admission, self.instant());
        let state = &mut self.servers[server];
        state.dead = true;
        state.life += 1;
        state.lead = lead;
        state.engine.is_stepping = false;
        for stream in state.engine.reset() {
            self.keep(stream.request, stream.generated);
        }
        for (_, index) in std::mem::take(&mut self.servers[server].tickets) {
            self.tracks[index].place = Place::Away;
            let attempt = self.tracks[index].attempt;
            self.after(self.spec.lead_latency, Event::Failed(index, attempt, server));
        }
    }

    pub(super) fn birth(&mut self, server: usize) {
        self.servers[server].dead = false;
        self.servers[server].listed = true;
    }

    /// Takes a stream off its engine; the caller keeps what it has.
    pub(super) fn stop(&mut self, server: usize, index: usize) {
        if let Some(got) = self.servers[server].engine.cancel(index) {
            self.keep(index, got);
        }
    }

    fn keep(&mut self, index: usize, got: u32) {
        let track = &mut self.tracks[index];
        self.results[index].tokens += u64::from(got - track.got);
        track.got = got;
    }

    fn slowness(&self, server: usize) -> u32 {
        let faults = self.traffic.faults.iter();
        faults
            .filter(|t| t.server == server && t.start <= self.now && self.now < t.end)
            .find_map(|fault| fault.slowdown)
            .unwrap_or(1)
    }
}
