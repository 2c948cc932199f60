//! Which server gets a request.
//!
//! Load pattern: bursts of generations whose prompts differ a hundredfold, over
//! runners that many daemons send to. A daemon that goes by its own counts sends
//! into queues that it does not see; the busiest runner then has twice the mean.
//! Each runner's holder therefore estimates, from the sums of all daemons, when a
//! request's first event would come, and the daemon takes the least estimate.
//!
//! A prompt may be so long that its reading alone pauses all streams on its runner for too
//! long. Spread evenly, a few such prompts a second make streams late on every runner. They
//! go where fewest run, and other requests avoid runners that get them, so that one replica
//! of a model takes most.
//!
//! A runner whose places or whose KV cache is taken has room again as its streams end.
//! An estimate that leaves this out is a tenth of the wait at a runner that is full, and
//! requests stay in line there while others of the model have room.

use std::time::{Duration, Instant};

use chestnut_base::DomainName;
use chestnut_edge::{Engine, GenerationSize, PromptPart, TargetModel};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::fleet::{Server, ServerKey};
use crate::prefill_queue::Backlog;
use crate::runner::{AdapterState, RunnerView};
use crate::timing::EngineTimings;
use crate::usage::Usage;

/// What a generation needs.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// The model.
    pub target: TargetModel,
    /// The size of the generation.
    pub size: GenerationSize,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// How urgent it is; 0 goes first.
    pub urgency: u8,
    /// The time that is left to a first event that is on time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_time: Duration,
    /// How much longer the caller waits for a first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "patience")]
    pub wait_limit: Duration,
}

/// An estimate of how soon a server would answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bid {
    /// The time to the first event, in milliseconds.
    #[serde(rename = "wait")]
    pub wait_ms: f64,
    /// That time, with what the request costs itself and others besides; the least is
    /// chosen.
    #[serde(rename = "cost")]
    pub cost_ms: f64,
    /// Requests in flight there, from all daemons.
    pub requests: u32,
}

/// A server that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// What its holder estimates.
    pub bid: Bid,
}

/// How much later the events of an answer are for each request that runs, in
/// milliseconds of a first event's wait.
const RUN_COST: f64 = 2.0;

/// What an earlier failure costs, in milliseconds.
const FAILURE_COST: f64 = 400.0;

/// What a way to another failure domain costs, in milliseconds.
///
/// More than the two milliseconds that it takes: what goes between failure domains is
/// paid for.
pub(crate) const DOMAIN_COST: f64 = 8.0;

/// What the load of an adapter costs, in milliseconds: the load and two orders.
const ADAPTER_COST: f64 = 25.0;

/// What it costs to take the place of another adapter, in milliseconds; it may be
/// asked for again.
const EVICTION_COST: f64 = 40.0;

/// What it costs to wait for a place among adapters in use, in milliseconds.
const FULL_COST: f64 = 2000.0;

/// What it costs to pause one stream of another caller for too long, and all on a runner
/// at most, in milliseconds.
const PAUSED_STREAM: f64 = 20.0;
const PAUSED_MOST: f64 = 500.0;

/// What it costs a request to be paused for too long itself, in milliseconds.
const PAUSED_COST: f64 = 250.0;

/// What a server costs whose holder did not answer, in milliseconds.
pub const UNRESPONSIVE_HOLDER_COST_MS: f64 = 60.0;

/// Estimates a server's answer from what is in flight there, if a token is read in `token`.
pub fn estimate_wait_ms(usage: Usage, size: GenerationSize, token: Duration) -> f64 {
    let unread = usage.pending_prompt_tokens as f64 + f64::from(size.prompt);
    unread * millis(token) + f64::from(usage.requests) * RUN_COST
}

/// The estimate of a runner's holder.
pub fn bid(
    runner: &RunnerView,
    want: &GenerationRequest,
    speeds: &EngineTimings,
    engine: &Engine,
    now: Instant,
) -> Bid {
    let requests = runner.total_usage(now).requests;
    if runner.is_unloading(&want.target.model) {
        return Bid { wait_ms: f64::INFINITY, cost_ms: f64::INFINITY, requests };
    }
    // The runner takes one order at a time.
    let busy = millis(runner.order_time_left(now));
    let prepare = match runner.adapter_state(&want.target, engine.adapter_slots, now) {
        AdapterState::Ready => 0.0,
        AdapterState::Loading(left) => millis(left),
        AdapterState::SlotFree => busy + ADAPTER_COST,
        AdapterState::NeedsEviction => busy + ADAPTER_COST + EVICTION_COST,
        AdapterState::SlotsInUse => busy + FULL_COST,
    };
    let ahead =
        runner.prefill_queue.backlog_ahead(want.urgency, want.target_time.is_zero(), now);
    let room = room_wait(
        runner.total_usage(now),
        ahead,
        want.size,
        engine,
        speeds.service_time(),
    );
    let wait = millis(ahead.prefill_time).max(prepare).max(room);
    let reading = runner.prefill_time(want, speeds);
    let pauses = pause_cost(runner, reading, requests, speeds.service_time(), now);
    let wait = wait + millis(reading) + f64::from(requests) * RUN_COST;
    Bid { wait_ms: wait, cost_ms: wait + pauses, requests }
}

/// What streams that are paused for too long cost, in milliseconds: those that run, if
/// this prompt is long, and otherwise the request itself, by the long prompts that come.
fn pause_cost(
    runner: &RunnerView,
    reading: Duration,
    requests: u32,
    stay: Duration,
    now: Instant,
) -> f64 {
    if runner.prefill_queue.exceeds_event_gap(reading) {
        return (f64::from(requests) * PAUSED_STREAM).min(PAUSED_MOST);
    }
    let met = runner.prefill_queue.long_prompt_rate(now) * stay.as_secs_f64();
    met.min(1.0) * PAUSED_COST
}

/// The wait for a place and for room in the KV cache, in milliseconds.
///
/// Requests stay for `stay` in the mean.
fn room_wait(
    usage: Usage,
    ahead: Backlog,
    size: GenerationSize,
    engine: &Engine,
    stay: Duration,
) -> f64 {
    let requests = f64::from(usage.requests + ahead.requests + 1);
    let tokens = (usage.kv_tokens + ahead.kv_tokens + size.tokens()) as f64;
    // As streams end one by one, a share of the room is free after that share of a stay.
    let short = |need: f64, room: f64| ((need - room) / room.max(1.0)).max(0.0);
    let places = short(requests, f64::from(engine.slots));
    places.max(short(tokens, engine.usable_kv_tokens() as f64)) * millis(stay)
}

/// What a daemon itself adds to a server's cost, in milliseconds.
pub fn local_cost_ms(server: &Server, domain: &DomainName, now: Instant) -> f64 {
    let away = if server.entry.domain == *domain { 0.0 } else { DOMAIN_COST };
    server.health.penalty(now) * FAILURE_COST + away
}

/// Picks a server for a plain request by this daemon's own counts.
pub fn choose<'a>(
    servers: impl Iterator<Item = (ServerKey, &'a Server)>,
    domain: &DomainName,
    now: Instant,
) -> Option<Candidate> {
    let candidate = |(key, server): (ServerKey, &Server)| {
        let requests = f64::from(server.own_usage.requests);
        let cost = requests * RUN_COST + local_cost_ms(server, domain, now);
        let bid =
            Bid { wait_ms: cost, cost_ms: cost, requests: server.own_usage.requests };
        Candidate { key, bid }
    };
    servers.map(candidate).min_by(|a, b| a.bid.cost_ms.total_cmp(&b.bid.cost_ms))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
