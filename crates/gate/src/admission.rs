//! Admits requests of all daemons to a runner.
//!
//! A daemon requests admission, and repeats its request until it receives the verdict: the
//! request may be sent to the runner, or it may not. The repetition covers lost messages; a
//! repeated request that was already decided gets the same verdict again.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_edge::Engine;
use chestnut_pool::prefill_queue::FORECAST_INTERVAL;
use chestnut_pool::{
    AdapterState, GenerationRequest, PrefillAction, QueuedPrompt, RequestClass,
    RequestKey, RunnerCapacity, RunnerLoad, Ticket,
};
use indexmap::IndexMap;
use slog::info;
use tokio::time::timeout_at;

use crate::holder::HeldRunner;
use crate::message::{AdmissionVerdict, FirstEvent, Message};
use crate::metrics::Step;
use crate::pace;
use crate::peers::ReplyTo;
use crate::server_speeds;
use crate::shared::Shared;
use crate::sharing;

/// How long a decided request is retained.
///
/// Daemons repeat a request within a fraction of a second, and first events arrive later.
const DECISION_TTL: Duration = Duration::from_secs(3);

/// The longest time between two checks of the prefill queue; usage reports of failed
/// daemons decay in the meantime.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The largest share of a prompt's uncached tokens that the runner may have cached without
/// this daemon's knowledge, for the time to the first event to count as a measurement.
///
/// The uncertainty makes prefill look faster by half that share at most. With a smaller share,
/// prompts of many sessions, whose prefixes few requests have in common, provide next to no
/// measurements.
const MAX_UNCERTAIN_SHARE: f64 = 0.15;

/// The time between an admission and the sending of the request, and the error of estimates
/// of prefill times.
const SEND_MARGIN: Duration = Duration::from_millis(30);

/// A daemon's request to be admitted to a runner.
pub struct AdmissionRequest {
    /// Identifies the request: the daemon and its number.
    pub key: RequestKey,
    /// What the request needs.
    pub request: GenerationRequest,
    /// Whether the runner has just rejected the request because it lacks the adapter.
    pub adapter_missing: bool,
    /// What distinguishes it from others of the same urgency.
    pub class: RequestClass,
    /// Whether its daemon understands [`AdmissionVerdict::Full`].
    pub refusable: bool,
}

/// The requests that wait for admission to a runner, and those decided recently.
#[derive(Default)]
pub struct AdmissionTable {
    last_ticket: u64,
    entries: IndexMap<RequestKey, AdmissionEntry>,
    /// Whether this daemon has lost the runner's claim. From then on no request is queued, and
    /// all entries are decided.
    ended: bool,
}

struct AdmissionEntry {
    ticket: Ticket,
    request: GenerationRequest,
    /// Prompt tokens that were not cached at the runner when the request was sent.
    uncached_tokens: u32,
    /// Whether `uncached_tokens` is reliable; the runner may have cached parts before
    /// this daemon held its claim.
    is_certain: bool,
    /// Where the verdict goes; `None` once a request of this daemon has received it.
    reply: Option<ReplyTo<AdmissionVerdict>>,
    /// The verdict and its time, once decided.
    decision: Option<(AdmissionVerdict, Instant)>,
}

impl AdmissionTable {
    /// The verdict on a request that was entered before, or after the claim was lost.
    fn verdict(&self, key: RequestKey) -> Option<AdmissionVerdict> {
        if self.ended {
            return Some(AdmissionVerdict::Moved);
        }
        let entry = self.entries.get(&key)?;
        Some(entry.decision.map_or(AdmissionVerdict::Queued, |(verdict, _)| verdict))
    }

    fn insert(
        &mut self,
        key: RequestKey,
        request: GenerationRequest,
        reply: ReplyTo<AdmissionVerdict>,
        now: Instant,
    ) -> Ticket {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DECISION_TTL;
        self.entries
            .retain(|_, entry| entry.decision.is_none_or(|(_, at)| is_recent(at)));
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let (uncached_tokens, reply) = (request.size.prompt_tokens, Some(reply));
        let entry = AdmissionEntry {
            ticket,
            request,
            uncached_tokens,
            is_certain: false,
            reply,
            decision: None,
        };
        self.entries.insert(key, entry);
        ticket
    }

    fn find(&mut self, ticket: Ticket) -> Option<(RequestKey, &mut AdmissionEntry)> {
        let mut entries = self.entries.iter_mut();
        let (key, entry) = entries.find(|(_, entry)| entry.ticket == ticket)?;
        Some((*key, entry))
    }

    /// The daemon that requested the admission of a prompt, and what the request needs.
    pub fn request(&self, ticket: Ticket) -> Option<(MemberId, &GenerationRequest)> {
        let mut entries = self.entries.iter();
        let (key, entry) = entries.find(|(_, entry)| entry.ticket == ticket)?;
        Some((key.0, &entry.request))
    }

    fn undecided(&self) -> Vec<Ticket> {
        let entries = self.entries.values().filter(|entry| entry.decision.is_none());
        entries.map(|entry| entry.ticket).collect()
    }
}

/// Queues a request for admission, or repeats the verdict if it was entered before.
pub fn request_admission(
    shared: &Arc<Shared>,
    runner: &Arc<HeldRunner>,
    admission: AdmissionRequest,
    reply: ReplyTo<AdmissionVerdict>,
) {
    let AdmissionRequest { key, request, adapter_missing, class, refusable } = admission;
    let previous_verdict = runner.admissions().verdict(key);
    if let Some(verdict) = previous_verdict {
        return send_verdict(shared, key.1, reply, verdict);
    }
    let Some(engine) = shared.engine_of(&runner.server) else {
        return send_verdict(shared, key.1, reply, AdmissionVerdict::Denied);
    };
    if let ReplyTo::Remote(addr) = &reply {
        let message = Message::AdmissionResponse {
            number: key.1,
            verdict: AdmissionVerdict::Queued,
        };
        shared.peers.send(*addr, message);
    }
    let now = shared.now();
    let ticket = runner.admissions().insert(key, request.clone(), reply, now);
    let ready = adapter_ready_at(runner, &request, adapter_missing, &engine, now);
    enqueue(shared, runner, ticket, &request, class, ready);
    if refusable {
        runner.state().prefill_queue.allow_refusal(ticket);
    }
    if ready.is_none() {
        let (shared, runner) = (shared.clone(), runner.clone());
        tokio::spawn(async move {
            load_adapter(&shared, &runner, ticket, request, adapter_missing).await
        });
    }
    runner.changed.notify_one();
}

/// When the adapter is ready at the runner; `None` if it has to be loaded.
fn adapter_ready_at(
    runner: &HeldRunner,
    request: &GenerationRequest,
    adapter_missing: bool,
    engine: &Engine,
    now: Instant,
) -> Option<Instant> {
    match runner.state().adapter_state(&request.target, engine.adapter_slots, now) {
        AdapterState::Ready if !adapter_missing => Some(now),
        AdapterState::Loading(left) if !adapter_missing => Some(now + left),
        _ => None,
    }
}

fn enqueue(
    shared: &Shared,
    runner: &HeldRunner,
    ticket: Ticket,
    request: &GenerationRequest,
    class: RequestClass,
    ready: Option<Instant>,
) {
    let now = shared.now();
    let target = now + request.target_time;
    let target =
        target.checked_sub(time_after_start(shared, runner, request)).unwrap_or(now);
    let mut state = runner.state();
    let prefill_time = state.prefill_time(request, &shared.engine_timings());
    state.prefill_queue.push(QueuedPrompt {
        ticket,
        prefill_time,
        kv_tokens: request.size.max_kv_tokens(),
        urgency: request.urgency,
        target,
        deadline: now + request.wait_limit,
        class,
        adapter_ready_at: ready,
    });
}

/// The time from sending a prompt to its first event besides prefill, by which it has to be
/// sent earlier; zero where queues are left to bids.
///
/// With long queues, most prompts are sent when they are about to be late. Without this time
/// they are late by 20 to 100 ms instead.
fn time_after_start(
    shared: &Shared,
    runner: &HeldRunner,
    request: &GenerationRequest,
) -> Duration {
    let policy = shared.policy_of(&runner.server);
    if !(policy.early_refusal || policy.late_binding) {
        return Duration::ZERO;
    }
    let (state, model) = (runner.state(), &request.target.model);
    state.speed.first_event_overhead(model, &shared.engine_timings()) + SEND_MARGIN
}

/// Loads the adapter of a queued request; denies the request if that fails.
async fn load_adapter(
    shared: &Shared,
    runner: &HeldRunner,
    ticket: Ticket,
    request: GenerationRequest,
    adapter_missing: bool,
) {
    match runner.load_adapter(request.target, adapter_missing).await {
        Some(ready) => {
            runner.state().prefill_queue.set_adapter_ready(ticket, shared.now() + ready)
        }
        None => decide(shared, runner, ticket, AdmissionVerdict::Denied),
    }
    runner.changed.notify_one();
}

/// Removes a request that its daemon no longer wants to send.
///
/// With late binding, daemons withdraw requests that were admitted at the same time as at
/// another runner; what was recorded for them is undone.
pub fn withdraw(shared: &Shared, runner: &HeldRunner, key: RequestKey) {
    let Some(entry) = runner.admissions().entries.swap_remove(&key) else { return };
    runner.state().pace.forget(key);
    sharing::record_withdrawn(shared, runner, entry.ticket);
    if !shared.policy_of(&runner.server).late_binding {
        runner.state().prefill_queue.remove(entry.ticket);
        return runner.changed.notify_one();
    }
    let now = shared.now();
    match entry.decision {
        None => drop(runner.state().prefill_queue.withdraw(entry.ticket, now)),
        Some((AdmissionVerdict::Send, sent_at)) => {
            undo_sent_request(shared, runner, key, &entry, sent_at, now);
        }
        Some(_) => {}
    }
    runner.changed.notify_one();
}

/// Undoes [`record_sent_request`] for a request that its daemon does not send.
fn undo_sent_request(
    shared: &Shared,
    runner: &HeldRunner,
    key: RequestKey,
    entry: &AdmissionEntry,
    sent_at: Instant,
    now: Instant,
) {
    let (ticket, uncached_tokens) = (entry.ticket, entry.uncached_tokens);
    runner.state().undo_sent_request(
        &entry.request,
        ticket,
        uncached_tokens,
        sent_at,
        now,
    );
    shared.metrics.count(Step::LateBinding, "undone");
    let age = now.saturating_duration_since(sent_at);
    info!(shared.log, "admission undone"; "server" => runner.server.to_string(),
        "daemon" => key.0.to_string(), "number" => key.1,
        "age_ms" => age.as_millis() as u64);
}

/// Records the first event of an admitted request.
pub fn record_first_event(
    shared: &Shared,
    runner: &HeldRunner,
    from: MemberId,
    first_event: FirstEvent,
) {
    let time = Duration::from_millis(first_event.after_ms.into());
    pace::record_answer(shared, runner, (from, first_event.number), time);
    let (ticket, model, uncached_tokens, is_certain) = {
        let admissions = runner.admissions();
        let Some(entry) = admissions.entries.get(&(from, first_event.number)) else {
            return;
        };
        (
            entry.ticket,
            entry.request.target.model.clone(),
            entry.uncached_tokens,
            entry.is_certain,
        )
    };
    let engine_was_free = {
        let mut state = runner.state();
        state.sharing.record_first_event(ticket);
        let overhead = state.speed.first_event_overhead(&model, &shared.engine_timings());
        state.prefill_queue.record_first_event(ticket, time, overhead)
    };
    if engine_was_free && is_certain {
        let time = server_speeds::record_first_event(
            shared,
            runner,
            &model,
            uncached_tokens,
            time,
        );
        shared.engine_timings().record_first_event(&model, uncached_tokens, time);
    }
}

/// Ends the admission of requests to a runner whose claim this daemon has lost.
///
/// All daemons report their usage to the next holder from now on, so that the view of this one
/// would soon show an idle runner. The waiting requests are told to ask the next holder.
pub fn end(shared: &Shared, runner: &HeldRunner) {
    runner.admissions().ended = true;
    let waiting = runner.admissions().undecided();
    let usage = runner.state().total_usage(shared.now());
    info!(shared.log, "admission ended"; "server" => runner.server.to_string(),
        "waiting" => waiting.len(), "requests" => usage.requests);
    for ticket in waiting {
        decide(shared, runner, ticket, AdmissionVerdict::Moved);
    }
    runner.changed.notify_one();
}

/// Admits requests to a runner until its claim is lost.
pub async fn run(shared: Arc<Shared>, runner: Weak<HeldRunner>) {
    loop {
        let Some(runner) = runner.upgrade() else { return };
        if runner.admissions().ended {
            return;
        }
        let Some(until) = decide_next(&shared, &runner) else { continue };
        let until = tokio::time::Instant::from_std(until);
        // Ends early when the runner's state changes.
        let _ = timeout_at(until, runner.changed.notified()).await;
    }
}

/// Decides the next request; returns when to check again if none can be decided now.
fn decide_next(shared: &Shared, runner: &HeldRunner) -> Option<Instant> {
    let now = shared.now();
    let latest_check = now + MAX_CHECK_INTERVAL;
    let Some(free_capacity) = free_capacity(shared, runner, now) else {
        deny_all(shared, runner);
        return Some(latest_check);
    };
    let report_wait = runner.state().report_wait(now);
    if !report_wait.is_zero() {
        return Some(latest_check.min(now + report_wait));
    }
    let (refusal, latest_check) = early_refusal(shared, runner, latest_check, now);
    let action = refusal
        .unwrap_or_else(|| sharing::next_action(shared, runner, free_capacity, now));
    match action {
        PrefillAction::Send(queued) => {
            decide(shared, runner, queued.ticket, AdmissionVerdict::Send)
        }
        PrefillAction::Expired(queued) => {
            decide(shared, runner, queued.ticket, AdmissionVerdict::Denied)
        }
        PrefillAction::Refuse(queued, wait) => {
            log_refusal(shared, runner, &queued, wait, now);
            let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            decide(shared, runner, queued.ticket, AdmissionVerdict::Full(wait_ms))
        }
        PrefillAction::WaitUntil(until) => {
            return Some(until.min(latest_check).min(paced_until(runner, now)));
        }
        PrefillAction::Idle => return Some(latest_check.min(paced_until(runner, now))),
    }
    None
}

/// A queued prompt that is refused early, if there is one, and when to check again at the
/// latest.
fn early_refusal(
    shared: &Shared,
    runner: &HeldRunner,
    latest_check: Instant,
    now: Instant,
) -> (Option<PrefillAction>, Instant) {
    let policy = shared.policy_of(&runner.server);
    if !policy.early_refusal {
        return (None, latest_check);
    }
    let Some(engine) = shared.engine_of(&runner.server) else {
        return (None, latest_check);
    };
    let mut state = runner.state();
    if state.prefill_queue.is_empty() {
        return (None, latest_check);
    }
    let service_time = state.speed.service_time(&shared.engine_timings());
    let load = RunnerLoad {
        slots: engine.slots,
        kv_tokens: engine.usable_kv_tokens(),
        usage: state.total_usage(now),
        service_time,
    };
    let occupancy = sharing::load(&state, &engine, service_time, now);
    let limits = sharing::limits(&state, policy, occupancy, now);
    let refusal = state.prefill_queue.refuse_hopeless(&load, &limits, now);
    (refusal, latest_check.min(now + FORECAST_INTERVAL))
}

fn log_refusal(
    shared: &Shared,
    runner: &HeldRunner,
    queued: &QueuedPrompt,
    wait: Duration,
    now: Instant,
) {
    shared.metrics.count(Step::EarlyRefusal, "denied");
    let (usage, queue_len, share) = {
        let state = runner.state();
        let queue = &state.prefill_queue;
        (state.total_usage(now), queue.len(), queue.started_share())
    };
    let request = runner.admissions().find(queued.ticket).map(|(key, _)| key);
    let (daemon, number) =
        request.map(|(member, number)| (member.to_string(), number)).unzip();
    let left = queued.deadline.saturating_duration_since(now);
    info!(shared.log, "no start expected before the caller leaves";
        "server" => runner.server.to_string(), "daemon" => daemon, "number" => number,
        "expected_ms" => wait.as_millis() as u64, "left_ms" => left.as_millis() as u64,
        "urgency" => queued.urgency, "late" => queued.target <= now,
        "running" => usage.requests, "queued" => queue_len,
        "started_share" => share);
}

/// Until when the limit that the runner announces holds up requests; a later time if it
/// holds up none.
fn paced_until(runner: &HeldRunner, now: Instant) -> Instant {
    let ready_at = runner.state().next_request_at().filter(|at| now < *at);
    ready_at.unwrap_or(now + MAX_CHECK_INTERVAL)
}

/// Denies all queued requests, because the runner accepts no new ones.
///
/// A request that stayed queued while the runner drains could be sent after the time within
/// which all daemons must stop sending to it.
fn deny_all(shared: &Shared, runner: &HeldRunner) {
    let queued = runner.admissions().undecided();
    for ticket in queued {
        decide(shared, runner, ticket, AdmissionVerdict::Denied);
    }
}

/// Decides a request and sends the verdict to its daemon.
fn decide(
    shared: &Shared,
    runner: &HeldRunner,
    ticket: Ticket,
    verdict: AdmissionVerdict,
) {
    let now = shared.now();
    let (key, reply, request) = {
        let mut admissions = runner.admissions();
        let Some((key, entry)) = admissions.find(ticket) else { return };
        // The claim may have been lost while the adapter was loaded.
        if entry.decision.is_some() {
            return;
        }
        entry.decision = Some((verdict, now));
        let reply = match &entry.reply {
            Some(ReplyTo::Remote(addr)) => Some(ReplyTo::Remote(*addr)),
            _ => entry.reply.take(),
        };
        (key, reply, entry.request.clone())
    };
    match verdict {
        AdmissionVerdict::Send => {
            pace::record_sent(shared, runner, key, &request);
            record_sent_request(shared, runner, ticket, &request, now)
        }
        AdmissionVerdict::Denied
        | AdmissionVerdict::Queued
        | AdmissionVerdict::Moved
        | AdmissionVerdict::Full(_) => {
            runner.state().prefill_queue.remove(ticket);
            info!(shared.log, "admission denied"; "server" => runner.server.to_string(),
                "daemon" => key.0.to_string(), "number" => key.1,
                "verdict" => format!("{verdict:?}"));
        }
    }
    if let Some(reply) = reply {
        send_verdict(shared, key.1, reply, verdict);
    }
}

fn record_sent_request(
    shared: &Shared,
    runner: &HeldRunner,
    ticket: Ticket,
    request: &GenerationRequest,
    now: Instant,
) {
    let kv_capacity =
        shared.engine_of(&runner.server).map_or(0, |engine| engine.kv_tokens);
    let (uncached_tokens, is_certain) = {
        let mut state = runner.state();
        let uncached_tokens = state.uncached_tokens(request);
        let uncertain_tokens =
            state.prefix_cache.uncertain_tokens(&request.target, &request.parts);
        state.prefix_cache.record_sent(&request.target, &request.parts, kv_capacity);
        state.mark_adapter_used(&request.target, now);
        state.record_request_sent(now);
        (
            uncached_tokens,
            f64::from(uncertain_tokens)
                <= MAX_UNCERTAIN_SHARE * f64::from(uncached_tokens),
        )
    };
    if let Some((_, entry)) = runner.admissions().find(ticket) {
        (entry.uncached_tokens, entry.is_certain) = (uncached_tokens, is_certain);
    }
}

fn send_verdict(
    shared: &Shared,
    number: u64,
    reply: ReplyTo<AdmissionVerdict>,
    verdict: AdmissionVerdict,
) {
    reply.send(&shared.peers, verdict, |verdict| Message::AdmissionResponse {
        number,
        verdict,
    });
}

/// The runner's free capacity; `None` if it accepts no new requests.
fn free_capacity(
    shared: &Shared,
    runner: &HeldRunner,
    now: Instant,
) -> Option<RunnerCapacity> {
    let incarnation = {
        let fleet = shared.fleet();
        let server = fleet.get(fleet.key(&runner.server)?)?;
        fleet.is_listed(server, now).then(|| server.incarnation())?
    };
    let engine = shared.engine_of(&runner.server)?;
    let limit = shared.server_limits().rate(&incarnation);
    let (usage, is_paced, step_time) = {
        let mut state = runner.state();
        state.set_request_limit(limit, now);
        let is_paced = state.next_request_at().is_some_and(|at| now < at);
        let step_time = state.speed.step_time(&shared.engine_timings());
        (state.total_usage(now), is_paced, step_time)
    };
    let free_slots = engine.slots.saturating_sub(usage.requests);
    let free_slots = pace::free_requests(shared, runner, free_slots, usage.requests, now);
    Some(RunnerCapacity {
        requests: if is_paced { 0 } else { free_slots },
        kv_tokens: engine.usable_kv_tokens().saturating_sub(usage.kv_tokens),
        max_event_gap: shared
            .declarations()
            .and_then(|declared| declared.min_event_gap()),
        step_time,
        steps_per_event: engine.event_tokens,
    })
}
