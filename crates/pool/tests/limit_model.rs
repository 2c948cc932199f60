//! Requests of many daemons to one server that announces a limit, changes it and ends it.
//!
//! Each daemon learns the limit from the responses that it relays, and tells the daemon that
//! decides on all requests to the server. Reports and decisions are delayed and lost, and
//! that daemon changes: it hands over, dies, or stops responding for a while.
//! `LIMIT_SEEDS=FROM..TO` plays other seeds, `LIMIT_STATS=1` prints how much the server got.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, ServerName};
use chestnut_edge::RequestRate;
use chestnut_pool::{LimitSighting, RequestPacer, ServerLimits, request_pacer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The simulated time, in seconds.
const LENGTH_S: f64 = 30.0;

/// How long daemons may take to learn of a limit, in seconds.
const CONTACT_S: f64 = 3.0;

/// The time in which requests are counted, in seconds.
const WINDOW_S: f64 = 4.0;

/// The factor on the limit, and the requests beyond it, that a window may have.
const MAX_OVERSHOOT: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;

/// How long before an arrival its daemon has to have relayed a limit to be bound by it.
const RELAY_S: f64 = 0.5;

/// The share of datagrams that are lost.
const LOSS: f64 = 0.02;

/// When the holder tells all daemons of a changed limit, after it has learned of it.
const BROADCASTS_S: [f64; 2] = [0.0, 0.1];

/// How often a daemon tells the holder of a limit that has not changed, in seconds.
const REPEAT_S: f64 = 1.0;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller's request arrives at a daemon.
    Request(usize),
    /// A daemon's question, or a repetition, arrives at the holder.
    Ask { daemon: usize, holder: usize, attempts: u32 },
    /// A request arrives at the server.
    Arrive { daemon: usize, sent_us: u64 },
    /// A response arrives at a daemon.
    Respond { daemon: usize, sent_us: u64, limit: Option<RequestRate> },
    /// A report arrives at another daemon.
    Report { to: usize, sighting: LimitSighting },
    /// The server names this limit from now on.
    SetLimit(Option<RequestRate>),
    /// Another daemon decides from now on; the former one forgets everything if it died.
    ChangeHolder { died: bool },
    /// The holder stops or goes on responding.
    SetSilent(bool),
}

#[derive(Default)]
struct Daemon {
    limits: ServerLimits,
    pacer: Option<RequestPacer>,
    /// When it last told the holder of a limit, and which daemon that was.
    told: Option<(usize, f64)>,
    /// When it first relayed a response that named a limit.
    relayed_s: Option<f64>,
    /// When it last restarted, which excuses it for [`CONTACT_S`].
    restarted_s: Option<f64>,
}

struct World {
    rng: SmallRng,
    start: Instant,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    daemons: Vec<Daemon>,
    holder: usize,
    is_silent: bool,
    limit: Option<RequestRate>,
    /// The limits and since when they hold.
    named: Vec<(f64, Option<RequestRate>)>,
    /// Arrivals of requests from daemons that are bound by the limit.
    arrivals: Vec<f64>,
}

fn server() -> Incarnation {
    let server = ServerName::try_from("s1").expect("a valid name");
    Incarnation { server, started_at: Some(1) }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemons = rng.random_range(2..12);
        Self {
            rng,
            start: Instant::now(),
            now_us: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            holder: 0,
            is_silent: false,
            limit: None,
            named: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn now_s(&self) -> f64 {
        self.now_us as f64 / 1e6
    }

    fn at(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.events.push(event);
        let at = self.now_us + (seconds * 1e6) as u64;
        self.queue.push(Reverse((at, self.events.len() - 1)));
    }

    fn delay_s(&mut self) -> f64 {
        match self.rng.random_bool(0.03) {
            true => self.rng.random_range(0.005..0.1),
            false => self.rng.random_range(0.0003..0.004),
        }
    }

    /// Sends a datagram, which may be lost.
    fn send(&mut self, event: Event) {
        let delay = self.delay_s();
        if !self.rng.random_bool(LOSS) {
            self.after(delay, event);
        }
    }

    fn plan(&mut self) {
        let gap = 1.0 / self.rng.random_range(4.0..30.0);
        let mut at = 0.0;
        while at < LENGTH_S {
            at += -self.rng.random_range(f64::EPSILON..1.0).ln() * gap;
            let daemon = self.rng.random_range(0..self.daemons.len());
            self.after(at, Event::Request(daemon));
        }
        let mut at = 2.0;
        while at < LENGTH_S {
            let rate = RequestRate::try_from(self.rng.random_range(0.3..6.0)).ok();
            self.after(at, Event::SetLimit(rate));
            at += self.rng.random_range(8.0..16.0);
            if self.rng.random_bool(0.4) {
                self.after(at, Event::SetLimit(None));
                at += 3.0;
            }
        }
        let mut at = 1.0;
        while at < LENGTH_S {
            at += self.rng.random_range(1.5..8.0);
            match self.rng.random_range(0..3) {
                0 => self.after(at, Event::ChangeHolder { died: false }),
                1 => {
                    // Without an answer of the dead one until another takes over.
                    self.after(at, Event::SetSilent(true));
                    self.after(at + 2.0, Event::ChangeHolder { died: true });
                }
                _ => {
                    let length = self.rng.random_range(0.1..2.0);
                    self.after(at, Event::SetSilent(true));
                    self.after(at + length, Event::SetSilent(false));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.at(self.now_us);
        match event {
            Event::Request(daemon) => self.ask(daemon, 0),
            Event::Ask { daemon, holder, attempts } => {
                self.decide(daemon, holder, attempts)
            }
            Event::Arrive { daemon, sent_us } => {
                let now_s = self.now_s();
                let Daemon { relayed_s, restarted_s, .. } = self.daemons[daemon];
                let is_excused = restarted_s.is_some_and(|at| now_s < at + CONTACT_S);
                if !is_excused && relayed_s.is_some_and(|at| at + RELAY_S <= now_s) {
                    self.arrivals.push(now_s);
                }
                let (limit, delay) = (self.limit, self.delay_s());
                self.after(delay, Event::Respond { daemon, sent_us, limit });
            }
            Event::Respond { daemon, sent_us, limit } => {
                if limit.is_some() {
                    let now_s = self.now_s();
                    self.daemons[daemon].relayed_s.get_or_insert(now_s);
                }
                let sighting = match limit {
                    Some(rate) => LimitSighting::Named(rate, now),
                    None => LimitSighting::None(self.at(sent_us)),
                };
                let changed = self.daemons[daemon].limits.record(&server(), sighting);
                if changed || limit.is_some() {
                    self.tell(daemon, sighting, changed);
                }
                if changed && daemon == self.holder && !self.is_silent {
                    self.broadcast(sighting);
                }
            }
            Event::Report { to, sighting } => {
                let changed = self.daemons[to].limits.record(&server(), sighting);
                if changed && to == self.holder && !self.is_silent {
                    self.broadcast(sighting);
                }
            }
            Event::SetLimit(limit) => {
                self.limit = limit;
                let now_s = self.now_s();
                self.named.push((now_s, limit));
            }
            Event::ChangeHolder { died } => {
                let former = self.holder;
                self.holder = (former + 1) % self.daemons.len();
                self.is_silent = false;
                self.daemons[former].pacer = None;
                if died {
                    let restarted_s = Some(self.now_s());
                    self.daemons[former] = Daemon { restarted_s, ..Daemon::default() };
                }
                self.broadcast_known();
            }
            Event::SetSilent(is_silent) => {
                self.is_silent = is_silent;
                // A suspended daemon then receives what has arrived meanwhile.
                self.broadcast_known();
            }
        }
    }

    /// Asks the holder, and tells it first of a limit that it may not know.
    fn ask(&mut self, daemon: usize, attempts: u32) {
        let holder = self.holder;
        let limits = &self.daemons[daemon].limits;
        if let Some((rate, seen_at)) =
            limits.rate(&server()).zip(limits.seen_at(&server()))
        {
            self.tell(daemon, LimitSighting::Named(rate, seen_at), false);
        }
        if daemon == holder {
            return self.decide(daemon, holder, attempts);
        }
        self.send(Event::Ask { daemon, holder, attempts });
    }

    fn tell(&mut self, daemon: usize, sighting: LimitSighting, changed: bool) {
        let (holder, now_s) = (self.holder, self.now_s());
        let told = self.daemons[daemon].told;
        let is_recent =
            told.is_some_and(|(to, at)| to == holder && now_s < at + REPEAT_S);
        if daemon != holder && (changed || !is_recent) {
            self.daemons[daemon].told = Some((holder, now_s));
            self.send(Event::Report { to: holder, sighting });
        }
    }

    /// The holder tells all daemons of the limit that it knows, unless it is silent.
    fn broadcast_known(&mut self) {
        let limits = &self.daemons[self.holder].limits;
        let known = limits.rate(&server()).zip(limits.seen_at(&server()));
        if let Some((rate, seen_at)) = known.filter(|_| !self.is_silent) {
            self.broadcast(LimitSighting::Named(rate, seen_at));
        }
    }

    /// The holder tells all daemons of a changed limit, and repeats it.
    fn broadcast(&mut self, sighting: LimitSighting) {
        let holder = self.holder;
        for repeat in BROADCASTS_S {
            for to in (0..self.daemons.len()).filter(|to| *to != holder) {
                let delay = self.delay_s();
                if !self.rng.random_bool(LOSS) {
                    self.after(repeat + delay, Event::Report { to, sighting });
                }
            }
        }
    }

    /// The holder admits a request or has it wait; without an answer, the daemon sends it if
    /// its share of the limit allows that.
    fn decide(&mut self, daemon: usize, holder: usize, attempts: u32) {
        let now = self.at(self.now_us);
        if self.is_silent || holder != self.holder {
            let daemons = self.daemons.len();
            let phase = self.rng.random();
            let share = &mut self.daemons[daemon].limits;
            if share.try_send_share(&server(), daemons, phase, now).is_ok() {
                self.dispatch(daemon, 0.06);
            }
            return;
        }
        let limit = self.daemons[holder].limits.rate(&server());
        let pacer = &mut self.daemons[holder].pacer;
        request_pacer::update(pacer, limit, now);
        if pacer.as_ref().is_some_and(|pacer| !pacer.is_ready(now)) {
            // It waits in the queue, and then goes to another server.
            if attempts < 4 {
                self.after(0.1, Event::Ask { daemon, holder, attempts: attempts + 1 });
            }
            return;
        }
        if let Some(pacer) = pacer {
            pacer.record_sent(now);
        }
        let delay = if daemon == holder { 0.0 } else { self.delay_s() };
        self.dispatch(daemon, delay);
    }

    fn dispatch(&mut self, daemon: usize, after_s: f64) {
        let sent_us = self.now_us + (after_s * 1e6) as u64;
        let delay = self.delay_s();
        self.after(after_s + delay, Event::Arrive { daemon, sent_us });
    }
}

/// Plays a seed; returns the highest share of the bound that a window reached.
fn run(seed: u64) -> f64 {
    let mut world = World::new(seed);
    world.plan();
    while let Some(Reverse((at, index))) = world.queue.pop() {
        world.now_us = at;
        world.handle(world.events[index]);
    }
    let mut highest = 0.0f64;
    for (index, (since, limit)) in world.named.iter().enumerate() {
        let Some(rate) = limit else { continue };
        let until = world.named.get(index + 1).map_or(LENGTH_S, |(at, _)| *at);
        let from = since + CONTACT_S;
        let allowed = MAX_OVERSHOOT * rate.per_second() * WINDOW_S + EXTRA_REQUESTS;
        let bound: Vec<f64> = world
            .arrivals
            .iter()
            .copied()
            .filter(|at| (from..until).contains(at))
            .collect();
        for start in &bound {
            let window = *start..*start + WINDOW_S;
            let count = bound.iter().filter(|at| window.contains(at)).count();
            highest = highest.max(count as f64 / allowed);
        }
    }
    highest
}

/// Guards against a limit that is exceeded by the sum of all daemons, while reports are lost
/// and the daemon that decides changes.
#[test]
fn no_window_has_more_requests_than_allowed() {
    let seeds = match std::env::var("LIMIT_SEEDS") {
        Ok(text) => {
            let (from, to) = text.split_once("..").expect("LIMIT_SEEDS is FROM..TO");
            let number = |text: &str| text.parse::<u64>().expect("a number");
            number(from)..number(to)
        }
        Err(_) => 0..100,
    };
    let shares: Vec<(u64, f64)> = seeds.map(|seed| (seed, run(seed))).collect();
    if std::env::var("LIMIT_STATS").is_ok() {
        let mean =
            shares.iter().map(|(_, share)| share).sum::<f64>() / shares.len() as f64;
        let most = shares.iter().max_by(|a, b| a.1.total_cmp(&b.1));
        eprintln!("share of the bound: mean {mean:.3}, most {most:?}");
    }
    for (seed, share) in shares {
        assert!(share <= 1.0, "seed {seed}: {share:.2} of the bound");
    }
}
