//! Bounds the requests in flight at runners that have just started or recovered.
//!
//! The holder of a runner decides, by [`ServerPace`](chestnut_pool::ServerPace). It sees first
//! events in usage reports; the daemons report attempts that ended without one. A lost report
//! shows as an overdue first event.

use std::time::{Duration, Instant};

use chestnut_base::{ServerName, ServiceName};
use chestnut_pool::{
    GenerationRequest, PaceChange, PermitOutcome, RequestKey, ServerKey, SilentEnd,
};
use slog::info;

use crate::holder::{self, HeldRunner};
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;

/// For how long after its start a runner's new holder takes it for one that has just started.
///
/// The claim of a new runner is taken within a few seconds. Later holders can't know how the
/// runner fares; a bound would hold back one that is in use.
const START_TIME: Duration = Duration::from_secs(5);

/// Whether a service's runners are bounded after a start or a recovery.
pub fn applies_to(shared: &Shared, service: &ServiceName) -> bool {
    shared.policy(service).server_pace
}

/// Whether the servers of a plain service are bounded after a start or a recovery.
///
/// A plain service has no streams whose objectives could differ; it is bounded where another
/// service of the deployment calls for it.
pub fn applies_to_plain(shared: &Shared) -> bool {
    shared.settings.policy.server_pace
        && shared.profiles.borrow().values().any(|profile| profile.mixed_objectives)
}

fn applies_to_runner(shared: &Shared, server: &ServerName) -> bool {
    // Most deployments leave the setting off, and this is asked for each request.
    shared.settings.policy.server_pace && shared.policy_of(server).server_pace
}

/// Bounds a runner whose claim was just taken, if it has just started.
pub fn start(shared: &Shared, runner: &HeldRunner) {
    let now = shared.now();
    let start_seen_at = {
        let fleet = shared.fleet();
        let server = fleet.key(&runner.server).and_then(|key| fleet.get(key));
        server.and_then(|server| server.start_seen_at)
    };
    let is_recent = |at: Instant| now.saturating_duration_since(at) < START_TIME;
    if !start_seen_at.is_some_and(is_recent) || !applies_to_runner(shared, &runner.server)
    {
        return;
    }
    runner.state().pace.start(now);
    log_runner(shared, runner, Some(PaceChange::Started), now);
}

/// The requests that a runner gets with `free_slots` and `in_flight` requests.
pub fn free_requests(
    shared: &Shared,
    runner: &HeldRunner,
    free_slots: u32,
    in_flight: u32,
    now: Instant,
) -> u32 {
    if !applies_to_runner(shared, &runner.server) {
        let mut state = runner.state();
        if state.pace.limit().is_some() {
            state.pace = Default::default();
        }
        return free_slots;
    }
    let is_ejected = {
        let fleet = shared.fleet();
        let server = fleet.key(&runner.server).and_then(|key| fleet.get(key));
        server.is_some_and(|server| server.health.is_unreachable(now))
    };
    let (changes, free) = {
        let mut state = runner.state();
        let ejected = state.pace.update_ejected(is_ejected, now);
        let overdue = state.pace.check_overdue(now);
        ([ejected, overdue], state.pace.free_requests(in_flight))
    };
    for change in changes {
        log_runner(shared, runner, change, now);
    }
    free.map_or(free_slots, |free| free.min(free_slots))
}

/// Records that a request was admitted to a runner; called before the runner's prefix cache
/// counts its prompt as cached.
pub fn record_sent(
    shared: &Shared,
    runner: &HeldRunner,
    key: RequestKey,
    request: &GenerationRequest,
) {
    if !applies_to_runner(shared, &runner.server) {
        return;
    }
    let now = shared.now();
    let mut state = runner.state();
    let expected = {
        let timings = shared.engine_timings();
        state.prefill_time(request, &timings)
            + timings.first_event_overhead(&request.target.model)
            + timings.step_time()
    };
    state.pace.record_sent(key, expected, now);
}

/// Records the first event of a request `after` it was sent to a runner.
pub fn record_answer(
    shared: &Shared,
    runner: &HeldRunner,
    key: RequestKey,
    after: Duration,
) {
    let Some(engine) = shared.engine_of(&runner.server) else { return };
    let now = shared.now();
    let change = runner.state().pace.record_answer(key, after, engine.slots, now);
    log_runner(shared, runner, change, now);
}

/// Reports to a runner's holder that an attempt ended without a first event.
pub fn report_end(shared: &Shared, key: ServerKey, number: u64, outcome: PermitOutcome) {
    let (server, service) = {
        let fleet = shared.fleet();
        let Some(server) = fleet.get(key) else { return };
        (server.entry.name.clone(), server.entry.service.clone())
    };
    if !applies_to(shared, &service) {
        return;
    }
    if shared.held_runner(&server).is_some() {
        record_end(shared, &server, (shared.peers.me, number), outcome);
    } else if let Some(addr) = holder::holder_addr(shared, &server) {
        shared.peers.send(addr, Message::AttemptEnded { number, server, outcome });
    }
}

/// Records that an attempt at a runner that this daemon holds ended without a first event;
/// ignored for others.
pub fn record_end(
    shared: &Shared,
    server: &ServerName,
    key: RequestKey,
    outcome: PermitOutcome,
) {
    let Some(runner) = shared.held_runner(server) else { return };
    let end = match outcome {
        PermitOutcome::Failed | PermitOutcome::Rejected | PermitOutcome::Unreachable => {
            SilentEnd::Failed
        }
        // The caller left before the first event.
        PermitOutcome::Answered | PermitOutcome::Unused => SilentEnd::Unknown,
    };
    let now = shared.now();
    let change = runner.state().pace.record_end(key, end, now);
    log_runner(shared, &runner, change, now);
    runner.changed.notify_one();
}

fn log_runner(
    shared: &Shared,
    runner: &HeldRunner,
    change: Option<PaceChange>,
    now: Instant,
) {
    let Some(change) = change else { return };
    let (limit, in_flight, answer_time) = {
        let state = runner.state();
        let in_flight = state.total_usage(now).requests;
        (state.pace.limit(), in_flight, state.pace.answer_time())
    };
    let label = count(shared, change);
    info!(shared.log, "server pace changed"; "server" => runner.server.as_str(),
        "change" => label, "limit" => limit, "in_flight" => in_flight,
        "answer_ms" => answer_time.as_millis() as u64);
}

/// Logs and counts a change of the bound of a plain service's server; `limit` is the bound now
/// in force.
pub fn log_plain(
    shared: &Shared,
    server: &ServerName,
    change: PaceChange,
    limit: Option<u32>,
) {
    let label = count(shared, change);
    info!(shared.log, "server pace changed"; "server" => server.as_str(),
        "change" => label, "limit" => limit);
}

fn count(shared: &Shared, change: PaceChange) -> &'static str {
    let label = match change {
        PaceChange::Started => "started",
        PaceChange::Reduced => "reduced",
        PaceChange::Ended => "ended",
    };
    shared.metrics.count(Step::Pace, label);
    label
}
