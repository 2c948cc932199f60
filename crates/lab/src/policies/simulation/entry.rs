//! The entry's and the caller's side of a request.

use std::time::Duration;

use chestnut_route::retry::MAX_REJECTED_OFFERS;
use chestnut_route::{Candidate, Feedback, LoadReport, RouteRequest, RoutingPolicy};
use rand::RngExt;

use super::{Event, KEEP, Place, Simulation, UNTOLD, prefix};

impl Simulation<'_> {
    /// The caller sends its request to the entry that it keeps for now.
    pub(super) fn send(&mut self, index: usize) {
        if self.tracks[index].place == Place::Over {
            return;
        }
        let request = self.request(index);
        let kept = self.now.as_millis() / KEEP.as_millis();
        let entry = (request.caller + kept as usize) % self.entries.len();
        let sent = self.now;
        let track = &mut self.tracks[index];
        track.entry = entry;
        track.sent = sent;
        track.tried.clear();
        track.retry = None;
        track.attempt += 1;
        let attempt = track.attempt;
        self.entries[entry].budget.deposit();
        self.after(self.spec.caller_latency, Event::Try(index, attempt));
    }

    /// The entry picks a server and sends the request to its lead.
    pub(super) fn try_at(&mut self, index: usize) {
        let request = self.request(index);
        let tries = self.tracks[index].tried.len();
        let candidates =
            if tries < MAX_REJECTED_OFFERS { self.candidates(index) } else { Vec::new() };
        let prefix = prefix(request);
        let ask = RouteRequest {
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.max_output_tokens,
            prefix_blocks: &prefix,
        };
        let now = self.instant();
        let entry = &mut self.entries[self.tracks[index].entry];
        let Some(key) = entry.router.choose(&candidates, ask, now) else {
            return self.tell(index);
        };
        entry.router.begin_attempt(key, &prefix);
        let server = entry.keys.iter().position(|&other| other == key);
        let server = server.expect("the router chooses among its candidates");
        let track = &mut self.tracks[index];
        track.counted = Some(key);
        track.tried.push(server);
        let attempt = track.attempt;
        self.after(self.spec.lead_latency, Event::Offer(index, attempt, server));
    }

    fn candidates(&self, index: usize) -> Vec<Candidate> {
        let (request, track) = (self.request(index), &self.tracks[index]);
        (0..self.servers.len())
            .filter(|&server| self.spec.hosts_model(server, request.model))
            .filter(|&server| self.servers[server].listed)
            .filter(|server| !track.tried.contains(server))
            .map(|server| Candidate {
                server: self.entries[track.entry].keys[server],
                extra_latency: Duration::ZERO,
                streams: self.spec.max_streams as u32,
                step_time: self.spec.step_time(self.spec.max_streams / 2),
            })
            .collect()
    }

    /// The entry hears a refusal and tries elsewhere.
    pub(super) fn refused(&mut self, index: usize, server: usize, retry: Option<u64>) {
        self.uncount(index);
        self.report(index, server);
        let retry = retry.map(Duration::from_millis);
        let track = &mut self.tracks[index];
        track.retry = match (track.retry, retry) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.try_at(index);
    }

    /// The entry hears that a server failed and retries within its budget.
    pub(super) fn failed(&mut self, index: usize, server: usize) {
        let (now, entry) = (self.instant(), self.tracks[index].entry);
        let key = self.entries[entry].keys[server];
        self.entries[entry].router.record(key, Feedback::Failed, now);
        self.uncount(index);
        if !self.entries[entry].budget.try_withdraw() {
            return self.tell(index);
        }
        let track = &mut self.tracks[index];
        track.attempt += 1;
        let (attempt, pause) = (track.attempt, track.backoff.next_delay(&mut self.rng));
        self.after(pause, Event::Try(index, attempt));
    }

    pub(super) fn whole(&mut self, index: usize, server: usize) {
        let (now, entry) = (self.instant(), self.tracks[index].entry);
        let key = self.entries[entry].keys[server];
        self.entries[entry].router.record(key, Feedback::Responded, now);
        self.report(index, server);
        self.uncount(index);
        self.results[index].completed_at = Some(self.now + self.spec.caller_latency);
        self.close(index);
    }

    /// Takes the lead's load, which came with its answer.
    fn report(&mut self, index: usize, server: usize) {
        if self.config.routing != RoutingPolicy::Estimate {
            return;
        }
        let (now, entry) = (self.instant(), self.tracks[index].entry);
        let load = self.servers[server].lead.snapshot(now);
        let report = LoadReport {
            running: load.running,
            queued: load.queued,
            estimated_wait: load.estimated_wait,
            step_time: load.step_time,
        };
        let entry = &mut self.entries[entry];
        entry.router.record(entry.keys[server], Feedback::Load(report), now);
    }

    /// Tells the caller that its request was refused; it comes back.
    fn tell(&mut self, index: usize) {
        let track = &mut self.tracks[index];
        track.place = Place::Away;
        track.attempt += 1;
        let result = &mut self.results[index];
        result.refusals += 1;
        result.refusal_wait += self.now + self.spec.caller_latency - track.sent;
        let pause = match track.retry {
            // Callers spread a little, so that they don't come back together.
            Some(retry) => retry.mul_f64(self.rng.random_range(1.0..1.2)),
            None => UNTOLD.mul_f64(self.rng.random_range(0.2..1.0)),
        };
        self.after(self.spec.caller_latency + pause, Event::Send(index));
    }

    /// Ends the count in flight of the present attempt, if it is counted.
    pub(super) fn uncount(&mut self, index: usize) {
        let track = &mut self.tracks[index];
        if let Some(key) = track.counted.take() {
            self.entries[track.entry].router.end_attempt(key);
        }
    }
}
