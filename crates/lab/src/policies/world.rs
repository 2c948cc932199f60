//! Plays a run in virtual time.
//!
//! Entries, leads and engines are those of the daemon or stand in for them at the
//! interface; what takes time is an event. Callers who are told when to come back
//! do so; those who are not come back soon and again, until their time is up.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use chestnut_admit::{Effect, How, Job, Lead, Limits, Rejection, Ticket};
use chestnut_base::{CallerName, TeamName};
use chestnut_route::retry::TRIES;
use chestnut_route::{
    Ask, Backoff, Budget, Candidate, Note, Policy, Report, Router, ServerKey,
};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::Contender;
use super::engine::{Engine, Given};
use super::shape::Shape;
use super::tally::Fate;
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
    lead: Lead,
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
    budget: Budget,
}

/// Plays a run in virtual time.
pub struct World<'a> {
    shape: &'a Shape,
    traffic: &'a Traffic,
    contender: Contender,
    names: Vec<(CallerName, TeamName)>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    tracks: Vec<Track>,
    fates: Vec<Fate>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    now: Duration,
    start: Instant,
    open: usize,
    rng: SmallRng,
}

impl<'a> World<'a> {
    /// Prepares a run.
    pub fn new(
        shape: &'a Shape,
        traffic: &'a Traffic,
        contender: Contender,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let limits = Limits {
            streams: shape.streams as u32,
            tokens: shape.tokens,
            queue: QUEUE,
            step: shape.step(shape.streams / 2),
        };
        let server = |_| Server {
            lead: Lead::new(limits, contender.rule, start),
            engine: Engine::default(),
            tickets: IndexMap::new(),
            dead: false,
            listed: true,
            life: 0,
        };
        let entry = |index| {
            let mut router = Router::new(contender.policy, seed * 64 + index as u64);
            let keys =
                (0..shape.servers).map(|s| router.key(&name("server", s))).collect();
            Entry { router, keys, budget: Budget::new() }
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
            shape,
            traffic,
            contender,
            names: (0..shape.callers)
                .map(|c| (name("caller", c), name("team", c / 4)))
                .collect(),
            servers: (0..shape.servers).map(server).collect(),
            entries: (0..shape.entries).map(entry).collect(),
            tracks: vec![track; count],
            fates: vec![Fate::default(); count],
            events: BinaryHeap::new(),
            number: 0,
            now: Duration::ZERO,
            start,
            open: count,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Plays the run and tells what became of each request.
    pub fn play(mut self) -> Vec<Fate> {
        for (index, request) in self.traffic.requests.iter().enumerate() {
            self.at(request.at, Event::Send(index));
            self.at(request.deadline, Event::Late(index));
        }
        for trouble in &self.traffic.troubles {
            if trouble.factor.is_none() {
                self.at(trouble.from, Event::Death(trouble.server));
                self.at(trouble.to, Event::Birth(trouble.server));
            }
        }
        self.at(TICK, Event::Tick);
        while self.open > 0 {
            let Some(Reverse((time, _, event))) = self.events.pop() else { break };
            self.now = time;
            self.handle(event);
        }
        self.fates
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

    /// The caller sends its request to the entry that it keeps for now.
    fn send(&mut self, index: usize) {
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
        self.entries[entry].budget.earn();
        self.after(self.shape.near, Event::Try(index, attempt));
    }

    /// The entry picks a server and sends the request to its lead.
    fn try_at(&mut self, index: usize) {
        let request = self.request(index);
        let tries = self.tracks[index].tried.len();
        let candidates = if tries < TRIES { self.candidates(index) } else { Vec::new() };
        let prefix = prefix(request);
        let ask = Ask { prompt: request.prompt, output: request.output, prefix: &prefix };
        let now = self.instant();
        let entry = &mut self.entries[self.tracks[index].entry];
        let Some(key) = entry.router.choose(&candidates, ask, now) else {
            return self.tell(index);
        };
        entry.router.begin(key, &prefix);
        let server = entry.keys.iter().position(|&other| other == key);
        let server = server.expect("the router chooses among its candidates");
        let track = &mut self.tracks[index];
        track.counted = Some(key);
        track.tried.push(server);
        let attempt = track.attempt;
        self.after(self.shape.hop, Event::Offer(index, attempt, server));
    }

    fn candidates(&self, index: usize) -> Vec<Candidate> {
        let (request, track) = (self.request(index), &self.tracks[index]);
        (0..self.servers.len())
            .filter(|&server| self.shape.holds(server, request.model))
            .filter(|&server| self.servers[server].listed)
            .filter(|server| !track.tried.contains(server))
            .map(|server| Candidate {
                server: self.entries[track.entry].keys[server],
                far: Duration::ZERO,
                streams: self.shape.streams as u32,
                step: self.shape.step(self.shape.streams / 2),
            })
            .collect()
    }

    fn offer(&mut self, index: usize, attempt: u32, server: usize) {
        if !self.is_live(index, attempt) {
            return;
        }
        if self.servers[server].dead {
            return self.after(self.shape.hop, Event::Failed(index, attempt, server));
        }
        let request = self.request(index);
        let (caller, team) = self.names[request.caller].clone();
        let got = self.tracks[index].got;
        let job = Job {
            caller,
            team,
            share: 1,
            urgency: request.urgency,
            deadline: self.start + request.deadline - self.shape.near,
            prompt: request.prompt + got,
            output: request.output - got,
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
    fn carry_out(&mut self, server: usize) {
        for effect in self.servers[server].lead.effects() {
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
        self.servers[server].engine.add(index, request, got);
        self.start_step(server);
    }

    fn refuse(&mut self, server: usize, ticket: Ticket, rejection: Rejection) {
        let Some(index) = self.servers[server].tickets.swap_remove(&ticket) else {
            return;
        };
        self.tracks[index].place = Place::Away;
        let retry = rejection.retry.map(|retry| retry.as_millis() as u64);
        if !rejection.reason.elsewhere() {
            self.tracks[index].tried.resize(TRIES, server);
        }
        let attempt = self.tracks[index].attempt;
        self.after(self.shape.hop, Event::Refused(index, attempt, server, retry));
    }

    /// Cancels a stream; its entry offers the rest again.
    fn preempt(&mut self, server: usize, ticket: Ticket) {
        let now = self.instant();
        let Some(index) = self.servers[server].tickets.swap_remove(&ticket) else {
            return;
        };
        self.stop(server, index);
        self.servers[server].lead.finish(ticket, How::Cancelled, now);
        self.fates[index].preempted += 1;
        self.uncount(index);
        let track = &mut self.tracks[index];
        track.place = Place::Away;
        track.attempt += 1;
        track.tried.clear();
        let attempt = track.attempt;
        self.after(self.shape.hop, Event::Try(index, attempt));
        self.carry_out(server);
    }

    /// The entry hears a refusal and tries elsewhere.
    fn refused(&mut self, index: usize, server: usize, retry: Option<u64>) {
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
    fn failed(&mut self, index: usize, server: usize) {
        let (now, entry) = (self.instant(), self.tracks[index].entry);
        let key = self.entries[entry].keys[server];
        self.entries[entry].router.note(key, Note::Failed, now);
        self.uncount(index);
        if !self.entries[entry].budget.take() {
            return self.tell(index);
        }
        let track = &mut self.tracks[index];
        track.attempt += 1;
        let (attempt, pause) = (track.attempt, track.backoff.pause(&mut self.rng));
        self.after(pause, Event::Try(index, attempt));
    }

    fn whole(&mut self, index: usize, server: usize) {
        let (now, entry) = (self.instant(), self.tracks[index].entry);
        let key = self.entries[entry].keys[server];
        self.entries[entry].router.note(key, Note::Answered, now);
        self.report(index, server);
        self.uncount(index);
        self.fates[index].whole = Some(self.now + self.shape.near);
        self.close(index);
    }

    /// Takes the lead's load, which came with its answer.
    fn report(&mut self, index: usize, server: usize) {
        if self.contender.policy != Policy::Estimate {
            return;
        }
        let (now, entry) = (self.instant(), self.tracks[index].entry);
        let load = self.servers[server].lead.snapshot(now);
        let report = Report {
            running: load.running,
            queued: load.queued,
            wait: load.wait,
            step: load.step,
        };
        let entry = &mut self.entries[entry];
        entry.router.note(entry.keys[server], Note::Load(report), now);
    }

    /// Tells the caller that its request was refused; it comes back.
    fn tell(&mut self, index: usize) {
        let track = &mut self.tracks[index];
        track.place = Place::Away;
        track.attempt += 1;
        let fate = &mut self.fates[index];
        fate.refusals += 1;
        fate.told += self.now + self.shape.near - track.sent;
        let pause = match track.retry {
            // Callers spread a little, so that they don't come back together.
            Some(retry) => retry.mul_f64(self.rng.random_range(1.0..1.2)),
            None => UNTOLD.mul_f64(self.rng.random_range(0.2..1.0)),
        };
        self.after(self.shape.near + pause, Event::Send(index));
    }

    fn start_step(&mut self, server: usize) {
        let (factor, now) = (self.slowness(server), self.now);
        let server_ = &mut self.servers[server];
        if server_.engine.busy || server_.engine.streams.is_empty() {
            return;
        }
        server_.engine.busy = true;
        let life = server_.life;
        let time = server_.engine.step_time(self.shape) * factor;
        self.at(now + time, Event::Step(server, life));
    }

    fn step(&mut self, server: usize, life: u32) {
        if self.servers[server].life != life {
            return;
        }
        self.servers[server].engine.busy = false;
        for given in self.servers[server].engine.step(&self.traffic.requests) {
            self.given(server, given);
        }
        self.carry_out(server);
        self.start_step(server);
    }

    fn given(&mut self, server: usize, given: Given) {
        let now = self.instant();
        let (index, count) = match given {
            Given::First(index) => (index, 1),
            Given::More(index, count) | Given::Whole(index, count) => (index, count),
        };
        let Place::Led(_, ticket) = self.tracks[index].place else { return };
        let lead = &mut self.servers[server].lead;
        if count > 0 {
            lead.tokens(ticket, count, now);
        }
        match given {
            Given::First(_) => {
                let first = self.now + self.shape.hop + self.shape.near;
                self.fates[index].first.get_or_insert(first);
            }
            Given::More(..) => {}
            Given::Whole(..) => {
                lead.finish(ticket, How::Done, now);
                self.servers[server].tickets.swap_remove(&ticket);
                let actual = u64::from(self.request(index).actual);
                self.fates[index].tokens += actual - u64::from(self.tracks[index].got);
                self.tracks[index].place = Place::Away;
                let attempt = self.tracks[index].attempt;
                self.after(self.shape.hop, Event::Whole(index, attempt, server));
            }
        }
    }

    fn death(&mut self, server: usize) {
        let limits = Limits {
            streams: self.shape.streams as u32,
            tokens: self.shape.tokens,
            queue: QUEUE,
            step: self.shape.step(self.shape.streams / 2),
        };
        let lead = Lead::new(limits, self.contender.rule, self.instant());
        let state = &mut self.servers[server];
        state.dead = true;
        state.life += 1;
        state.lead = lead;
        state.engine.busy = false;
        for stream in state.engine.crash() {
            self.keep(stream.request, stream.got);
        }
        for (_, index) in std::mem::take(&mut self.servers[server].tickets) {
            self.tracks[index].place = Place::Away;
            let attempt = self.tracks[index].attempt;
            self.after(self.shape.hop, Event::Failed(index, attempt, server));
        }
    }

    fn birth(&mut self, server: usize) {
        self.servers[server].dead = false;
        self.servers[server].listed = true;
    }

    /// The caller's time is up.
    fn late(&mut self, index: usize) {
        match self.tracks[index].place {
            Place::Over => return,
            Place::Away => {}
            Place::Led(server, ticket) => {
                let now = self.instant();
                let before = self.fates[index].tokens;
                self.stop(server, index);
                self.fates[index].cut = self.fates[index].tokens > before;
                let state = &mut self.servers[server];
                state.tickets.swap_remove(&ticket);
                state.lead.finish(ticket, How::Cancelled, now);
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
        for trouble in &self.traffic.troubles {
            let dead = trouble.factor.is_none();
            if dead && self.now > trouble.from + LAG && self.now < trouble.to {
                self.servers[trouble.server].listed = false;
            }
        }
        self.after(TICK, Event::Tick);
    }

    /// Takes a stream off its engine; the caller keeps what it has.
    fn stop(&mut self, server: usize, index: usize) {
        if let Some(got) = self.servers[server].engine.cancel(index) {
            self.keep(index, got);
        }
    }

    fn keep(&mut self, index: usize, got: u32) {
        let track = &mut self.tracks[index];
        self.fates[index].tokens += u64::from(got - track.got);
        track.got = got;
    }

    fn close(&mut self, index: usize) {
        self.tracks[index].place = Place::Over;
        self.open -= 1;
    }

    /// Ends the count in flight of the present attempt, if it is counted.
    fn uncount(&mut self, index: usize) {
        let track = &mut self.tracks[index];
        if let Some(key) = track.counted.take() {
            self.entries[track.entry].router.end(key);
        }
    }

    fn is_live(&self, index: usize, attempt: u32) -> bool {
        let track = &self.tracks[index];
        track.place != Place::Over && track.attempt == attempt
    }

    fn slowness(&self, server: usize) -> u32 {
        let troubles = self.traffic.troubles.iter();
        troubles
            .filter(|t| t.server == server && t.from <= self.now && self.now < t.to)
            .find_map(|trouble| trouble.factor)
            .unwrap_or(1)
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

/// Chained hashes of a request's shared start, as the entry sees them.
fn prefix(request: &Request) -> Vec<u64> {
    let start = (request.model as u64) << 48 | request.prefix << 16;
    (0..request.blocks).map(|block| start | u64::from(block)).collect()
}

fn name<T: TryFrom<String>>(what: &str, number: usize) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(format!("{what}-{number}")).expect("the name is well formed")
}
