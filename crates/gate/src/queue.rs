//! The queue of a plain service, held by one daemon for all.
//!
//! Daemons ask for a place, repeat their question while they wait, and say when they need
//! it no more. What is lost on the way is asked again; a place whose end was lost is free
//! when its caller's time is over.

use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use chestnut_base::ServiceName;
use chestnut_pool::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision, RequestKey,
};
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::claims::pool_key;
use crate::message::{Message, Placed};
use crate::peers::Reply;
use crate::shared::Shared;

/// How long the queue sleeps at most while requests wait.
const PATIENCE: Duration = Duration::from_millis(100);

/// How long the list of servers is good for.
///
/// Servers that are excused for an outage of the registry are taken off it by time alone.
const LIST_TIME: Duration = Duration::from_millis(100);

/// The queue of a plain service whose claim this daemon holds.
pub struct ServiceQueue {
    service: ServiceName,
    state: Mutex<State>,
    /// Wakes whoever sees to the queue's times.
    changed: Notify,
}

#[derive(Default)]
struct State {
    queue: PermitQueue,
    /// Where answers to requests that wait go.
    replies: IndexMap<RequestKey, Reply<Placed>>,
    /// The change of the registry that the servers were listed at, and when.
    listed: Option<(u64, Instant)>,
}

impl State {
    /// Takes in a request, and says what its asker is to be told at once.
    ///
    /// The request and where its answer goes are entered under one lock. Entered one after
    /// the other, another thread could decide about the request in between: its answer
    /// went nowhere, and a request of this daemon kept its place and waited until its
    /// caller left (2 to 20 of 1,400 plain requests sent at once).
    fn take(
        &mut self,
        asker: RequestKey,
        want: PlainRequest,
        reply: Reply<Placed>,
        now: Instant,
    ) -> Option<(Reply<Placed>, Placed)> {
        if let Some(server) = self.queue.permit(asker) {
            return Some((reply, Placed::Send(server.clone())));
        }
        self.queue.push(asker, want, now);
        // Whoever asks again has to know that the queue is there.
        let again = match (&reply, self.replies.contains_key(&asker)) {
            (Reply::There(addr), true) => Some(Reply::There(*addr)),
            _ => None,
        };
        self.replies.insert(asker, reply);
        again.map(|reply| (reply, Placed::Queued))
    }
}

impl ServiceQueue {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The requests that wait.
    pub fn waiting(&self) -> usize {
        self.state().queue.len()
    }
}

/// Starts and ends queues as claims come and go.
pub fn follow_claims(shared: &Arc<Shared>) {
    let held = held(shared);
    let lost: Vec<Arc<ServiceQueue>> = {
        let mut queues = shared.queues();
        for service in &held {
            let start = || start(shared, service.clone());
            queues.entry(service.clone()).or_insert_with(start);
        }
        queues.extract_if(.., |service, _| !held.contains(service)).map(|q| q.1).collect()
    };
    for queue in lost {
        // Who waits asks the next holder.
        let replies = std::mem::take(&mut queue.state().replies);
        for (asker, reply) in replies {
            answer(shared, asker, reply, Placed::Moved);
        }
    }
}

/// The plain services whose claims this daemon holds.
fn held(shared: &Shared) -> Vec<ServiceName> {
    let Some(declared) = shared.declarations() else { return Vec::new() };
    let known = shared.membership();
    let mine = |service: &ServiceName| {
        let claim = pool_key(service).and_then(|key| known.claims.get(&key));
        claim.is_some_and(|(row, _)| row.holder == Some(shared.peers.me))
    };
    let plain = declared.services.iter().filter(|(_, service)| service.engine.is_none());
    plain.map(|(name, _)| name.clone()).filter(mine).collect()
}

fn start(shared: &Arc<Shared>, service: ServiceName) -> Arc<ServiceQueue> {
    let (state, changed) = (Mutex::default(), Notify::new());
    let queue = Arc::new(ServiceQueue { service, state, changed });
    tokio::spawn(run(shared.clone(), Arc::downgrade(&queue)));
    queue
}

/// Takes in that a daemon wants a place.
pub fn take(
    shared: &Shared,
    service: &ServiceName,
    asker: RequestKey,
    want: PlainRequest,
    reply: Reply<Placed>,
) {
    let Some(queue) = shared.queues().get(service).cloned() else {
        return answer(shared, asker, reply, Placed::Moved);
    };
    let now = shared.now();
    let told = queue.state().take(asker, want, reply, now);
    if let Some((reply, placed)) = told {
        answer(shared, asker, reply, placed);
    }
    serve(shared, &queue);
    queue.changed.notify_one();
}

/// Takes in that a request needs its place no more, or does not wait any longer.
pub fn finish(
    shared: &Shared,
    service: &ServiceName,
    asker: RequestKey,
    outcome: PermitOutcome,
) {
    let Some(queue) = shared.queues().get(service).cloned() else { return };
    {
        let mut state = queue.state();
        state.queue.release(asker, outcome, shared.now());
        state.replies.swap_remove(&asker);
    }
    serve(shared, &queue);
}

/// Sees to a queue's times until its claim is lost.
async fn run(shared: Arc<Shared>, queue: Weak<ServiceQueue>) {
    loop {
        let Some(held) = queue.upgrade() else { return };
        serve(&shared, &held);
        let now = shared.now();
        let wake = held.state().queue.next_wake(now).unwrap_or(now + PATIENCE);
        let until = tokio::time::Instant::from_std(wake.min(now + PATIENCE));
        // Either something changed or it is time to look again.
        let _ = timeout_at(until, held.changed.notified()).await;
    }
}

/// Decides about all requests that can be decided about.
fn serve(shared: &Shared, queue: &ServiceQueue) {
    let now = shared.now();
    list(shared, queue, now);
    loop {
        let (asker, reply, placed) = {
            let mut state = queue.state();
            let Some(step) = state.queue.next_decision(now) else { return };
            let (asker, placed) = match step {
                QueueDecision::Grant(asker, server) => (asker, Placed::Send(server)),
                QueueDecision::Full(asker, wait) => {
                    (asker, Placed::Full(wait.as_millis() as u32))
                }
                QueueDecision::NoServer(asker) => (asker, Placed::Nowhere),
            };
            (asker, state.replies.swap_remove(&asker), placed)
        };
        if let Some(reply) = reply {
            answer(shared, asker, reply, placed);
        }
    }
}

/// Takes in the servers that the registry lists.
fn list(shared: &Shared, queue: &ServiceQueue, now: Instant) {
    let version = *shared.server_updates.borrow();
    let old = |at: Instant| now.saturating_duration_since(at) >= LIST_TIME;
    if queue.state().listed.is_some_and(|(seen, at)| seen == version && !old(at)) {
        return;
    }
    let listed: Vec<ListedServer> = {
        let fleet = shared.fleet();
        let ours = fleet.iter().filter(|(_, one)| one.entry.service == queue.service);
        let open = ours.filter(|(_, one)| fleet.is_listed(one, now));
        let listed = open.map(|(_, one)| ListedServer {
            name: one.entry.name.clone(),
            slots: one.entry.slots,
            domain: one.entry.domain.clone(),
        });
        listed.collect()
    };
    let mut state = queue.state();
    state.queue.update_servers(listed, now);
    state.listed = Some((version, now));
}

fn answer(shared: &Shared, asker: RequestKey, reply: Reply<Placed>, placed: Placed) {
    let number = asker.1;
    reply.send(&shared.peers, placed, |verdict| Message::Dequeued { number, verdict });
}
