//! Says when daemons may send requests to a runner.
//!
//! Daemons ask, repeat their question while they wait, and are told to send, or that
//! this runner is not to be had. What is lost on the way is asked again; a question
//! that was answered gets the same answer again.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_edge::Engine;
use chestnut_pool::{
    AdapterState, GenerationRequest, PrefillAction, QueuedPrompt, RequestKey,
    RunnerCapacity, Ticket,
};
use indexmap::IndexMap;
use slog::info;
use tokio::time::timeout_at;

use crate::holder::HeldRunner;
use crate::message::{Begun, Message, Verdict};
use crate::peers::Reply;
use crate::shared::Shared;

/// How long a question that was answered is remembered.
///
/// Daemons ask again within a fraction of a second, and first events come later.
const MEMORY: Duration = Duration::from_secs(3);

/// How long the lane sleeps at most; sums of daemons that died fade meanwhile.
const PATIENCE: Duration = Duration::from_millis(250);

/// The share of a prompt of which it may be unknown whether the runner keeps it, for the
/// time of its reading to be learnt from.
///
/// Reading looks faster than it is by half of that at most. With less, prompts of many
/// sessions, whose parts few requests share, teach next to nothing.
const DOUBTFUL_SHARE: f64 = 0.15;

/// Asks when a request may be sent.
pub struct AdmissionRequest {
    /// Names the request.
    pub key: RequestKey,
    /// What it needs.
    pub request: GenerationRequest,
    /// Whether the runner has just said that it does not have the adapter.
    pub adapter_missing: bool,
}

/// Who waits to send to a runner.
#[derive(Default)]
pub struct AdmissionTable {
    last: u64,
    open: IndexMap<RequestKey, Entry>,
}

struct Entry {
    ticket: Ticket,
    want: GenerationRequest,
    /// The prompt tokens that the runner had to read when the request was sent.
    unread: u32,
    /// Whether that number is known; the runner may keep parts from before this holder.
    sure: bool,
    /// Where the answer goes; nothing once a request of this daemon has it.
    reply: Option<Reply<Verdict>>,
    /// What became of it and when, once it is decided.
    decided: Option<(Verdict, Instant)>,
}

impl AdmissionTable {
    /// What became of a request that was asked for before.
    fn verdict(&self, asker: RequestKey) -> Option<Verdict> {
        let entry = self.open.get(&asker)?;
        Some(entry.decided.map_or(Verdict::Queued, |(verdict, _)| verdict))
    }

    fn enter(
        &mut self,
        asker: RequestKey,
        want: GenerationRequest,
        reply: Reply<Verdict>,
        now: Instant,
    ) -> Ticket {
        let fresh = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        self.open.retain(|_, entry| entry.decided.is_none_or(|(_, at)| fresh(at)));
        self.last += 1;
        let ticket = Ticket(self.last);
        let (unread, reply) = (want.size.prompt, Some(reply));
        let entry = Entry { ticket, want, unread, sure: false, reply, decided: None };
        self.open.insert(asker, entry);
        ticket
    }

    fn find(&mut self, ticket: Ticket) -> Option<(RequestKey, &mut Entry)> {
        let mut open = self.open.iter_mut();
        let (asker, entry) = open.find(|(_, entry)| entry.ticket == ticket)?;
        Some((*asker, entry))
    }

    fn undecided(&self) -> Vec<Ticket> {
        let open = self.open.values().filter(|entry| entry.decided.is_none());
        open.map(|entry| entry.ticket).collect()
    }
}

/// Takes in that a daemon wants to send a request.
pub fn request_admission(
    shared: &Arc<Shared>,
    holder: &Arc<HeldRunner>,
    question: AdmissionRequest,
    reply: Reply<Verdict>,
) {
    let AdmissionRequest { key: asker, request: want, adapter_missing: missed } =
        question;
    let known = holder.admissions().verdict(asker);
    if let Some(verdict) = known {
        return answer(shared, asker.1, reply, verdict);
    }
    let Some(engine) = shared.engine_of(&holder.server) else {
        return answer(shared, asker.1, reply, Verdict::Denied);
    };
    if let Reply::There(addr) = &reply {
        let message = Message::Taken { number: asker.1, verdict: Verdict::Queued };
        shared.peers.send(*addr, message);
    }
    let now = shared.now();
    let ticket = holder.admissions().enter(asker, want.clone(), reply, now);
    let ready = adapter_ready(holder, &want, missed, &engine, now);
    enqueue(shared, holder, ticket, &want, ready);
    if ready.is_none() {
        let (shared, holder) = (shared.clone(), holder.clone());
        tokio::spawn(
            async move { prepare(&shared, &holder, ticket, want, missed).await },
        );
    }
    holder.changed.notify_one();
}

/// When the runner has the adapter; nothing if it has to be loaded.
fn adapter_ready(
    holder: &HeldRunner,
    want: &GenerationRequest,
    missed: bool,
    engine: &Engine,
    now: Instant,
) -> Option<Instant> {
    match holder.state().adapter_state(&want.target, engine.adapter_slots, now) {
        AdapterState::Ready if !missed => Some(now),
        AdapterState::Loading(left) if !missed => Some(now + left),
        _ => None,
    }
}

fn enqueue(
    shared: &Shared,
    holder: &HeldRunner,
    ticket: Ticket,
    want: &GenerationRequest,
    ready: Option<Instant>,
) {
    let now = shared.now();
    let mut state = holder.state();
    let work = state.prefill_time(want, &shared.engine_timings());
    state.prefill_queue.push(QueuedPrompt {
        ticket,
        prefill_time: work,
        kv_tokens: want.size.tokens(),
        urgency: want.urgency,
        target: now + want.target_time,
        deadline: now + want.wait_limit,
        adapter_ready_at: ready,
    });
}

/// Has the adapter of a request that waits loaded.
async fn prepare(
    shared: &Shared,
    holder: &HeldRunner,
    ticket: Ticket,
    want: GenerationRequest,
    missed: bool,
) {
    match holder.load_adapter(want.target, missed).await {
        Some(ready) => {
            holder.state().prefill_queue.set_adapter_ready(ticket, shared.now() + ready)
        }
        None => decide(shared, holder, ticket, Verdict::Denied),
    }
    holder.changed.notify_one();
}

/// Takes in that a request is not sent after all.
pub fn withdraw(holder: &HeldRunner, asker: RequestKey) {
    let Some(entry) = holder.admissions().open.swap_remove(&asker) else { return };
    holder.state().prefill_queue.remove(entry.ticket);
    holder.changed.notify_one();
}

/// Takes in the first event of a request that was sent in its turn.
pub fn record_first_event(
    shared: &Shared,
    holder: &HeldRunner,
    from: MemberId,
    begun: Begun,
) {
    let (ticket, model, unread, sure) = {
        let desk = holder.admissions();
        let Some(entry) = desk.open.get(&(from, begun.number)) else { return };
        (entry.ticket, entry.want.target.model.clone(), entry.unread, entry.sure)
    };
    let time = Duration::from_millis(begun.after_ms.into());
    let base = shared.engine_timings().first_event_overhead(&model);
    let free = holder.state().prefill_queue.record_first_event(ticket, time, base);
    if free && sure {
        shared.engine_timings().record_first_event(&model, unread, time);
    }
}

/// Sees to a runner's lane until its claim is lost.
pub async fn run(shared: Arc<Shared>, holder: Weak<HeldRunner>) {
    loop {
        let Some(held) = holder.upgrade() else { return };
        let Some(until) = next(&shared, &held) else { continue };
        let until = tokio::time::Instant::from_std(until);
        // Either something changed or it is time to look again.
        let _ = timeout_at(until, held.changed.notified()).await;
    }
}

/// Decides about the next request; returns until when nothing more can be decided.
fn next(shared: &Shared, holder: &HeldRunner) -> Option<Instant> {
    let now = shared.now();
    let later = now + PATIENCE;
    let Some(room) = room(shared, holder, now) else {
        deny_all(shared, holder);
        return Some(later);
    };
    let next = holder.state().prefill_queue.next_action(room, now);
    match next {
        PrefillAction::Send(waiting) => {
            decide(shared, holder, waiting.ticket, Verdict::Send)
        }
        PrefillAction::Expired(waiting) => {
            decide(shared, holder, waiting.ticket, Verdict::Denied)
        }
        PrefillAction::WaitUntil(until) => return Some(until.min(later)),
        PrefillAction::Idle => return Some(later),
    }
    None
}

/// Sends all that wait elsewhere: the runner takes no new requests.
///
/// A request that waited through the runner's notice would reach it after the time
/// in which all daemons have to stop sending.
fn deny_all(shared: &Shared, holder: &HeldRunner) {
    let waiting = holder.admissions().undecided();
    for ticket in waiting {
        decide(shared, holder, ticket, Verdict::Denied);
    }
}

/// Decides what becomes of a request and tells who asked.
fn decide(shared: &Shared, holder: &HeldRunner, ticket: Ticket, verdict: Verdict) {
    let now = shared.now();
    let (asker, reply, want) = {
        let mut desk = holder.admissions();
        let Some((asker, entry)) = desk.find(ticket) else { return };
        entry.decided = Some((verdict, now));
        let reply = match &entry.reply {
            Some(Reply::There(addr)) => Some(Reply::There(*addr)),
            _ => entry.reply.take(),
        };
        (asker, reply, entry.want.clone())
    };
    match verdict {
        Verdict::Send => note_sent(shared, holder, ticket, &want),
        Verdict::Denied | Verdict::Queued | Verdict::Moved => {
            holder.state().prefill_queue.remove(ticket);
            info!(shared.log, "turn denied"; "server" => holder.server.to_string(),
                "daemon" => asker.0.to_string(), "number" => asker.1);
        }
    }
    if let Some(reply) = reply {
        answer(shared, asker.1, reply, verdict);
    }
}

fn note_sent(
    shared: &Shared,
    holder: &HeldRunner,
    ticket: Ticket,
    want: &GenerationRequest,
) {
    let now = shared.now();
    let capacity = shared.engine_of(&holder.server).map_or(0, |engine| engine.kv_tokens);
    let (unread, sure) = {
        let mut state = holder.state();
        let unread = state.uncached_tokens(want);
        let doubtful = state.prefix_cache.uncertain_tokens(&want.target, &want.parts);
        state.prefix_cache.record_sent(&want.target, &want.parts, capacity);
        state.mark_adapter_used(&want.target, now);
        (unread, f64::from(doubtful) <= DOUBTFUL_SHARE * f64::from(unread))
    };
    if let Some((_, entry)) = holder.admissions().find(ticket) {
        (entry.unread, entry.sure) = (unread, sure);
    }
}

fn answer(shared: &Shared, number: u64, reply: Reply<Verdict>, verdict: Verdict) {
    reply.send(&shared.peers, verdict, |verdict| Message::Taken { number, verdict });
}

/// What the runner has room for; nothing if it takes no new requests.
fn room(shared: &Shared, holder: &HeldRunner, now: Instant) -> Option<RunnerCapacity> {
    let open = {
        let fleet = shared.fleet();
        let server = fleet.get(fleet.key(&holder.server)?)?;
        fleet.is_listed(server, now)
    };
    if !open {
        return None;
    }
    let engine = shared.engine_of(&holder.server)?;
    let total = holder.state().total_usage(now);
    Some(RunnerCapacity {
        requests: engine.slots.saturating_sub(total.requests),
        kv_tokens: engine.usable_kv_tokens().saturating_sub(total.kv_tokens),
        max_event_gap: shared
            .declarations()
            .and_then(|declared| declared.min_event_gap()),
        step_time: shared.engine_timings().step_time(),
        steps_per_event: engine.event_tokens,
    })
}
