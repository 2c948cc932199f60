//! Decides which server gets a request.
//!
//! Load pattern: bursts of generations whose prompt lengths differ a hundredfold, over
//! runners that many daemons send to. A daemon that uses only its own counts adds to
//! queues that it does not see, and the busiest runner gets twice the mean load. Each
//! runner's holder therefore estimates, from the usage reports of all daemons, when the
//! first event of a request would come, and the daemon takes the lowest estimate.
//!
//! A prompt may be so long that its prefill alone exceeds the event gap limit of all
//! streams on its runner. Spread evenly, a few such prompts a second make streams late on
//! every runner. They therefore go where the fewest requests run, and other requests avoid
//! runners that get them, so that one replica of a model takes most of them.
//!
//! A runner whose slots or KV cache are full has room again as its streams end. An
//! estimate that ignores this is a tenth of the real wait at a full runner, and requests
//! queue there while other replicas of the model have room.

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

/// A generation that is to be sent to a runner.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// The model, with an adapter if one is wanted.
    pub target: TargetModel,
    /// Tokens of the prompt and, at most, of the output.
    pub size: GenerationSize,
    /// Parts of the prompt, in order; a runner may have a common prefix cached.
    pub parts: Vec<PromptPart>,
    /// 0 is the most urgent and goes first.
    pub urgency: u8,
    /// Time left until the first event is late; zero if it already is.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_time: Duration,
    /// How much longer the caller waits for the first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "patience")]
    pub wait_limit: Duration,
}

/// A holder's estimate for sending a request to its runner.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bid {
    /// Estimated time to the first event, in milliseconds.
    #[serde(rename = "wait")]
    pub wait_ms: f64,
    /// `wait_ms` plus penalties for the effect on other requests; the lowest is chosen.
    #[serde(rename = "cost")]
    pub cost_ms: f64,
    /// Requests in flight at the runner, from all daemons.
    pub requests: u32,
}

/// A server that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server's key in this daemon's fleet.
    pub key: ServerKey,
    /// The estimate of its holder, or of this daemon where there is none.
    pub bid: Bid,
}

/// Cost of each request that runs at a server: it delays all events of a response.
const RUNNING_REQUEST_COST_MS: f64 = 2.0;

/// Cost of each recent failure of a server.
const FAILURE_COST_MS: f64 = 400.0;

/// Cost of sending to another failure domain.
///
/// More than the two milliseconds that it takes, since traffic between failure domains is
/// charged.
pub(crate) const REMOTE_DOMAIN_COST_MS: f64 = 8.0;

/// Cost of loading an adapter: the load and two orders.
const ADAPTER_LOAD_COST_MS: f64 = 25.0;

/// Cost of evicting another adapter, which may be requested again.
const ADAPTER_EVICTION_COST_MS: f64 = 40.0;

/// Cost of waiting until an adapter slot is no longer in use.
const ADAPTER_SLOT_WAIT_MS: f64 = 2000.0;

/// Cost, for each stream on the runner, of making the event gaps of other callers' streams
/// too long.
const LATE_STREAM_COST_MS: f64 = 20.0;

/// Largest total of [`LATE_STREAM_COST_MS`] over the streams of a runner.
const MAX_LATE_STREAMS_COST_MS: f64 = 500.0;

/// Cost, for each stream on the runner, of making the event gaps of other callers' streams
/// too long, where the speeds of runners are known.
///
/// A late stream loses most of its value, a prompt that waits for a faster runner none until
/// its objective of a second. With 12 streams this amounts to 0.7 s. In a simulation at 33
/// streams a second over six runners, 436 of 4,042 streams had too long a gap with the
/// lower costs for unknown speeds, 272 with this.
const KNOWN_SPEED_LATE_STREAM_COST_MS: f64 = 60.0;

/// Part of the event gap limit that a prompt must leave for not counting as too long, where
/// the speeds of runners are known.
///
/// It is that of the prefill queue, which can't keep gaps within the limit otherwise. In
/// the same simulation it reduces the 272 streams with too long a gap to 208.
const KNOWN_SPEED_GAP_MARGIN: Duration = Duration::from_millis(45);

/// Cost to a request whose own event gap becomes too long.
const OWN_LATE_GAP_COST_MS: f64 = 250.0;

/// Penalty, in milliseconds, of a server whose holder did not respond.
pub const UNRESPONSIVE_HOLDER_COST_MS: f64 = 60.0;

/// Estimates the time to a request's first event from what is in flight at a server.
///
/// `token_time` is the prefill time of one token.
pub fn estimate_wait_ms(usage: Usage, size: GenerationSize, token_time: Duration) -> f64 {
    let pending = usage.pending_prompt_tokens as f64 + f64::from(size.prompt_tokens);
    pending * millis(token_time) + f64::from(usage.requests) * RUNNING_REQUEST_COST_MS
}

/// Computes a holder's estimate for its runner.
///
/// Its times are infinite while the runner unloads the model.
pub fn bid(
    runner: &RunnerView,
    request: &GenerationRequest,
    timings: &EngineTimings,
    engine: &Engine,
    now: Instant,
) -> Bid {
    let requests = runner.total_usage(now).requests;
    if runner.is_unloading(&request.target.model) {
        return Bid { wait_ms: f64::INFINITY, cost_ms: f64::INFINITY, requests };
    }
    // The runner takes one order at a time.
    let order_wait = millis(runner.order_time_left(now));
    let adapter_wait =
        match runner.adapter_state(&request.target, engine.adapter_slots, now) {
            AdapterState::Ready => 0.0,
            AdapterState::Loading(left) => millis(left),
            AdapterState::SlotFree => order_wait + ADAPTER_LOAD_COST_MS,
            AdapterState::NeedsEviction => {
                order_wait + ADAPTER_LOAD_COST_MS + ADAPTER_EVICTION_COST_MS
            }
            AdapterState::SlotsInUse => order_wait + ADAPTER_SLOT_WAIT_MS,
        };
    let ahead = runner.prefill_queue.backlog_ahead(
        request.urgency,
        request.target_time.is_zero(),
        now,
    );
    let service_time = runner.speed.service_time(timings);
    let capacity_wait = capacity_wait_ms(
        runner.total_usage(now),
        ahead,
        request.size,
        engine,
        service_time,
    );
    // A server that takes few requests has few in flight and would seem the best.
    let limit_wait = millis(runner.limit_wait(ahead.requests, now));
    let pace_wait = millis(runner.pace.wait(requests + ahead.requests));
    // A prompt that is already late has been in a queue, or resumes a stream.
    let overload_wait = match request.target_time.is_zero() {
        true => Duration::ZERO,
        false => runner.prefill_queue.overload_wait(request.urgency, now),
    };
    let wait = millis(ahead.prefill_time)
        .max(millis(overload_wait))
        .max(adapter_wait)
        .max(capacity_wait)
        .max(limit_wait)
        .max(pace_wait)
        .max(millis(runner.report_wait(now)));
    let prefill_time = runner.prefill_time(request, timings);
    let late_cost_ms =
        late_event_cost_ms(runner, prefill_time, requests, service_time, now);
    let running_cost_ms =
        RUNNING_REQUEST_COST_MS * runner.speed.step_ratio().unwrap_or(1.0);
    let wait = wait + millis(prefill_time) + f64::from(requests) * running_cost_ms;
    Bid { wait_ms: wait, cost_ms: wait + late_cost_ms, requests }
}

/// Cost of event gaps that become too long: those of running streams if this prompt is
/// long, otherwise the request's own ones, caused by long prompts that follow.
fn late_event_cost_ms(
    runner: &RunnerView,
    prefill_time: Duration,
    requests: u32,
    service_time: Duration,
    now: Instant,
) -> f64 {
    if runner.speed.step_ratio().is_some() {
        let needed = prefill_time + KNOWN_SPEED_GAP_MARGIN;
        if runner.prefill_queue.exceeds_event_gap(needed) {
            return f64::from(requests) * KNOWN_SPEED_LATE_STREAM_COST_MS;
        }
    } else if runner.prefill_queue.exceeds_event_gap(prefill_time) {
        return (f64::from(requests) * LATE_STREAM_COST_MS).min(MAX_LATE_STREAMS_COST_MS);
    }
    let expected_long =
        runner.prefill_queue.long_prompt_rate(now) * service_time.as_secs_f64();
    expected_long.min(1.0) * OWN_LATE_GAP_COST_MS
}

/// Estimated wait for a slot and for room in the KV cache.
fn capacity_wait_ms(
    usage: Usage,
    ahead: Backlog,
    size: GenerationSize,
    engine: &Engine,
    service_time: Duration,
) -> f64 {
    let requests = f64::from(usage.requests + ahead.requests + 1);
    let tokens = (usage.kv_tokens + ahead.kv_tokens + size.max_kv_tokens()) as f64;
    // Running streams end evenly over one service time, so the wait for a share of the
    // capacity is the same share of the service time.
    let shortage =
        |needed: f64, capacity: f64| ((needed - capacity) / capacity.max(1.0)).max(0.0);
    let slots = shortage(requests, f64::from(engine.slots));
    slots.max(shortage(tokens, engine.usable_kv_tokens() as f64)) * millis(service_time)
}

/// The part of a server's cost that depends on the daemon: its failure domain, and the
/// failures that it observed.
pub fn local_cost_ms(server: &Server, domain: &DomainName, now: Instant) -> f64 {
    let remote = if server.entry.domain == *domain { 0.0 } else { REMOTE_DOMAIN_COST_MS };
    server.health.penalty(now) * FAILURE_COST_MS + remote
}

/// Picks a server for a plain request by this daemon's own counts alone.
pub fn choose<'a>(
    servers: impl Iterator<Item = (ServerKey, &'a Server)>,
    domain: &DomainName,
    now: Instant,
) -> Option<Candidate> {
    let candidate = |(key, server): (ServerKey, &Server)| {
        let requests = f64::from(server.own_usage.requests);
        let cost =
            requests * RUNNING_REQUEST_COST_MS + local_cost_ms(server, domain, now);
        let bid =
            Bid { wait_ms: cost, cost_ms: cost, requests: server.own_usage.requests };
        Candidate { key, bid }
    };
    servers.map(candidate).min_by(|a, b| a.bid.cost_ms.total_cmp(&b.bid.cost_ms))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
