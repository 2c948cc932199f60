//! Simulates callers and entries.

use std::time::Duration;

use chestnut_route::retry::MAX_REJECTED_OFFERS;
use chestnut_route::{Candidate, Feedback, LoadReport, RouteRequest, RoutingPolicy};
use rand::RngExt;

use super::{
    ENTRY_AFFINITY, Event, MAX_DEFAULT_BACKOFF, RequestState, Simulation, prefix_hashes,
};

impl Simulation<'_> {
    /// Sends the request to the entry that its caller uses at this time.
    pub(super) fn send(&mut self, index: usize) {
        if self.progress[index].state == RequestState::Ended {
            return;
        }
        let request = self.request(index);
        let period = self.now.as_millis() / ENTRY_AFFINITY.as_millis();
        let entry = (request.caller + period as usize) % self.entries.len();
        let sent_at = self.now;
        let progress = &mut self.progress[index];
        progress.entry = entry;
        progress.sent_at = sent_at;
        progress.tried.clear();
        progress.retry_after = None;
        progress.attempt += 1;
        let attempt = progress.attempt;
        self.entries[entry].budget.deposit();
        self.schedule_after(
            self.spec.caller_latency,
            Event::SelectServer(index, attempt),
        );
    }

    /// The entry selects a server and offers the request to its lead.
    pub(super) fn select_server(&mut self, index: usize) {
        let request = self.request(index);
        let attempts = self.progress[index].tried.len();
        let candidates = if attempts < MAX_REJECTED_OFFERS {
            self.candidates(index)
        } else {
            Vec::new()
        };
        let prefix = prefix_hashes(request);
        let route_request = RouteRequest {
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.max_output_tokens,
            prefix_blocks: &prefix,
        };
        let now = self.instant();
        let entry = &mut self.entries[self.progress[index].entry];
        let Some(key) = entry.router.choose(&candidates, route_request, now) else {
            return self.report_refusal(index);
        };
        entry.router.begin_attempt(key, &prefix);
        let server = entry.keys.iter().position(|&other| other == key);
        let server = server.expect("the router chooses among its candidates");
        let progress = &mut self.progress[index];
        progress.in_flight_at = Some(key);
        progress.tried.push(server);
        let attempt = progress.attempt;
        self.schedule_after(self.spec.lead_latency, Event::Offer(index, attempt, server));
    }

    fn candidates(&self, index: usize) -> Vec<Candidate> {
        let (request, progress) = (self.request(index), &self.progress[index]);
        (0..self.servers.len())
            .filter(|&server| self.spec.hosts_model(server, request.model))
            .filter(|&server| self.servers[server].listed)
            .filter(|server| !progress.tried.contains(server))
            .map(|server| Candidate {
                server: self.entries[progress.entry].keys[server],
                extra_latency: Duration::ZERO,
                streams: self.spec.max_streams as u32,
                step_time: self.spec.step_time(self.spec.max_streams / 2),
            })
            .collect()
    }

    /// Handles a refusal: the entry tries another server.
    pub(super) fn refused(
        &mut self,
        index: usize,
        server: usize,
        retry_after_ms: Option<u64>,
    ) {
        self.end_attempt(index);
        self.record_load(index, server);
        let retry_after = retry_after_ms.map(Duration::from_millis);
        let progress = &mut self.progress[index];
        progress.retry_after = match (progress.retry_after, retry_after) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.select_server(index);
    }

    /// Handles a failed attempt: the entry retries while its budget allows.
    pub(super) fn failed(&mut self, index: usize, server: usize) {
        let (now, entry) = (self.instant(), self.progress[index].entry);
        let key = self.entries[entry].keys[server];
        self.entries[entry].router.record(key, Feedback::Failed, now);
        self.end_attempt(index);
        if !self.entries[entry].budget.try_withdraw() {
            return self.report_refusal(index);
        }
        let progress = &mut self.progress[index];
        progress.attempt += 1;
        let (attempt, delay) =
            (progress.attempt, progress.backoff.next_delay(&mut self.rng));
        self.schedule_after(delay, Event::SelectServer(index, attempt));
    }

    /// Handles a complete response.
    pub(super) fn completed(&mut self, index: usize, server: usize) {
        let (now, entry) = (self.instant(), self.progress[index].entry);
        let key = self.entries[entry].keys[server];
        self.entries[entry].router.record(key, Feedback::Responded, now);
        self.record_load(index, server);
        self.end_attempt(index);
        self.results[index].completed_at = Some(self.now + self.spec.caller_latency);
        self.end_request(index);
    }

    /// Records the load that the lead reports with each response.
    fn record_load(&mut self, index: usize, server: usize) {
        if self.config.routing != RoutingPolicy::Estimate {
            return;
        }
        let (now, entry) = (self.instant(), self.progress[index].entry);
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

    /// Reports a refusal to the caller, which sends the request again after a delay.
    fn report_refusal(&mut self, index: usize) {
        let progress = &mut self.progress[index];
        progress.state = RequestState::InTransit;
        progress.attempt += 1;
        let result = &mut self.results[index];
        result.refusals += 1;
        result.refusal_wait += self.now + self.spec.caller_latency - progress.sent_at;
        let delay = match progress.retry_after {
            // Jitter spreads the callers, so that they don't retry at the same time.
            Some(retry) => retry.mul_f64(self.rng.random_range(1.0..1.2)),
            None => MAX_DEFAULT_BACKOFF.mul_f64(self.rng.random_range(0.2..1.0)),
        };
        self.schedule_after(self.spec.caller_latency + delay, Event::Send(index));
    }

    /// Ends the current attempt in the router, if one is in flight.
    pub(super) fn end_attempt(&mut self, index: usize) {
        let progress = &mut self.progress[index];
        if let Some(key) = progress.in_flight_at.take() {
            self.entries[progress.entry].router.end_attempt(key);
        }
    }
}
