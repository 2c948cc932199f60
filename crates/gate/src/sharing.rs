//! Applies the division of a runner between requests, at the holder of its claim.

use std::time::{Duration, Instant};

use chestnut_base::Incarnation;
use chestnut_edge::Engine;
use chestnut_pool::{
    PrefillAction, QueuedPrompt, RunnerCapacity, RunnerOccupancy, RunnerView,
    SharingLimits, Ticket,
};
use slog::info;

use crate::holder::HeldRunner;
use crate::message::Message;
use crate::metrics::Step;
use crate::settings::Policy;
use crate::shared::Shared;
use crate::yielding;

/// Decides what to do next with a runner's prefill queue, and records what is sent.
pub fn next_action(
    shared: &Shared,
    runner: &HeldRunner,
    capacity: RunnerCapacity,
    now: Instant,
) -> PrefillAction {
    let policy = shared.policy_of(&runner.server);
    if !(policy.account_shares || policy.yielding) {
        return runner.state().prefill_queue.next_action(capacity, now);
    }
    let Some(engine) = shared.engine_of(&runner.server) else {
        return runner.state().prefill_queue.next_action(capacity, now);
    };
    let (load, limits, action) = {
        let mut state = runner.state();
        let service_time = state.speed.service_time(&shared.engine_timings());
        let load = load(&state, &engine, service_time, now);
        let limits = limits(&state, policy, load, now);
        let action = state.prefill_queue.next_shared_action(capacity, &limits, now);
        (load, limits, action)
    };
    if let PrefillAction::Send(prompt) = &action {
        record_admitted(shared, runner, prompt, load, &limits, now);
    }
    if may_ask(policy, &action) {
        stop_streams(shared, runner, load, &limits, now);
    }
    action
}

/// Whether daemons may be asked to stop streams after this action.
pub fn may_ask(policy: Policy, action: &PrefillAction) -> bool {
    policy.yielding
        && match action {
            PrefillAction::WaitUntil(_) | PrefillAction::Idle => true,
            PrefillAction::Send(_)
            | PrefillAction::Expired(_)
            | PrefillAction::Refuse(..) => false,
        }
}

/// Asks daemons to stop latency-tolerant streams, if more urgent prompts would miss their
/// targets for lack of a slot.
fn stop_streams(
    shared: &Shared,
    runner: &HeldRunner,
    load: RunnerOccupancy,
    limits: &SharingLimits,
    now: Instant,
) {
    if load.requests < load.slots {
        return;
    }
    let Some(server) = incarnation(shared, runner) else { return };
    let (blocked, by_daemon) = {
        let mut state = runner.state();
        // The limit that the runner announces holds up prompts, not a lack of slots.
        if state.next_request_at().is_some_and(|at| now < at) {
            return;
        }
        let slot_interval = load.service_time / load.slots.max(1);
        let queue = &state.prefill_queue;
        let blocked = queue.blocked_by_slots(limits, slot_interval, now);
        let by_daemon = state.sharing.streams_to_stop(&blocked, now);
        (blocked.len(), by_daemon)
    };
    for (daemon, count) in by_daemon {
        let addr = shared.membership().member_row(daemon).map(|member| member.peer_addr);
        shared.metrics.count(Step::Yield, "asked");
        info!(shared.log, "asking for streams to yield"; "server" => server.server.as_str(),
            "daemon" => daemon.to_string(), "count" => count, "blocked" => blocked,
            "requests" => load.requests,
            "service_ms" => load.service_time.as_millis() as u64);
        if daemon == shared.peers.me {
            yielding::stop_streams(shared, &server, count);
        } else if let Some(addr) = addr {
            let server = server.clone();
            shared.peers.send(addr, Message::YieldRequest { server, count });
        }
    }
}

fn incarnation(shared: &Shared, runner: &HeldRunner) -> Option<Incarnation> {
    let fleet = shared.fleet();
    Some(fleet.get(fleet.key(&runner.server)?)?.incarnation())
}

/// Records that a request that was admitted is not sent.
pub fn record_withdrawn(shared: &Shared, runner: &HeldRunner, ticket: Ticket) {
    runner.state().sharing.record_withdrawn(ticket, shared.now());
}

fn record_admitted(
    shared: &Shared,
    runner: &HeldRunner,
    prompt: &QueuedPrompt,
    load: RunnerOccupancy,
    limits: &SharingLimits,
    now: Instant,
) {
    let request = runner
        .admissions()
        .request(prompt.ticket)
        .map(|(from, request)| (from, request.size.max_output_tokens));
    let Some((from, output_tokens)) = request else { return };
    let stream_time =
        prompt.prefill_time + shared.engine_timings().step_time() * output_tokens;
    let (ratio, patient, urgent_load) = {
        let mut state = runner.state();
        let patient = state.sharing.patient_requests(load, now);
        let urgent_load = state.sharing.urgent_load(now);
        let account = prompt.class.account.as_deref();
        let ratio = account.map(|account| state.sharing.share_ratio(account));
        state.sharing.record_admitted(from, prompt, stream_time, load.service_time, now);
        (ratio, patient, urgent_load)
    };
    let outcome = match (prompt.class.patient, limits.is_over_share(prompt)) {
        (true, _) => "patient",
        (false, true) => "over share",
        (false, false) => "urgent",
    };
    shared.metrics.count(Step::Share, outcome);
    info!(shared.log, "admitted by share"; "server" => runner.server.to_string(),
        "ticket" => prompt.ticket.0, "class" => outcome,
        "account" => prompt.class.account.as_deref(), "share_ratio" => ratio,
        "requests" => load.requests, "patient_requests" => patient,
        "patient_slots" => limits.patient_slots, "urgent_load" => urgent_load,
        "stream_ms" => stream_time.as_millis() as u64);
}

/// How a runner is divided now; without effect where accounts have no shares.
pub fn limits(
    state: &RunnerView,
    policy: Policy,
    load: RunnerOccupancy,
    now: Instant,
) -> SharingLimits {
    match policy.account_shares {
        true => state.sharing.limits(state.prefill_queue.accounts(), load, now),
        false => SharingLimits::default(),
    }
}

/// What determines how a runner is divided.
pub fn load(
    state: &RunnerView,
    engine: &Engine,
    service_time: Duration,
    now: Instant,
) -> RunnerOccupancy {
    let requests = state.total_usage(now).requests;
    RunnerOccupancy { slots: engine.slots, requests, service_time }
}
