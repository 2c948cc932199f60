//! The permit queue of a plain service, held by one daemon for all daemons.
//!
//! Daemons request permits, repeat their requests while they wait, which covers lost
//! datagrams, and release their permits. A permit whose release is lost becomes free when its
//! caller's wait limit ends.

use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, ServerName, ServiceName};
use chestnut_pool::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision, RequestKey,
};
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::claims::pool_key;
use crate::message::{Message, PermitVerdict};
use crate::peers::ReplyTo;
use crate::shared::Shared;
use crate::{pace, server_limits};

/// The longest time between two checks of the queue.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the list of servers is used if the registry does not change.
///
/// The grace period of a server during an outage of the registry ends without such a change.
const SERVER_LIST_TTL: Duration = Duration::from_millis(100);

/// The permit queue of a plain service whose claim this daemon holds.
pub struct ServiceQueue {
    service: ServiceName,
    state: Mutex<State>,
    /// Wakes the task that checks the queue.
    changed: Notify,
}

#[derive(Default)]
struct State {
    queue: PermitQueue,
    /// Where the decisions on queued requests are sent.
    replies: IndexMap<RequestKey, ReplyTo<PermitVerdict>>,
    /// The value of [`Shared::server_updates`] when the queue's servers were last updated, and
    /// when that was; `None` before the first update.
    listed: Option<(u64, Instant)>,
    /// When the listed servers started, in Unix milliseconds; `None` if unknown.
    starts: IndexMap<ServerName, Option<u64>>,
}

impl State {
    /// Adds a request to the queue; returns a reply that is due at once.
    ///
    /// The request and its reply are added under one lock. Under two, another thread could
    /// decide on the request in between. The decision would not be sent, and a request of this
    /// daemon would keep its permit and wait until its caller left. Of 1,400 plain requests
    /// sent at once, that affects 2 to 20.
    fn enqueue(
        &mut self,
        key: RequestKey,
        request: PlainRequest,
        reply: ReplyTo<PermitVerdict>,
        now: Instant,
    ) -> Option<(ReplyTo<PermitVerdict>, PermitVerdict)> {
        if let Some(server) = self.queue.permit(key) {
            return Some((reply, PermitVerdict::Send(server.clone())));
        }
        self.queue.push(key, request, now);
        // A daemon that repeats its request needs to know that the queue is alive.
        let repeated = match (&reply, self.replies.contains_key(&key)) {
            (ReplyTo::Remote(addr), true) => Some(ReplyTo::Remote(*addr)),
            _ => None,
        };
        self.replies.insert(key, reply);
        repeated.map(|reply| (reply, PermitVerdict::Queued))
    }
}

impl ServiceQueue {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.state().queue.len()
    }
}

/// Starts the queues of claims that this daemon has gained, and ends those of claims that it
/// has lost.
pub fn sync_claims(shared: &Arc<Shared>) {
    let held = held_services(shared);
    let mut started = Vec::new();
    let lost: Vec<Arc<ServiceQueue>> = {
        let mut queues = shared.queues();
        for service in &held {
            queues.entry(service.clone()).or_insert_with(|| {
                started.push(service.clone());
                start(shared, service.clone())
            });
        }
        queues.extract_if(.., |service, _| !held.contains(service)).map(|q| q.1).collect()
    };
    if !started.is_empty() {
        let servers = servers_of(shared, &started);
        server_limits::broadcast_held(shared, |server| servers.contains(server));
    }
    for queue in lost {
        // Daemons request the permits of queued requests from the next holder.
        let replies = std::mem::take(&mut queue.state().replies);
        for (key, reply) in replies {
            send_verdict(shared, key, reply, PermitVerdict::Moved);
        }
    }
}

/// The listed servers of some services.
fn servers_of(shared: &Shared, services: &[ServiceName]) -> Vec<Incarnation> {
    let fleet = shared.fleet();
    let servers = fleet.iter().filter(|(_, at)| services.contains(&at.entry.service));
    servers.map(|(_, server)| server.incarnation()).collect()
}

/// The plain services whose claims this daemon holds.
fn held_services(shared: &Shared) -> Vec<ServiceName> {
    let Some(declared) = shared.declarations() else { return Vec::new() };
    let membership = shared.membership();
    let is_held = |service: &ServiceName| {
        let claim = pool_key(service).and_then(|key| membership.claims.get(&key));
        claim.is_some_and(|(row, _)| row.holder == Some(shared.peers.me))
    };
    let plain = declared.services.iter().filter(|(_, service)| service.engine.is_none());
    plain.map(|(name, _)| name.clone()).filter(is_held).collect()
}

fn start(shared: &Arc<Shared>, service: ServiceName) -> Arc<ServiceQueue> {
    let (state, changed) = (Mutex::default(), Notify::new());
    let queue = Arc::new(ServiceQueue { service, state, changed });
    tokio::spawn(run(shared.clone(), Arc::downgrade(&queue)));
    queue
}

/// Queues a request for a permit, or repeats the decision on it.
pub fn enqueue(
    shared: &Shared,
    service: &ServiceName,
    key: RequestKey,
    request: PlainRequest,
    reply: ReplyTo<PermitVerdict>,
) {
    let Some(queue) = shared.queues().get(service).cloned() else {
        return send_verdict(shared, key, reply, PermitVerdict::Moved);
    };
    let now = shared.now();
    let due = queue.state().enqueue(key, request, reply, now);
    if let Some((reply, verdict)) = due {
        send_verdict(shared, key, reply, verdict);
    }
    decide_all(shared, &queue);
    queue.changed.notify_one();
}

/// Releases the permit of a request, or removes the request from the queue.
pub fn release(
    shared: &Shared,
    service: &ServiceName,
    key: RequestKey,
    outcome: PermitOutcome,
) {
    let Some(queue) = shared.queues().get(service).cloned() else { return };
    {
        let mut state = queue.state();
        state.queue.release(key, outcome, shared.now());
        state.replies.swap_remove(&key);
    }
    decide_all(shared, &queue);
}

/// Has all queues of this daemon read the list of their servers again.
pub fn reload_servers(shared: &Shared) {
    let queues: Vec<Arc<ServiceQueue>> = shared.queues().values().cloned().collect();
    for queue in queues {
        queue.state().listed = None;
        queue.changed.notify_one();
    }
}

/// Checks a queue whenever it changes or a time limit ends, until its claim is lost.
async fn run(shared: Arc<Shared>, queue: Weak<ServiceQueue>) {
    loop {
        let Some(held) = queue.upgrade() else { return };
        decide_all(&shared, &held);
        let now = shared.now();
        let wake =
            held.state().queue.next_decision_at(now).unwrap_or(now + MAX_CHECK_INTERVAL);
        let until = tokio::time::Instant::from_std(wake.min(now + MAX_CHECK_INTERVAL));
        // A timeout also leads to the next check.
        let _ = timeout_at(until, held.changed.notified()).await;
    }
}

/// Decides on all queued requests for which a decision is possible now.
fn decide_all(shared: &Shared, queue: &ServiceQueue) {
    let now = shared.now();
    update_servers(shared, queue, now);
    loop {
        let (key, reply, verdict) = {
            let mut state = queue.state();
            let Some(decision) = state.queue.next_decision(now) else { break };
            let (key, verdict) = match decision {
                QueueDecision::Grant(key, server) => (key, PermitVerdict::Send(server)),
                QueueDecision::Full(key, wait) => {
                    (key, PermitVerdict::Full(wait.as_millis() as u32))
                }
                QueueDecision::NoServer(key) => (key, PermitVerdict::Nowhere),
            };
            (key, state.replies.swap_remove(&key), verdict)
        };
        if let Some(reply) = reply {
            send_verdict(shared, key, reply, verdict);
        }
    }
    let changes = queue.state().queue.take_pace_changes();
    for (server, change, limit) in changes {
        pace::log_plain(shared, &server, change, limit);
    }
}

/// Updates the queue's servers from the registry if the list has changed or is too old.
fn update_servers(shared: &Shared, queue: &ServiceQueue, now: Instant) {
    let version = *shared.server_updates.borrow();
    let too_old = |at: Instant| now.saturating_duration_since(at) >= SERVER_LIST_TTL;
    if queue.state().listed.is_some_and(|(used, at)| used == version && !too_old(at)) {
        return;
    }
    let is_paced = pace::applies_to_plain(shared);
    let mut starts = IndexMap::new();
    let listed: Vec<ListedServer> = {
        let fleet = shared.fleet();
        let limits = shared.server_limits();
        let servers =
            fleet.iter().filter(|(_, server)| server.entry.service == queue.service);
        let listed = servers.filter(|(_, server)| fleet.is_listed(server, now));
        let listed = listed.inspect(|(_, server)| {
            starts.insert(server.entry.name.clone(), server.entry.started_at_ms);
        });
        let listed = listed.map(|(_, server)| ListedServer {
            name: server.entry.name.clone(),
            slots: server.entry.slots,
            domain: server.entry.domain.clone(),
            limit: limits.rate(&server.incarnation()),
        });
        listed.collect()
    };
    let mut state = queue.state();
    state.queue.set_paced(is_paced);
    state.queue.update_servers(listed, now);
    for (name, start) in &starts {
        if state.starts.get(name).is_some_and(|before| before != start) {
            state.queue.record_restart(name, now);
        }
    }
    state.starts = starts;
    state.listed = Some((version, now));
}

fn send_verdict(
    shared: &Shared,
    key: RequestKey,
    reply: ReplyTo<PermitVerdict>,
    verdict: PermitVerdict,
) {
    let number = key.1;
    reply.send(&shared.peers, verdict, |verdict| Message::PermitResponse {
        number,
        verdict,
    });
}
