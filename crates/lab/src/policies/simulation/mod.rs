//! Discrete-event simulation of a run in virtual time.
//!
//! Routers, retry budgets and admission controllers are those of the daemon; engines and
//! callers are simulated. Whatever takes time is an event. A refused caller retries after
//! the retry delay that it received, or after a short random delay if it received none,
//! until the deadline of its request.
//!
//! - [`entry`]: callers and entries,
//! - [`server`]: leads and their engines.

mod entry;
mod server;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use chestnut_admit::{AdmissionController, AttemptEnd, Limits, Ticket};
use chestnut_base::{CallerName, TeamName};
use chestnut_route::{Backoff, RetryBudget, Router, ServerKey};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::PolicyConfig;
use super::engine::Engine;
use super::results::RequestResult;
use super::scenario::DeploymentSpec;
use super::traffic::{Request, Traffic};

/// Queue limit of each lead.
const MAX_QUEUED: usize = 256;

/// Interval between ticks of the leads.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a crash during which entries still route to the server.
const DETECTION_DELAY: Duration = Duration::from_secs(2);

/// Time for which a caller uses the same entry.
const ENTRY_AFFINITY: Duration = Duration::from_secs(2);

/// Longest retry delay of a caller that received none.
const MAX_DEFAULT_BACKOFF: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The caller sends its request to an entry.
    Send(usize),
    /// The entry selects a server: request, attempt.
    SelectServer(usize, u32),
    /// The offer reaches the lead: request, attempt, server.
    Offer(usize, u32, usize),
    /// The lead's refusal reaches the entry: request, attempt, server, and the retry delay in
    /// milliseconds, if there is one.
    Refused(usize, u32, usize, Option<u64>),
    /// The entry learns that the attempt failed: request, attempt, server.
    Failed(usize, u32, usize),
    /// The complete response reaches the entry: request, attempt, server.
    Completed(usize, u32, usize),
    /// An engine completes a step: server, incarnation.
    Step(usize, u32),
    /// A server crashes.
    Crash(usize),
    /// A crashed server restarts.
    Recovery(usize),
    /// The deadline of a request passes.
    Deadline(usize),
    Tick,
}

/// Where a request is at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// With the caller, or on the way between caller, entry and lead.
    InTransit,
    /// Queued at a lead or running at its engine.
    AtLead(usize, Ticket),
    /// Completed or past its deadline.
    Ended,
}

/// State of a request at its caller and its entry.
#[derive(Debug, Clone)]
struct RequestProgress {
    state: RequestState,
    /// Number of the current attempt; events of earlier attempts are ignored.
    attempt: u32,
    entry: usize,
    /// Server at which the router counts the current attempt as in flight.
    in_flight_at: Option<ServerKey>,
    /// Servers tried so far; cleared when the request is sent again or preempted.
    tried: Vec<usize>,
    /// When the caller last sent it.
    sent_at: Duration,
    /// Output tokens that the caller has received, over all attempts.
    received_tokens: u32,
    /// Shortest retry delay that leads gave since the request was sent.
    retry_after: Option<Duration>,
    backoff: Backoff,
}

/// A server with its lead; the lead crashes with it.
struct Server {
    lead: AdmissionController,
    engine: Engine,
    /// Request of each ticket of the lead.
    tickets: IndexMap<Ticket, usize>,
    is_down: bool,
    /// Whether entries regard it as a candidate.
    listed: bool,
    /// Number of crashes so far; events of earlier incarnations are ignored.
    incarnation: u32,
}

struct Entry {
    router: Router,
    /// The router's key of each server.
    keys: Vec<ServerKey>,
    budget: RetryBudget,
}

/// A simulated run.
pub struct Simulation<'a> {
    spec: &'a DeploymentSpec,
    traffic: &'a Traffic,
    config: PolicyConfig,
    /// Caller and team, by the index of the caller.
    names: Vec<(CallerName, TeamName)>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    progress: Vec<RequestProgress>,
    results: Vec<RequestResult>,
    /// Pending events with their times and sequence numbers, earliest first.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Sequence number of the last event, which orders events of the same time.
    event_sequence: u64,
    /// Virtual time since the start of the run.
    now: Duration,
    /// Origin of the instants that routers and leads receive.
    start: Instant,
    /// Requests that have not ended.
    open_requests: usize,
    rng: SmallRng,
}

impl<'a> Simulation<'a> {
    /// Creates a run in which no event has happened; the seed drives retry delays and routing.
    pub fn new(
        spec: &'a DeploymentSpec,
        traffic: &'a Traffic,
        config: PolicyConfig,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let limits = limits(spec);
        let server = |_| Server {
            lead: AdmissionController::new(limits, config.admission, start),
            engine: Engine::default(),
            tickets: IndexMap::new(),
            is_down: false,
            listed: true,
            incarnation: 0,
        };
        let entry = |index| {
            let mut router = Router::new(config.routing, seed * 64 + index as u64);
            let keys = (0..spec.servers)
                .map(|s| router.server_key(&numbered_name("server", s)))
                .collect();
            Entry { router, keys, budget: RetryBudget::new() }
        };
        let progress = RequestProgress {
            state: RequestState::InTransit,
            attempt: 0,
            entry: 0,
            in_flight_at: None,
            tried: Vec::new(),
            sent_at: Duration::ZERO,
            received_tokens: 0,
            retry_after: None,
            backoff: Backoff::default(),
        };
        let count = traffic.requests.len();
        Self {
            spec,
            traffic,
            config,
            names: (0..spec.callers)
                .map(|c| (numbered_name("caller", c), numbered_name("team", c / 4)))
                .collect(),
            servers: (0..spec.servers).map(server).collect(),
            entries: (0..spec.entries).map(entry).collect(),
            progress: vec![progress; count],
            results: vec![RequestResult::default(); count],
            events: BinaryHeap::new(),
            event_sequence: 0,
            now: Duration::ZERO,
            start,
            open_requests: count,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Runs until all requests have ended; returns their results in the order of the traffic.
    pub fn run(mut self) -> Vec<RequestResult> {
        for (index, request) in self.traffic.requests.iter().enumerate() {
            self.schedule_at(request.arrival, Event::Send(index));
            self.schedule_at(request.deadline, Event::Deadline(index));
        }
        for fault in &self.traffic.faults {
            if fault.slowdown.is_none() {
                self.schedule_at(fault.start, Event::Crash(fault.server));
                self.schedule_at(fault.end, Event::Recovery(fault.server));
            }
        }
        self.schedule_at(TICK_INTERVAL, Event::Tick);
        while self.open_requests > 0 {
            let Some(Reverse((time, _, event))) = self.events.pop() else { break };
            self.now = time;
            self.handle(event);
        }
        self.results
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(index) => self.send(index),
            Event::SelectServer(index, attempt) if self.is_current(index, attempt) => {
                self.select_server(index)
            }
            Event::Offer(index, attempt, server) => self.offer(index, attempt, server),
            Event::Refused(index, attempt, server, retry_after_ms)
                if self.is_current(index, attempt) =>
            {
                self.refused(index, server, retry_after_ms);
            }
            Event::Failed(index, attempt, server) if self.is_current(index, attempt) => {
                self.failed(index, server);
            }
            Event::Completed(index, attempt, server)
                if self.is_current(index, attempt) =>
            {
                self.completed(index, server);
            }
            Event::Step(server, incarnation) => self.complete_step(server, incarnation),
            Event::Crash(server) => self.crash(server),
            Event::Recovery(server) => self.recover(server),
            Event::Deadline(index) => self.expire(index),
            Event::Tick => self.tick(),
            Event::SelectServer(..)
            | Event::Refused(..)
            | Event::Failed(..)
            | Event::Completed(..) => {}
        }
    }

    /// Ends a request whose deadline has passed.
    fn expire(&mut self, index: usize) {
        match self.progress[index].state {
            RequestState::Ended => return,
            RequestState::InTransit => {}
            RequestState::AtLead(server, ticket) => {
                let now = self.instant();
                let before = self.results[index].tokens;
                self.cancel_stream(server, index);
                self.results[index].timed_out_running =
                    self.results[index].tokens > before;
                let state = &mut self.servers[server];
                state.tickets.swap_remove(&ticket);
                state.lead.finish(ticket, AttemptEnd::Cancelled, now);
                self.apply_effects(server);
            }
        }
        self.end_attempt(index);
        self.end_request(index);
    }

    fn tick(&mut self) {
        let now = self.instant();
        for server in 0..self.servers.len() {
            self.servers[server].lead.tick(now);
            self.apply_effects(server);
        }
        // Entries stop routing to a crashed server once they have detected the crash.
        for fault in &self.traffic.faults {
            let is_crash = fault.slowdown.is_none();
            if is_crash
                && self.now > fault.start + DETECTION_DELAY
                && self.now < fault.end
            {
                self.servers[fault.server].listed = false;
            }
        }
        self.schedule_after(TICK_INTERVAL, Event::Tick);
    }

    fn end_request(&mut self, index: usize) {
        self.progress[index].state = RequestState::Ended;
        self.open_requests -= 1;
    }

    fn is_current(&self, index: usize, attempt: u32) -> bool {
        let progress = &self.progress[index];
        progress.state != RequestState::Ended && progress.attempt == attempt
    }

    fn request(&self, index: usize) -> &'a Request {
        &self.traffic.requests[index]
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, time: Duration, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((time, self.event_sequence, event)));
    }
}

/// Admission limits of each lead.
fn limits(spec: &DeploymentSpec) -> Limits {
    Limits {
        max_streams: spec.max_streams as u32,
        max_cache_tokens: spec.kv_tokens,
        max_queued: MAX_QUEUED,
        step_time: spec.step_time(spec.max_streams / 2),
    }
}

/// Block hashes of a request's shared prefix.
fn prefix_hashes(request: &Request) -> Vec<u64> {
    let base = (request.model as u64) << 48 | request.prefix_id << 16;
    (0..request.prefix_blocks).map(|block| base | u64::from(block)).collect()
}

fn numbered_name<T: TryFrom<String>>(prefix: &str, number: usize) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(format!("{prefix}-{number}")).expect("the name is well formed")
}
