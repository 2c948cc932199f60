//! Says when daemons may send requests to a runner.
//!
//! Daemons ask, repeat their question while they wait, and are told to send, or that
//! this runner is not to be had. What is lost on the way is asked again; a question
//! that was answered gets the same answer again.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_edge::Engine;
use chestnut_pool::{AdapterState, Next, Room, Ticket, Waiting, Want};
use indexmap::IndexMap;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::holder::Holder;
use crate::message::{Begun, Message, Verdict};
use crate::shared::Shared;

/// How long a question that was answered is remembered.
///
/// Daemons ask again within a fraction of a second.
const MEMORY: Duration = Duration::from_secs(2);

/// How long the lane sleeps at most; sums of daemons that died fade meanwhile.
const PATIENCE: Duration = Duration::from_millis(250);

/// The part of the KV cache that is planned with.
///
/// Answers may grow longer than their callers guess; an engine that runs out of
/// memory reads whole prompts again.
const KV_SHARE: f64 = 0.92;

/// Names a request: the daemon that asks, and its number there.
pub type Asker = (MemberId, u64);

/// Who waits to send to a runner.
#[derive(Default)]
pub struct Desk {
    last: u64,
    open: IndexMap<Asker, Entry>,
}

struct Entry {
    ticket: Ticket,
    want: Want,
    /// The prompt tokens that the runner had to read.
    unread: u32,
    reply: Reply,
    /// What became of it and when, once it is decided.
    decided: Option<(Verdict, Instant)>,
}

/// Where the answer goes.
pub enum Reply {
    /// To a request of this daemon.
    Here(oneshot::Sender<Verdict>),
    /// To another daemon.
    There(SocketAddr),
}

/// Takes in that a daemon wants to send a request.
pub fn take(
    shared: &Arc<Shared>,
    holder: &Arc<Holder>,
    asker: Asker,
    want: Want,
    missed: bool,
    reply: Reply,
) {
    let now = shared.now();
    if let Some(verdict) = known_verdict(holder, asker) {
        answer(shared, asker.1, reply, verdict);
        return;
    }
    let Some(engine) = engine(shared, holder) else {
        return answer(shared, asker.1, reply, Verdict::Denied);
    };
    if let Reply::There(addr) = &reply {
        let message = Message::Taken { number: asker.1, verdict: Verdict::Queued };
        shared.peers.send(*addr, message);
    }
    let (ticket, prepare) =
        enqueue(shared, holder, asker, &want, missed, reply, &engine, now);
    if prepare {
        let (shared, holder) = (shared.clone(), holder.clone());
        tokio::spawn(async move {
            let ready = holder.prepare(want.target, missed).await;
            match ready {
                Some(ready) => {
                    let at = shared.now() + ready;
                    holder.state().lane.set_ready(ticket, at);
                }
                None => decide(&shared, &holder, ticket, Verdict::Denied),
            }
            holder.changed.notify_one();
        });
    }
    holder.changed.notify_one();
}

/// Takes in that a request is not sent after all.
pub fn leave(holder: &Holder, asker: Asker) {
    let mut desk = holder.desk.lock().expect("no holder of the lock panics");
    let Some(entry) = desk.open.swap_remove(&asker) else { return };
    drop(desk);
    holder.state().lane.remove(entry.ticket);
    holder.changed.notify_one();
}

/// Takes in the first event of a request that was sent in its turn.
pub fn begun(shared: &Shared, holder: &Holder, from: MemberId, begun: Begun) {
    let desk = holder.desk.lock().expect("no holder of the lock panics");
    let Some(entry) = desk.open.get(&(from, begun.number)) else { return };
    let time = Duration::from_millis(begun.after_ms.into());
    shared.speeds().learn(&entry.want.target.model, entry.unread, time);
}

/// Sees to a runner's lane until its claim is lost.
pub async fn run(shared: Arc<Shared>, holder: Weak<Holder>) {
    loop {
        let Some(held) = holder.upgrade() else { return };
        let now = shared.now();
        let next = match room(&shared, &held, now) {
            Some(room) => held.state().lane.next(room, now),
            None => Next::Idle,
        };
        let until = match next {
            Next::Send(waiting) => {
                decide(&shared, &held, waiting.ticket, Verdict::Send);
                continue;
            }
            Next::Expired(waiting) => {
                decide(&shared, &held, waiting.ticket, Verdict::Denied);
                continue;
            }
            Next::Wait(until) => until.min(now + PATIENCE),
            Next::Idle => now + PATIENCE,
        };
        let until = tokio::time::Instant::from_std(until);
        // Either something changed or it is time to look again.
        let _ = timeout_at(until, held.changed.notified()).await;
    }
}

/// What became of a request that was asked for before; its place is kept.
fn known_verdict(holder: &Holder, asker: Asker) -> Option<Verdict> {
    let desk = holder.desk.lock().expect("no holder of the lock panics");
    let entry = desk.open.get(&asker)?;
    Some(entry.decided.map_or(Verdict::Queued, |(verdict, _)| verdict))
}

fn enqueue(
    shared: &Shared,
    holder: &Holder,
    asker: Asker,
    want: &Want,
    missed: bool,
    reply: Reply,
    engine: &Engine,
    now: Instant,
) -> (Ticket, bool) {
    let ticket = {
        let mut desk = holder.desk.lock().expect("no holder of the lock panics");
        desk.open.retain(|_, entry| {
            entry.decided.is_none_or(|(_, at)| now.duration_since(at) < MEMORY)
        });
        desk.last += 1;
        let ticket = Ticket(desk.last);
        let unread = want.size.prompt;
        let entry = Entry { ticket, want: want.clone(), unread, reply, decided: None };
        desk.open.insert(asker, entry);
        ticket
    };
    let mut state = holder.state();
    let adapter = state.adapter(&want.target, engine.adapter_slots, now);
    let ready = match adapter {
        AdapterState::Ready if !missed => Some(now),
        AdapterState::Coming(left) if !missed => Some(now + left),
        _ => None,
    };
    let work = state.reading(want, &shared.speeds());
    state.lane.push(Waiting {
        ticket,
        work,
        tokens: want.size.tokens(),
        urgency: want.urgency,
        target: now + want.target_time,
        deadline: now + want.budget,
        ready,
    });
    (ticket, ready.is_none())
}

/// Decides what becomes of a request and tells who asked.
fn decide(shared: &Shared, holder: &Holder, ticket: Ticket, verdict: Verdict) {
    let now = shared.now();
    let mut desk = holder.desk.lock().expect("no holder of the lock panics");
    let entry = desk.open.iter_mut().find(|(_, entry)| entry.ticket == ticket);
    let Some((asker, entry)) = entry else { return };
    entry.decided = Some((verdict, now));
    let there = match &entry.reply {
        Reply::Here(_) => None,
        Reply::There(addr) => Some(*addr),
    };
    let reply = there.map_or_else(
        || std::mem::replace(&mut entry.reply, Reply::There(shared.settings.peer_addr())),
        Reply::There,
    );
    let number = asker.1;
    if verdict == Verdict::Send {
        let capacity = engine(shared, holder).map_or(0, |engine| engine.kv_tokens);
        let mut state = holder.state();
        entry.unread = state.unread(&entry.want);
        state.prefixes.sent(&entry.want.target, &entry.want.parts, capacity);
        state.touch(&entry.want.target, now);
    }
    drop(desk);
    if verdict == Verdict::Denied {
        holder.state().lane.remove(ticket);
        info!(shared.log, "request denied at a runner"; "number" => number,
            "server" => holder.server.to_string());
    }
    answer(shared, number, reply, verdict);
}

fn answer(shared: &Shared, number: u64, reply: Reply, verdict: Verdict) {
    match reply {
        // Whoever asked may have given up.
        Reply::Here(sender) => drop(sender.send(verdict)),
        Reply::There(addr) => {
            shared.peers.send(addr, Message::Taken { number, verdict });
        }
    }
}

fn engine(shared: &Shared, holder: &Holder) -> Option<Engine> {
    let declared = shared.declared()?;
    let service = {
        let fleet = shared.fleet();
        fleet.get(fleet.key(&holder.server)?)?.entry.service.clone()
    };
    declared.services.get(&service)?.engine.clone()
}

/// What the runner has room for.
fn room(shared: &Shared, holder: &Holder, now: Instant) -> Option<Room> {
    let engine = engine(shared, holder)?;
    let total = holder.state().total(now);
    let tokens = (engine.kv_tokens as f64 * KV_SHARE) as u64;
    Some(Room {
        requests: engine.slots.saturating_sub(total.requests),
        tokens: tokens.saturating_sub(total.tokens),
        pause: shared.declared().and_then(|declared| declared.least_pause()),
    })
}
