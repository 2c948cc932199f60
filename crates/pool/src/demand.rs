//! Estimates the demand for each model of a service.
//!
//! Load pattern: within five seconds callers turn from one model to another. A long moving
//! average lags by seconds; a short one drops to zero in each lull, so that the model is
//! dropped and loaded in turns. The greater of both rises fast and falls slowly.
//!
//! Every daemon counts the requests of its own callers and sends its counters, which run
//! since its start, so that a lost message only delays an update.
//!
//! Demand is counted in runners: the share of a runner's time that requests take. A request
//! occupies the engine during prefill, and one slot and some of the KV cache during its
//! service time; the scarcest of these on the declared engine decides.

use std::ops::AddAssign;
use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ModelName};
use chestnut_edge::Engine;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::timing::EngineTimings;

/// Time constants of the two moving averages.
const FAST_AVERAGE: Duration = Duration::from_millis(500);
const SLOW_AVERAGE: Duration = Duration::from_millis(1500);

/// How long requests have to be observed before a model counts as having no demand.
const MIN_OBSERVATION: Duration = Duration::from_millis(2500);

/// Share of an engine's time that prefill may take.
///
/// The rest lets streams get their events in time.
const PREFILL_SHARE: f64 = 0.5;

/// Service time that is assumed at first, and the number of finished requests that the
/// assumption counts for.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(2);
const INITIAL_WEIGHT: f64 = 3.0;

/// Time constant of the mean service time.
const SERVICE_TIME_AVERAGE: Duration = Duration::from_secs(20);

/// Counters of the requests for a model at one daemon since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandCounts {
    /// Requests that arrived.
    pub requests: f64,
    /// Tokens of their prompts.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    /// Tokens that they take in the KV cache, output included.
    #[serde(rename = "tokens")]
    pub kv_tokens: f64,
    /// Requests that ended after a runner began to respond.
    #[serde(rename = "ended")]
    pub finished: f64,
    /// Sum of the service times of the finished requests, in seconds.
    #[serde(rename = "stay")]
    pub service_s: f64,
}

impl DemandCounts {
    /// The increase since earlier counters of the same daemon.
    fn since(self, before: Self) -> Self {
        let increase = |now: f64, before: f64| (now - before).max(0.0);
        Self {
            requests: increase(self.requests, before.requests),
            prompt_tokens: increase(self.prompt_tokens, before.prompt_tokens),
            kv_tokens: increase(self.kv_tokens, before.kv_tokens),
            finished: increase(self.finished, before.finished),
            service_s: increase(self.service_s, before.service_s),
        }
    }
}

impl AddAssign for DemandCounts {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.kv_tokens += other.kv_tokens;
        self.finished += other.finished;
        self.service_s += other.service_s;
    }
}

/// Decaying mean of the service time of a model's requests.
#[derive(Debug, Clone, Copy)]
struct MeanServiceTime {
    finished: f64,
    seconds: f64,
}

impl Default for MeanServiceTime {
    fn default() -> Self {
        Self {
            finished: INITIAL_WEIGHT,
            seconds: INITIAL_WEIGHT * INITIAL_SERVICE_TIME.as_secs_f64(),
        }
    }
}

impl MeanServiceTime {
    fn add(&mut self, counts: DemandCounts, elapsed: Duration) {
        let decay = (-elapsed.as_secs_f64() / SERVICE_TIME_AVERAGE.as_secs_f64()).exp();
        self.finished = self.finished * decay + counts.finished;
        self.seconds = self.seconds * decay + counts.service_s;
    }

    fn seconds(self) -> f64 {
        self.seconds / self.finished.max(f64::MIN_POSITIVE)
    }
}

/// Decaying mean of the runner time of a request.
#[derive(Debug, Clone, Copy, Default)]
struct MeanWork {
    requests: f64,
    seconds: f64,
}

impl MeanWork {
    fn add(&mut self, requests: f64, seconds: f64) {
        self.requests += requests;
        self.seconds += seconds;
    }

    fn decay(&mut self, elapsed: Duration) {
        let decay = (-elapsed.as_secs_f64() / SERVICE_TIME_AVERAGE.as_secs_f64()).exp();
        self.requests *= decay;
        self.seconds *= decay;
    }

    fn seconds(self) -> Option<f64> {
        (self.requests > f64::EPSILON).then(|| self.seconds / self.requests)
    }
}

/// Moving averages of one model's demand, in runners.
#[derive(Debug, Clone, Copy, Default)]
struct Averages {
    fast: f64,
    slow: f64,
}

impl Averages {
    fn add(&mut self, runner_seconds: f64, elapsed: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let rate = runner_seconds / elapsed.as_secs_f64();
        let weight =
            |span: Duration| 1.0 - (-elapsed.as_secs_f64() / span.as_secs_f64()).exp();
        self.fast += (rate - self.fast) * weight(FAST_AVERAGE);
        self.slow += (rate - self.slow) * weight(SLOW_AVERAGE);
    }

    fn estimate(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

/// Estimates the demand for each model of a service from the counters of all daemons.
#[derive(Debug)]
pub struct DemandEstimator {
    /// The last counters of each daemon, by part and model.
    counters: IndexMap<(MemberId, usize), IndexMap<ModelName, DemandCounts>>,
    /// Increases since the last call of [`Self::advance`].
    pending: IndexMap<ModelName, DemandCounts>,
    service_times: IndexMap<ModelName, MeanServiceTime>,
    averages: IndexMap<ModelName, Averages>,
    mean_work: MeanWork,
    /// Total length of the intervals in which requests arrived.
    observed: Duration,
    advanced_at: Instant,
}

impl DemandEstimator {
    /// Starts without demand.
    pub fn new(now: Instant) -> Self {
        Self {
            counters: IndexMap::new(),
            pending: IndexMap::new(),
            service_times: IndexMap::new(),
            averages: IndexMap::new(),
            mean_work: MeanWork::default(),
            observed: Duration::ZERO,
            advanced_at: now,
        }
    }

    /// Updates a daemon's counters, which run since its start.
    ///
    /// A daemon may send them in several parts; a model is always in the same part.
    pub fn update(
        &mut self,
        from: MemberId,
        part: usize,
        counts: Vec<(ModelName, DemandCounts)>,
    ) {
        let is_first = !self.counters.contains_key(&(from, part));
        let counters = self.counters.entry((from, part)).or_default();
        for (model, counts) in counts {
            let before = counters.insert(model.clone(), counts).unwrap_or_default();
            // The first counters also cover the time before this planner took over.
            if !is_first {
                *self.pending.entry(model).or_default() += counts.since(before);
            }
        }
    }

    /// Adds the increases since the last call to the averages.
    pub fn advance(&mut self, engine: &Engine, timings: &EngineTimings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at);
        self.advanced_at = now;
        let pending = std::mem::take(&mut self.pending);
        if pending.values().any(|counts| counts.requests > 0.0) {
            self.observed += elapsed;
        }
        for model in engine.models.keys() {
            let counts = pending.get(model).copied().unwrap_or_default();
            let service_time = self.service_times.entry(model.clone()).or_default();
            service_time.add(counts, elapsed);
            let work = runner_seconds(
                counts,
                service_time.seconds(),
                timings.token_time(model),
                engine,
            );
            self.averages.entry(model.clone()).or_default().add(work, elapsed);
            self.mean_work.add(counts.requests, work);
        }
        self.mean_work.decay(elapsed);
    }

    /// The mean runner time of a request of any model, in seconds; `None` before the first.
    pub fn mean_work(&self) -> Option<f64> {
        self.mean_work.seconds()
    }

    /// Whether requests were observed for long enough to tell which models have no demand.
    pub fn is_established(&self) -> bool {
        self.observed >= MIN_OBSERVATION
    }

    /// The demand to plan for, in runners.
    pub fn estimate(&self, model: &ModelName) -> f64 {
        self.averages.get(model).map_or(0.0, Averages::estimate)
    }
}

/// Runner time that requests take, in seconds.
///
/// `service_s` is their mean service time in seconds, `token_time` the prefill time of one
/// token.
fn runner_seconds(
    counts: DemandCounts,
    service_s: f64,
    token_time: Duration,
    engine: &Engine,
) -> f64 {
    let prefill = counts.prompt_tokens * token_time.as_secs_f64() / PREFILL_SHARE;
    let slots = counts.requests * service_s / f64::from(engine.slots.max(1));
    let memory = counts.kv_tokens * service_s / (engine.usable_kv_tokens().max(1) as f64);
    prefill.max(slots).max(memory)
}
