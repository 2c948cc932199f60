//! Which server of a plain service runs which request, and when.
//!
//! Load pattern: two or three servers with six places each, and requests of 30 ms that
//! come in clumps from many daemons. A daemon that goes by its own counts has one or none
//! in flight and picks at random; servers whose places are taken reject what others had
//! room for, and callers come back half a second later. With one queue for all servers a
//! request waits only while every place is taken, and goes to the first that is free.
//!
//! Refused is what would wait for longer than its caller does, at once and with the time
//! after which there is room. The places of a daemon that dies are free again when its
//! callers' time is over.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::choose::REMOTE_DOMAIN_COST_MS;
use crate::unreachable::UnreachableReports;

/// Names a request: the daemon that asks, and its number there.
pub type RequestKey = (MemberId, u64);

/// The time that a request takes, as long as none has ended.
const FIRST_TIME: Duration = Duration::from_millis(30);

/// How much of the mean time one request makes up.
const TIME_WEIGHT: f64 = 0.02;

/// How much of a server's share of failures one request makes up.
///
/// A server answers some sixty requests a second; ten of them tell a failing one.
const FAULT_WEIGHT: f64 = 0.1;

/// The time in which a share of failures halves where nothing is sent.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(2);

/// How much more often than the best server one may fail at no cost.
///
/// Where every seventh request fails by itself, shares of ten requests differ by as much.
const FAULT_SLACK: f64 = 0.2;

/// What it costs to send to a server that fails everything, in milliseconds.
const FAULT_COST: f64 = 400.0;

/// What it costs to wait for a place beside the wait itself, in milliseconds.
///
/// A free place in another failure domain is better than a wait.
const BUSY_COST: f64 = 2.0 * REMOTE_DOMAIN_COST_MS;

/// Requests that a server is sent beyond its places.
///
/// Between the end of one and the start of the next lie four ways between VMs and the
/// time of a busy daemon, a third of the time of a request; those that wait at the server
/// fill that gap. With one ahead a server of six places ran 152 requests a second, with
/// two or four 160, which is all that it can; with four fewer were refused where two servers
/// were almost enough.
const AHEAD: u32 = 4;

/// How many mean times before it would be late a request has to be sent.
///
/// Half of all take longer than the mean, and few more than twice that.
const START_TIMES: f64 = 2.0;

/// How long requests wait without a break before servers count as too few.
///
/// A clump is served within a tenth of a second. Where more is asked for than servers can
/// do, everybody would wait for as long as callers are patient, and nobody be on time;
/// those that would be late are refused then, when they come, and the others are not.
const CROWDED_TIME: Duration = Duration::from_millis(300);

/// How often the pause of a server that rejects doubles.
const DOUBLINGS: u32 = 3;

/// What a plain request needs.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlainRequest {
    /// How urgent it is; 0 goes first.
    pub urgency: u8,
    /// The time that is left to an answer that is on time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_time: Duration,
    /// How much longer its caller waits.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "patience")]
    pub wait_limit: Duration,
    /// The failure domain that it is sent from.
    pub domain: DomainName,
    /// Servers that did not serve it, or that its daemon can't reach.
    pub avoid: Vec<ServerName>,
}

/// What came of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The server answered.
    Answered,
    /// The server failed, broke off or was silent.
    Failed,
    /// The server did not take the request.
    Rejected,
    /// The server could not be connected to.
    Unreachable,
    /// The request was not sent, or its caller left.
    #[serde(rename = "Left")]
    Unused,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueDecision {
    /// It is to be sent to this server now.
    Grant(RequestKey, ServerName),
    /// It would wait for longer than its caller; there is room in this time.
    Full(RequestKey, Duration),
    /// No server takes requests.
    NoServer(RequestKey),
}

/// A server as the registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub name: ServerName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Its failure domain.
    pub domain: DomainName,
}

/// The queue of a plain service and the places at its servers.
#[derive(Debug)]
pub struct PermitQueue {
    servers: IndexMap<ServerName, Server>,
    waiting: Vec<Waiting>,
    taken: IndexMap<RequestKey, Taken>,
    /// No place is free by its caller's time before this.
    expiry: Option<Instant>,
    lost: UnreachableReports,
    /// Since when requests wait without a break.
    since: Option<Instant>,
    /// The mean time of a request, in milliseconds.
    time: f64,
}

#[derive(Debug)]
struct Server {
    listed: ListedServer,
    /// How many entries of `taken` name it.
    busy: u32,
    /// The share of requests that failed lately, as of `at`.
    faults: f64,
    at: Instant,
    /// Requests that it rejected in a row.
    rejected: u32,
    /// Until when it is left alone after it rejected one.
    full: Option<Instant>,
}

#[derive(Debug)]
struct Waiting {
    asker: RequestKey,
    want: PlainRequest,
    /// When an answer would be late.
    target: Instant,
    /// When its caller gives up.
    deadline: Instant,
    /// Whether it was not looked at yet.
    fresh: bool,
}

#[derive(Debug)]
struct Taken {
    server: ServerName,
    at: Instant,
    /// When its caller gives up.
    until: Instant,
}

impl Default for PermitQueue {
    fn default() -> Self {
        Self {
            servers: IndexMap::new(),
            waiting: Vec::new(),
            taken: IndexMap::new(),
            expiry: None,
            lost: UnreachableReports::default(),
            since: None,
            time: millis(FIRST_TIME),
        }
    }
}

impl PermitQueue {
    /// Takes in which servers take new requests.
    pub fn update_servers(&mut self, listed: Vec<ListedServer>, now: Instant) {
        self.servers.retain(|name, _| listed.iter().any(|one| one.name == *name));
        for one in listed {
            let here = |taken: &&Taken| taken.server == one.name;
            let new = || Server {
                listed: one.clone(),
                busy: self.taken.values().filter(here).count() as u32,
                faults: 0.0,
                at: now,
                rejected: 0,
                full: None,
            };
            let known = self.servers.entry(one.name.clone()).or_insert_with(new);
            known.listed = one;
        }
    }

    /// Takes in a request; one that has a place already is told the same again.
    pub fn push(&mut self, asker: RequestKey, want: PlainRequest, now: Instant) {
        let known = |waiting: &Waiting| waiting.asker == asker;
        if self.waiting.iter().any(known) || self.taken.contains_key(&asker) {
            return;
        }
        let (target, deadline) = (now + want.target_time, now + want.wait_limit);
        self.waiting.push(Waiting { asker, want, target, deadline, fresh: true });
    }

    /// The server at which a request has a place.
    pub fn permit(&self, asker: RequestKey) -> Option<&ServerName> {
        self.taken.get(&asker).map(|taken| &taken.server)
    }

    /// Takes in that a request needs its place no more, or does not wait any longer.
    pub fn release(&mut self, asker: RequestKey, outcome: PermitOutcome, now: Instant) {
        self.waiting.retain(|waiting| waiting.asker != asker);
        let Some(taken) = self.taken.swap_remove(&asker) else { return };
        let time = millis(now.saturating_duration_since(taken.at));
        let mean = self.time;
        if outcome == PermitOutcome::Unreachable {
            self.lost.record(asker.0, vec![taken.server.clone()], now);
        }
        let Some(server) = self.servers.get_mut(&taken.server) else { return };
        server.busy -= 1;
        match outcome {
            PermitOutcome::Answered => {
                self.time += (time - self.time) * TIME_WEIGHT;
                server.learn(0.0, now);
                server.rejected = 0;
            }
            PermitOutcome::Failed => server.learn(1.0, now),
            PermitOutcome::Rejected => server.reject(mean, now),
            PermitOutcome::Unreachable | PermitOutcome::Unused => {}
        }
    }

    /// Decides about the next request; nothing while all that wait have to.
    ///
    /// Called for each message of all daemons, so that what is done while every place is
    /// taken costs no more than a look at each request that waits.
    pub fn next_decision(&mut self, now: Instant) -> Option<QueueDecision> {
        self.expire(now);
        let on_time = Duration::from_secs_f64(self.time * START_TIMES / 1000.0);
        if let Some(index) = self.hopeless(on_time, now) {
            let asker = self.waiting.swap_remove(index).asker;
            return Some(QueueDecision::Full(asker, self.wait(0)));
        }
        if self.servers.is_empty() {
            return self
                .waiting
                .pop()
                .map(|waiting| QueueDecision::NoServer(waiting.asker));
        }
        if !self.servers.values().any(|server| self.is_free(server, now)) {
            return self.refuse_new(on_time, now);
        }
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|index| self.waiting[*index].rank(now, on_time));
        for (before, index) in order.into_iter().enumerate() {
            match self.best(&self.waiting[index].want, before, now) {
                None => {
                    let asker = self.waiting.swap_remove(index).asker;
                    return Some(QueueDecision::NoServer(asker));
                }
                Some((server, true)) => return Some(self.send(index, server, now)),
                Some((_, false)) => {}
            }
        }
        None
    }

    /// Frees places whose callers' time is over.
    fn expire(&mut self, now: Instant) {
        if self.expiry.is_none_or(|at| now < at) {
            return;
        }
        let Self { taken, servers, .. } = self;
        for (_, over) in taken.extract_if(.., |_, taken| now >= taken.until) {
            if let Some(server) = servers.get_mut(&over.server) {
                server.busy -= 1;
            }
        }
        self.expiry = self.taken.values().map(|taken| taken.until).min();
    }

    /// A request whose caller has given up, or that is late while others can be on time.
    fn hopeless(&mut self, on_time: Duration, now: Instant) -> Option<usize> {
        let crowded = self.is_crowded(now);
        let gone = |one: &Waiting| {
            now >= one.deadline || crowded && !one.fresh && one.is_late(now, on_time)
        };
        self.waiting.iter().position(gone)
    }

    /// Refuses a request that has just come and would wait for longer than its caller does,
    /// or for so long that it is late, where servers can't keep up.
    fn refuse_new(&mut self, on_time: Duration, now: Instant) -> Option<QueueDecision> {
        let crowded = self.is_crowded(now);
        for index in 0..self.waiting.len() {
            if !std::mem::replace(&mut self.waiting[index].fresh, false) {
                continue;
            }
            let rank = (self.waiting[index].rank(now, on_time), index);
            let all = self.waiting.iter().enumerate();
            let first = all.filter(|(at, one)| (one.rank(now, on_time), *at) < rank);
            let wait = self.wait(first.count());
            let one = &self.waiting[index];
            let late = crowded && one.is_late(now + wait, on_time);
            if late || now + wait > one.deadline {
                let asker = self.waiting.swap_remove(index).asker;
                return Some(QueueDecision::Full(asker, wait));
            }
        }
        None
    }

    /// Whether requests have waited for so long that the servers can't keep up.
    fn is_crowded(&mut self, now: Instant) -> bool {
        if self.waiting.is_empty() {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_duration_since(since) >= CROWDED_TIME
    }

    /// When to look again, if nothing happens before.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let deadlines = self.waiting.iter().map(|waiting| waiting.deadline);
        let pauses = self.servers.values().filter_map(|server| server.full);
        let times = deadlines.chain(self.expiry).chain(pauses).filter(|at| *at > now);
        if self.waiting.is_empty() { None } else { times.min() }
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn send(&mut self, index: usize, server: ServerName, now: Instant) -> QueueDecision {
        let Waiting { asker, deadline, .. } = self.waiting.swap_remove(index);
        if let Some(server) = self.servers.get_mut(&server) {
            server.busy += 1;
        }
        self.expiry = Some(self.expiry.map_or(deadline, |at| at.min(deadline)));
        let taken = Taken { server: server.clone(), at: now, until: deadline };
        self.taken.insert(asker, taken);
        QueueDecision::Grant(asker, server)
    }

    /// The server that would serve a request best, and whether it has a place free.
    ///
    /// So many requests go before it.
    fn best(
        &self,
        want: &PlainRequest,
        before: usize,
        now: Instant,
    ) -> Option<(ServerName, bool)> {
        let open = |server: &&Server| {
            !self.lost.is_unreachable(&server.listed.name, usize::MAX, now)
        };
        let fresh = |server: &&Server| !want.avoid.contains(&server.listed.name);
        let servers: Vec<&Server> = self.servers.values().filter(open).collect();
        let fresh: Vec<&Server> = servers.iter().copied().filter(fresh).collect();
        // Where all have failed it, one may have recovered.
        let servers = if fresh.is_empty() { servers } else { fresh };
        let least = servers.iter().map(|server| server.faults(now)).fold(1.0, f64::min);
        let waits = BUSY_COST + millis(self.wait(before));
        let cost = |server: &Server| {
            let free = self.is_free(server, now);
            let busy = f64::from(server.busy) / f64::from(server.slots());
            let wait = match free {
                true => busy + (busy - 1.0).max(0.0) * self.time,
                false => waits,
            };
            let away = if server.listed.domain == want.domain {
                0.0
            } else {
                REMOTE_DOMAIN_COST_MS
            };
            let faults = (server.faults(now) - least - FAULT_SLACK).max(0.0);
            (wait + away + faults * FAULT_COST, free)
        };
        let costs = servers.into_iter().map(|server| (cost(server), server));
        let best = costs.min_by(|((a, _), _), ((b, _), _)| a.total_cmp(b));
        best.map(|((_, free), server)| (server.listed.name.clone(), free))
    }

    fn is_free(&self, server: &Server, now: Instant) -> bool {
        let rests = server.full.is_some_and(|until| now < until);
        !rests && server.busy < server.slots() + AHEAD
    }

    /// The wait behind so many requests.
    fn wait(&self, before: usize) -> Duration {
        let places: u32 = self.servers.values().map(Server::slots).sum();
        let each = self.time / f64::from(places.max(1));
        Duration::from_secs_f64((before + 1) as f64 * each / 1000.0)
    }
}

impl Waiting {
    /// What goes first: requests that can still be on time, by urgency and time.
    ///
    /// `time` is how long one takes.
    fn rank(&self, now: Instant, time: Duration) -> (bool, u8, Instant) {
        (self.is_late(now, time), self.want.urgency, self.target)
    }

    /// Whether an answer that takes `time` would be late.
    fn is_late(&self, now: Instant, time: Duration) -> bool {
        now + time > self.target
    }
}

impl Server {
    fn slots(&self) -> u32 {
        self.listed.slots.max(1)
    }

    /// The share of requests that failed lately.
    fn faults(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.faults * 0.5f64.powf(age / FAULT_HALF_LIFE.as_secs_f64())
    }

    fn learn(&mut self, failed: f64, now: Instant) {
        let before = self.faults(now);
        self.faults = before + (failed - before) * FAULT_WEIGHT;
        self.at = now;
    }

    /// Leaves the server alone until one of its places may be free.
    ///
    /// Others' requests have its places: those of daemons that did not ask, or that
    /// were sent before this queue was set up.
    fn reject(&mut self, mean: f64, now: Instant) {
        let pause = mean / f64::from(self.slots()) * f64::from(1 << self.rejected);
        self.rejected = (self.rejected + 1).min(DOUBLINGS);
        self.full = Some(now + Duration::from_secs_f64(pause / 1000.0));
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
