//! Plays a run in virtual time.
//!
//! Entries, leads and engines are those of the daemon or stand in for them at the
//! interface; what takes time is an event. Callers who are told when to come back
//! do so; those who are not come back soon and again, until their time is up.
//!
//! - [`entry`]: the entry's and the caller's side of a request,
//! - [`server`]: what waits at a lead and runs at its engine.

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

/// Requests that wait at one lead or one engine.
const QUEUE: usize = 256;

/// How often leads are ticked.
const TICK: Duration = Duration::from_millis(100);

/// How long a dead server stays among the candidates.
const LAG: Duration = Duration::from_secs(2);

/// How long a caller keeps an entry.
const KEEP: Duration = Duration::from_secs(2);

/// The longest time after which a caller comes back that was not told when.
const UNTOLD: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The caller sends its request.
    Send(usize),
    /// The entry tries, or tries again.
    Try(usize, u32),
    /// The offer is at the lead.
    Offer(usize, u32, usize),
    /// The lead's refusal is at the entry; milliseconds to come back, if told.
    Refused(usize, u32, usize, Option<u64>),
    /// The attempt has failed; whether the server itself did.
    Failed(usize, u32, usize),
    /// The whole answer is at the entry.
    Whole(usize, u32, usize),
    /// A step of an engine ends.
    Step(usize, u32),
    /// A server dies or comes back.
    Death(usize),
    Birth(usize),
    /// The caller's time is up.
    Late(usize),
    Tick,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// With the caller or on its way.
    Away,
    /// At a lead.
    Led(usize, Ticket),
    Over,
}

/// The entry's and the caller's side of a request.
#[derive(Debug, Clone)]
struct Track {
    place: Place,
    /// The number of the attempt; events of earlier ones are stale.
    attempt: u32,
    entry: usize,
    /// Where the present attempt is counted in flight.
    counted: Option<ServerKey>,
    tried: Vec<usize>,
    /// When the caller last sent it.
    sent: Duration,
    got: u32,
    retry: Option<Duration>,
    backoff: Backoff,
}

/// A server with its lead.
struct Server {
    lead: AdmissionController,
    engine: Engine,
    /// The requests of the lead's tickets.
    tickets: IndexMap<Ticket, usize>,
    dead: bool,
    /// Whether entries still take it for alive, or no longer for dead.
    listed: bool,
    /// The number of its lives; events of earlier ones are stale.
    life: u32,
}

struct Entry {
    router: Router,
    keys: Vec<ServerKey>,
    budget: RetryBudget,
}

/// Plays a run in virtual time.
pub struct Simulation<'a> {
    spec: &'a DeploymentSpec,
    traffic: &'a Traffic,
    config: PolicyConfig,
    names: Vec<(CallerName, TeamName)>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    tracks: Vec<Track>,
    results: Vec<RequestResult>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    now: Duration,
    start: Instant,
    open: usize,
    rng: SmallRng,
}

impl<'a> Simulation<'a> {
    /// Prepares a run.
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
            dead: false,
            listed: true,
            life: 0,
        };
        let entry = |index| {
            let mut router = Router::new(config.routing, seed * 64 + index as u64);
            let keys = (0..spec.servers)
                .map(|s| router.server_key(&name("server", s)))
                .collect();
            Entry { router, keys, budget: RetryBudget::new() }
        };
        let track = Track {
            place: Place::Away,
            attempt: 0,
            entry: 0,
            counted: None,
            tried: Vec::new(),
            sent: Duration::ZERO,
            got: 0,
            retry: None,
            backoff: Backoff::default(),
        };
        let count = traffic.requests.len();
        Self {
            spec,
            traffic,
            config,
            names: (0..spec.callers)
                .map(|c| (name("caller", c), name("team", c / 4)))
                .collect(),
            servers: (0..spec.servers).map(server).collect(),
            entries: (0..spec.entries).map(entry).collect(),
            tracks: vec![track; count],
            results: vec![RequestResult::default(); count],
            events: BinaryHeap::new(),
            number: 0,
            now: Duration::ZERO,
            start,
            open: count,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Plays the run and tells what became of each request.
    pub fn run(mut self) -> Vec<RequestResult> {
        for (index, request) in self.traffic.requests.iter().enumerate() {
            self.at(request.arrival, Event::Send(index));
            self.at(request.deadline, Event::Late(index));
        }
        for fault in &self.traffic.faults {
            if fault.slowdown.is_none() {
                self.at(fault.start, Event::Death(fault.server));
                self.at(fault.end, Event::Birth(fault.server));
            }
        }
        self.at(TICK, Event::Tick);
        while self.open > 0 {
            let Some(Reverse((time, _, event))) = self.events.pop() else { break };
            self.now = time;
            self.handle(event);
        }
        self.results
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(index) => self.send(index),
            Event::Try(index, attempt) if self.is_live(index, attempt) => {
                self.try_at(index)
            }
            Event::Offer(index, attempt, server) => self.offer(index, attempt, server),
            Event::Refused(index, attempt, server, retry)
                if self.is_live(index, attempt) =>
            {
                self.refused(index, server, retry);
            }
            Event::Failed(index, attempt, server) if self.is_live(index, attempt) => {
                self.failed(index, server);
            }
            Event::Whole(index, attempt, server) if self.is_live(index, attempt) => {
                self.whole(index, server);
            }
            Event::Step(server, life) => self.step(server, life),
            Event::Death(server) => self.death(server),
            Event::Birth(server) => self.birth(server),
            Event::Late(index) => self.late(index),
            Event::Tick => self.tick(),
            Event::Try(..)
            | Event::Refused(..)
            | Event::Failed(..)
            | Event::Whole(..) => {}
        }
    }

    /// The caller's time is up.
    fn late(&mut self, index: usize) {
        match self.tracks[index].place {
            Place::Over => return,
            Place::Away => {}
            Place::Led(server, ticket) => {
                let now = self.instant();
                let before = self.results[index].tokens;
                self.stop(server, index);
                self.results[index].timed_out_running =
                    self.results[index].tokens > before;
                let state = &mut self.servers[server];
                state.tickets.swap_remove(&ticket);
                state.lead.finish(ticket, AttemptEnd::Cancelled, now);
                self.carry_out(server);
            }
        }
        self.uncount(index);
        self.close(index);
    }

    fn tick(&mut self) {
        let now = self.instant();
        for server in 0..self.servers.len() {
            self.servers[server].lead.tick(now);
            self.carry_out(server);
        }
        for fault in &self.traffic.faults {
            let dead = fault.slowdown.is_none();
            if dead && self.now > fault.start + LAG && self.now < fault.end {
                self.servers[fault.server].listed = false;
            }
        }
        self.after(TICK, Event::Tick);
    }

    fn close(&mut self, index: usize) {
        self.tracks[index].place = Place::Over;
        self.open -= 1;
    }

    fn is_live(&self, index: usize, attempt: u32) -> bool {
        let track = &self.tracks[index];
        track.place != Place::Over && track.attempt == attempt
    }

    fn request(&self, index: usize) -> &'a Request {
        &self.traffic.requests[index]
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.at(self.now + pause, event);
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }
}

/// What each lead and its engine can take.
fn limits(spec: &DeploymentSpec) -> Limits {
    Limits {
        max_streams: spec.max_streams as u32,
        max_cache_tokens: spec.kv_tokens,
        max_queued: QUEUE,
        step_time: spec.step_time(spec.max_streams / 2),
    }
}

/// Chained hashes of a request's shared start, as the entry sees them.
fn prefix(request: &Request) -> Vec<u64> {
    let start = (request.model as u64) << 48 | request.prefix_id << 16;
    (0..request.prefix_blocks).map(|block| start | u64::from(block)).collect()
}

fn name<T: TryFrom<String>>(what: &str, number: usize) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(format!("{what}-{number}")).expect("the name is well formed")
}
