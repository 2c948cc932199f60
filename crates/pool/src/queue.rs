//! Decides which server of a plain service runs which request, and when.
//!
//! Load pattern: two or three servers with six slots each, and requests of 30 ms that
//! arrive in bursts from many daemons. A daemon that uses only its own counts has one
//! request in flight or none and picks at random; full servers reject requests for which
//! others have room, and callers retry half a second later. With one queue for all
//! servers, a request waits only while every slot is taken, and goes to the first that is
//! free. A permit allows a request to be sent to one server now.
//!
//! A request that would wait for longer than its caller is refused at once, with the time
//! after which there is room. Permits of a daemon that dies are free again when the wait
//! limits of its callers have passed.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName};
use chestnut_edge::RequestRate;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::choose::REMOTE_DOMAIN_COST_MS;
use crate::pace::{PaceChange, ServerPace, SilentEnd};
use crate::request_pacer::{self, RequestPacer};
use crate::unreachable::UnreachableReports;

/// Identifies a request: the daemon that sends it, and its number there.
pub type RequestKey = (MemberId, u64);

/// Mean service time that is assumed before any request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(30);

/// Weight of one request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.02;

/// Weight of one request in the moving average of a server's failure rate.
///
/// A server handles some sixty requests a second, so ten are enough to detect a failing
/// one.
const FAILURE_WEIGHT: f64 = 0.1;

/// Half-life of the failure rate of a server that gets no requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Excess over the lowest failure rate of all servers that has no cost.
///
/// Where every seventh request fails whatever server runs it, rates over ten requests
/// differ by as much.
const FAILURE_SLACK: f64 = 0.2;

/// Cost of sending to a server that fails all requests.
const FAILURE_COST_MS: f64 = 400.0;

/// Cost of waiting for a free slot, in addition to the wait itself.
///
/// A free slot in another failure domain is better than a wait.
const WAIT_COST_MS: f64 = 2.0 * REMOTE_DOMAIN_COST_MS;

/// Permits that a server gets beyond its slots.
///
/// Between the end of one request and the start of the next lie four network transfers
/// between VMs and the delay of a busy daemon, a third of the service time; requests that
/// wait at the server fill that gap. With one, a server of six slots ran 152 requests a
/// second, with two or four 160, which is its capacity; with four, fewer requests were
/// refused where two servers were almost enough.
const EXTRA_PERMITS: u32 = 4;

/// How many mean service times before its target a request has to be sent.
///
/// Half of all requests take longer than the mean, and few longer than twice the mean.
const START_AHEAD: f64 = 2.0;

/// How long requests have to be queued without a break before the service counts as
/// overloaded.
///
/// A burst is served within a tenth of a second. Under overload every caller would wait
/// for its whole wait limit and every response would be late; new requests that would be
/// late are refused instead, and the others are on time.
const OVERLOAD_AFTER: Duration = Duration::from_millis(300);

/// The lowest rate of all servers together that waits are estimated with, in requests a
/// second.
const MIN_SERVICE_RATE: f64 = 0.1;

/// How many times the backoff of a server that rejects requests doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// A plain request that asks for a permit.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlainRequest {
    /// 0 is the most urgent and goes first.
    pub urgency: u8,
    /// Time left until the response is late; zero if it already is.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_time: Duration,
    /// How much longer the caller waits.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "patience")]
    pub wait_limit: Duration,
    /// Failure domain of the daemon that sends it.
    pub domain: DomainName,
    /// Servers that failed to serve it, or that its daemon can't reach.
    pub avoid: Vec<ServerName>,
}

/// How a permit was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The server responded.
    Answered,
    /// The server failed, broke off the response or did not respond.
    Failed,
    /// The server rejected the request.
    Rejected,
    /// No connection to the server could be opened.
    Unreachable,
    /// The request was not sent, or its caller disconnected.
    #[serde(rename = "Left")]
    Unused,
}

/// A decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueDecision {
    /// It gets a permit for this server.
    Grant(RequestKey, ServerName),
    /// It would wait for longer than its caller; there is room after this time.
    Full(RequestKey, Duration),
    /// No server accepts requests.
    NoServer(RequestKey),
}

/// A server of the service, as listed in the registry.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Unique within the service.
    pub name: ServerName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// The failure domain that it runs in.
    pub domain: DomainName,
    /// The requests a second that it takes, if it announces a limit.
    pub limit: Option<RequestRate>,
}

/// The queue of a plain service, and the permits for its servers.
#[derive(Debug)]
pub struct PermitQueue {
    servers: IndexMap<ServerName, Server>,
    queued: Vec<QueuedRequest>,
    permits: IndexMap<RequestKey, Permit>,
    /// No permit expires before this time.
    next_expiry: Option<Instant>,
    unreachable: UnreachableReports,
    /// Since when the queue has not been empty.
    queued_since: Option<Instant>,
    /// Moving average of the service time.
    mean_service_ms: f64,
    /// Whether servers that have just started or recovered are bounded.
    is_paced: bool,
    /// Whether any server was listed before.
    was_listed: bool,
    /// Changes of servers' bounds, not taken yet.
    pace_changes: Vec<(ServerName, PaceChange)>,
}

#[derive(Debug)]
struct Server {
    listed: ListedServer,
    /// Number of permits for it.
    in_use: u32,
    /// Moving average of the failure rate, as of `updated_at`.
    failure_rate: f64,
    updated_at: Instant,
    /// Requests that it rejected in a row.
    rejections: u32,
    /// End of the backoff after a rejection.
    backoff_until: Option<Instant>,
    /// Spaces requests while the server announces a limit; `None` without one.
    pacer: Option<RequestPacer>,
    /// Bounds its permits after a start or a recovery.
    pace: ServerPace,
}

#[derive(Debug)]
struct QueuedRequest {
    key: RequestKey,
    request: PlainRequest,
    /// Time after which the response is late.
    target: Instant,
    /// When its caller stops waiting.
    deadline: Instant,
    /// Whether it has not been considered for refusal yet.
    is_new: bool,
}

#[derive(Debug)]
struct Permit {
    server: ServerName,
    granted_at: Instant,
    /// When its caller stops waiting.
    expires_at: Instant,
}

impl Default for PermitQueue {
    fn default() -> Self {
        Self {
            servers: IndexMap::new(),
            queued: Vec::new(),
            permits: IndexMap::new(),
            next_expiry: None,
            unreachable: UnreachableReports::default(),
            queued_since: None,
            mean_service_ms: millis(INITIAL_SERVICE_TIME),
            is_paced: false,
            was_listed: false,
            pace_changes: Vec::new(),
        }
    }
}

impl PermitQueue {
    /// Replaces the list of servers that accept new requests.
    pub fn update_servers(&mut self, listed: Vec<ListedServer>, now: Instant) {
        self.servers.retain(|name, _| listed.iter().any(|entry| entry.name == *name));
        for entry in listed {
            let is_here = |permit: &&Permit| permit.server == entry.name;
            let new = || Server {
                listed: entry.clone(),
                in_use: self.permits.values().filter(is_here).count() as u32,
                failure_rate: 0.0,
                updated_at: now,
                rejections: 0,
                backoff_until: None,
                pacer: None,
                pace: ServerPace::default(),
            };
            let is_new = !self.servers.contains_key(&entry.name);
            let server = self.servers.entry(entry.name.clone()).or_insert_with(new);
            request_pacer::update(&mut server.pacer, entry.limit, now);
            server.listed = entry;
            // The servers of the first list may have been in use for long.
            if is_new && self.was_listed && self.is_paced {
                server.pace.start(now);
                let name = server.listed.name.clone();
                self.pace_changes.push((name, PaceChange::Started));
            }
        }
        self.was_listed |= !self.servers.is_empty();
    }

    /// Sets whether servers that have just started or recovered are bounded.
    pub fn set_paced(&mut self, is_paced: bool) {
        if self.is_paced && !is_paced {
            for server in self.servers.values_mut() {
                server.pace = ServerPace::default();
            }
        }
        self.is_paced = is_paced;
    }

    /// Records that a listed server has restarted.
    pub fn record_restart(&mut self, name: &ServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name).filter(|_| self.is_paced) {
            server.pace.start(now);
            self.pace_changes.push((name.clone(), PaceChange::Started));
        }
    }

    /// Takes the changes of servers' bounds since the last call, each with the bound now in
    /// force, if any.
    pub fn take_pace_changes(&mut self) -> Vec<(ServerName, PaceChange, Option<u32>)> {
        let limit = |name| self.servers.get(name).and_then(|server| server.pace.limit());
        let changes = self.pace_changes.iter();
        let changes =
            changes.map(|(name, change)| (name.clone(), *change, limit(name))).collect();
        self.pace_changes.clear();
        changes
    }

    /// Adds a request, unless it is queued or has a permit already.
    pub fn push(&mut self, key: RequestKey, request: PlainRequest, now: Instant) {
        let is_same = |queued: &QueuedRequest| queued.key == key;
        if self.queued.iter().any(is_same) || self.permits.contains_key(&key) {
            return;
        }
        let (target, deadline) = (now + request.target_time, now + request.wait_limit);
        self.queued.push(QueuedRequest { key, request, target, deadline, is_new: true });
    }

    /// The server for which a request has a permit; `None` if it has none.
    pub fn permit(&self, key: RequestKey) -> Option<&ServerName> {
        self.permits.get(&key).map(|permit| &permit.server)
    }

    /// Removes a request from the queue, or returns its permit.
    pub fn release(&mut self, key: RequestKey, outcome: PermitOutcome, now: Instant) {
        self.queued.retain(|queued| queued.key != key);
        let Some(permit) = self.permits.swap_remove(&key) else { return };
        let service_ms = millis(now.saturating_duration_since(permit.granted_at));
        let mean = self.mean_service_ms;
        if outcome == PermitOutcome::Unreachable {
            self.unreachable.record(key.0, vec![permit.server.clone()], now);
        }
        let Some(server) = self.servers.get_mut(&permit.server) else { return };
        server.in_use -= 1;
        match outcome {
            PermitOutcome::Answered => {
                self.mean_service_ms +=
                    (service_ms - self.mean_service_ms) * SERVICE_TIME_WEIGHT;
                server.record(0.0, now);
                server.rejections = 0;
            }
            PermitOutcome::Failed => server.record(1.0, now),
            PermitOutcome::Rejected => server.back_off(mean, now),
            PermitOutcome::Unreachable | PermitOutcome::Unused => {}
        }
        let change = server.record_pace(key, outcome, service_ms, now);
        self.pace_changes.extend(change.map(|change| (permit.server, change)));
    }

    /// Decides about the next request; `None` while all queued requests have to wait.
    ///
    /// This is called for each message of every daemon. While every slot is taken it
    /// therefore does not sort the queue, but only passes over it for each new request.
    pub fn next_decision(&mut self, now: Instant) -> Option<QueueDecision> {
        self.expire(now);
        self.check_pace(now);
        let lead_time =
            Duration::from_secs_f64(self.mean_service_ms * START_AHEAD / 1000.0);
        if let Some(index) = self.find_unservable(lead_time, now) {
            let key = self.queued.swap_remove(index).key;
            return Some(QueueDecision::Full(key, self.wait_behind(0)));
        }
        if self.servers.is_empty() {
            return self.queued.pop().map(|queued| QueueDecision::NoServer(queued.key));
        }
        if !self.servers.values().any(|server| self.is_free(server, now)) {
            return self.refuse_new(lead_time, now);
        }
        let mut by_rank: Vec<usize> = (0..self.queued.len()).collect();
        by_rank.sort_by_key(|index| self.queued[*index].rank(now, lead_time));
        for (ahead, index) in by_rank.into_iter().enumerate() {
            match self.best(&self.queued[index].request, ahead, now) {
                None => {
                    let key = self.queued.swap_remove(index).key;
                    return Some(QueueDecision::NoServer(key));
                }
                Some((server, true)) => return Some(self.grant(index, server, now)),
                Some((_, false)) => {}
            }
        }
        None
    }

    /// Frees permits whose callers no longer wait.
    fn expire(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let Self { permits, servers, .. } = self;
        for (key, expired) in permits.extract_if(.., |_, permit| now >= permit.expires_at)
        {
            if let Some(server) = servers.get_mut(&expired.server) {
                server.in_use -= 1;
                server.pace.forget(key);
            }
        }
        self.next_expiry = self.permits.values().map(|permit| permit.expires_at).min();
    }

    /// Lowers the bounds of servers whose responses are overdue.
    fn check_pace(&mut self, now: Instant) {
        if !self.is_paced {
            return;
        }
        for (name, server) in &mut self.servers {
            let change = server.pace.check_overdue(now);
            self.pace_changes.extend(change.map(|change| (name.clone(), change)));
        }
    }

    /// Index of a request to refuse: its caller no longer waits, or it is late under
    /// overload.
    fn find_unservable(&mut self, lead_time: Duration, now: Instant) -> Option<usize> {
        let overloaded = self.is_overloaded(now);
        let is_unservable = |queued: &QueuedRequest| {
            now >= queued.deadline
                || overloaded && !queued.is_new && queued.is_late(now, lead_time)
        };
        self.queued.iter().position(is_unservable)
    }

    /// Refuses a new request that would wait for longer than its caller or, under overload,
    /// for so long that it is late.
    fn refuse_new(&mut self, lead_time: Duration, now: Instant) -> Option<QueueDecision> {
        let overloaded = self.is_overloaded(now);
        for index in 0..self.queued.len() {
            if !std::mem::replace(&mut self.queued[index].is_new, false) {
                continue;
            }
            let rank = (self.queued[index].rank(now, lead_time), index);
            let all = self.queued.iter().enumerate();
            let first =
                all.filter(|(at, queued)| (queued.rank(now, lead_time), *at) < rank);
            let wait = self.wait_behind(first.count());
            let queued = &self.queued[index];
            let late = overloaded && queued.is_late(now + wait, lead_time);
            if late || now + wait > queued.deadline {
                let key = self.queued.swap_remove(index).key;
                return Some(QueueDecision::Full(key, wait));
            }
        }
        None
    }

    /// Whether requests have been queued for so long that the servers can't keep up.
    fn is_overloaded(&mut self, now: Instant) -> bool {
        if self.queued.is_empty() {
            self.queued_since = None;
            return false;
        }
        let since = *self.queued_since.get_or_insert(now);
        now.saturating_duration_since(since) >= OVERLOAD_AFTER
    }

    /// When to call [`Self::next_decision`] again if nothing changes before.
    pub fn next_decision_at(&self, now: Instant) -> Option<Instant> {
        let deadlines = self.queued.iter().map(|queued| queued.deadline);
        let backoffs = self.servers.values().filter_map(|server| server.backoff_until);
        let pacers = self.servers.values().filter_map(|server| server.pacer);
        let times = deadlines
            .chain(self.next_expiry)
            .chain(backoffs)
            .chain(pacers.map(|pacer| pacer.ready_at()))
            .filter(|at| *at > now);
        if self.queued.is_empty() { None } else { times.min() }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    fn grant(&mut self, index: usize, server: ServerName, now: Instant) -> QueueDecision {
        let QueuedRequest { key, deadline, .. } = self.queued.swap_remove(index);
        if let Some(server) = self.servers.get_mut(&server) {
            server.in_use += 1;
            if let Some(pacer) = &mut server.pacer {
                pacer.record_sent(now);
            }
            if self.is_paced {
                let expected = Duration::from_secs_f64(self.mean_service_ms / 1000.0);
                server.pace.record_sent(key, expected, now);
            }
        }
        self.next_expiry = Some(self.next_expiry.map_or(deadline, |at| at.min(deadline)));
        let permit =
            Permit { server: server.clone(), granted_at: now, expires_at: deadline };
        self.permits.insert(key, permit);
        QueueDecision::Grant(key, server)
    }

    /// The best server for a request that has `ahead` others before it, and whether a
    /// permit for it is free.
    fn best(
        &self,
        request: &PlainRequest,
        ahead: usize,
        now: Instant,
    ) -> Option<(ServerName, bool)> {
        let is_reachable = |server: &&Server| {
            !self.unreachable.is_unreachable(&server.listed.name, usize::MAX, now)
        };
        let is_untried = |server: &&Server| !request.avoid.contains(&server.listed.name);
        let servers: Vec<&Server> = self.servers.values().filter(is_reachable).collect();
        let untried: Vec<&Server> = servers.iter().copied().filter(is_untried).collect();
        // If it has failed on all servers, one may have recovered.
        let servers = if untried.is_empty() { servers } else { untried };
        let lowest_rate =
            servers.iter().map(|server| server.failure_rate(now)).fold(1.0, f64::min);
        let queue_wait = WAIT_COST_MS + millis(self.wait_behind(ahead));
        let cost = |server: &Server| {
            let free = self.is_free(server, now);
            let load = f64::from(server.in_use) / f64::from(server.slots());
            let wait = match free {
                true => load + (load - 1.0).max(0.0) * self.mean_service_ms,
                false => queue_wait,
            };
            let remote = if server.listed.domain == request.domain {
                0.0
            } else {
                REMOTE_DOMAIN_COST_MS
            };
            let failures =
                (server.failure_rate(now) - lowest_rate - FAILURE_SLACK).max(0.0);
            (wait + remote + failures * FAILURE_COST_MS, free)
        };
        let costs = servers.into_iter().map(|server| (cost(server), server));
        let best = costs.min_by(|((a, _), _), ((b, _), _)| a.total_cmp(b));
        best.map(|((_, free), server)| (server.listed.name.clone(), free))
    }

    fn is_free(&self, server: &Server, now: Instant) -> bool {
        let backing_off = server.backoff_until.is_some_and(|until| now < until);
        let is_paced = server.pacer.is_some_and(|pacer| !pacer.is_ready(now));
        let is_bounded = server.pace.free_requests(server.in_use) == Some(0);
        !backing_off
            && !is_paced
            && !is_bounded
            && server.in_use < server.slots().saturating_add(EXTRA_PERMITS)
    }

    /// Estimated wait of a request with `ahead` others before it.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let rates = self.servers.values().map(|server| server.rate(self.mean_service_ms));
        let total = match self.servers.is_empty() {
            true => 1000.0 / self.mean_service_ms,
            false => rates.sum::<f64>().max(MIN_SERVICE_RATE),
        };
        Duration::from_secs_f64((ahead + 1) as f64 / total)
    }
}

impl QueuedRequest {
    /// Sort key: requests that can still be on time come first, by urgency and target.
    fn rank(&self, now: Instant, lead_time: Duration) -> (bool, u8, Instant) {
        (self.is_late(now, lead_time), self.request.urgency, self.target)
    }

    /// Whether a response after `lead_time` would miss the target.
    fn is_late(&self, now: Instant, lead_time: Duration) -> bool {
        now + lead_time > self.target
    }
}

impl Server {
    fn slots(&self) -> u32 {
        self.listed.slots.max(1)
    }

    /// The requests a second that it can run.
    fn rate(&self, mean_service_ms: f64) -> f64 {
        // A bound doubles while its first requests run.
        let bound = self.pace.limit().map_or(u32::MAX, |limit| limit.saturating_mul(2));
        let by_slots = f64::from(self.slots().min(bound)) * 1000.0 / mean_service_ms;
        self.listed.limit.map_or(by_slots, |limit| by_slots.min(limit.per_second()))
    }

    /// Share of requests that failed recently.
    fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Records a request; `failed` is 1 for a failure and 0 for a success.
    fn record(&mut self, failed: f64, now: Instant) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (failed - before) * FAILURE_WEIGHT;
        self.updated_at = now;
    }

    /// Records for the server's bound how a permit was used.
    fn record_pace(
        &mut self,
        key: RequestKey,
        outcome: PermitOutcome,
        service_ms: f64,
        now: Instant,
    ) -> Option<PaceChange> {
        match outcome {
            PermitOutcome::Answered => {
                let after = Duration::from_secs_f64(service_ms / 1000.0);
                self.pace.record_answer(key, after, self.listed.slots.max(1), now)
            }
            PermitOutcome::Failed
            | PermitOutcome::Rejected
            | PermitOutcome::Unreachable => {
                self.pace.record_end(key, SilentEnd::Failed, now)
            }
            PermitOutcome::Unused => self.pace.record_end(key, SilentEnd::Unknown, now),
        }
    }

    /// Sends nothing to the server until one of its slots may be free.
    ///
    /// Its slots are taken by requests without a permit of this queue: those of daemons
    /// that bypass it, or those sent before it was created.
    fn back_off(&mut self, mean_service_ms: f64, now: Instant) {
        let backoff =
            mean_service_ms / f64::from(self.slots()) * f64::from(1 << self.rejections);
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = Some(now + Duration::from_secs_f64(backoff / 1000.0));
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
