//! How much callers ask for of each model of a service.
//!
//! Load pattern: within five seconds callers turn from one model to another. A long
//! average is late by seconds; a short one lets go of a model in each lull, and it is
//! dropped and loaded in turns. The greater of both rises soon and falls late.
//!
//! Every daemon counts what its own callers ask for and tells its sum since its
//! start, so that a lost message only delays what it says.
//!
//! Demand is counted in runners: the part of a runner's time that a request takes. It
//! takes the engine while its prompt is read, and one place and some of the KV cache for as
//! long as it stays; whatever is scarcest on the engines at hand decides.

use std::ops::AddAssign;
use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ModelName};
use chestnut_edge::Engine;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::timing::EngineTimings;

/// How far back the two averages look.
const FAST: Duration = Duration::from_millis(500);
const SLOW: Duration = Duration::from_millis(1500);

/// How long requests have to be seen before a model counts as not asked for.
const KNOWN: Duration = Duration::from_millis(2500);

/// The share of an engine's time that reading prompts may take.
///
/// Streams get their events in time from the rest.
const READ_SHARE: f64 = 0.5;

/// How long a request is assumed to stay until some have ended, and for how many ended
/// ones that counts.
const FIRST_STAY: Duration = Duration::from_secs(2);
const FIRST_WEIGHT: f64 = 3.0;

/// How far back the mean of stays looks.
const STAY_MEMORY: Duration = Duration::from_secs(20);

/// What callers have asked of a model at one daemon since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandCounts {
    /// Requests.
    pub requests: f64,
    /// Tokens of their prompts.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    /// Tokens that they take in the KV cache, answers included.
    #[serde(rename = "tokens")]
    pub kv_tokens: f64,
    /// Requests that have ended after a runner began to answer them.
    #[serde(rename = "ended")]
    pub finished: f64,
    /// How long these were at their runners, in seconds.
    #[serde(rename = "stay")]
    pub service_s: f64,
}

impl DemandCounts {
    /// What was asked since an earlier sum of the same daemon.
    fn since(self, before: Self) -> Self {
        let more = |now: f64, before: f64| (now - before).max(0.0);
        Self {
            requests: more(self.requests, before.requests),
            prompt_tokens: more(self.prompt_tokens, before.prompt_tokens),
            kv_tokens: more(self.kv_tokens, before.kv_tokens),
            finished: more(self.finished, before.finished),
            service_s: more(self.service_s, before.service_s),
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

/// How long requests for a model stay at a runner, in the mean.
#[derive(Debug, Clone, Copy)]
struct Stay {
    ended: f64,
    seconds: f64,
}

impl Default for Stay {
    fn default() -> Self {
        Self { ended: FIRST_WEIGHT, seconds: FIRST_WEIGHT * FIRST_STAY.as_secs_f64() }
    }
}

impl Stay {
    fn learn(&mut self, asked: DemandCounts, time: Duration) {
        let kept = (-time.as_secs_f64() / STAY_MEMORY.as_secs_f64()).exp();
        self.ended = self.ended * kept + asked.finished;
        self.seconds = self.seconds * kept + asked.service_s;
    }

    fn mean(self) -> f64 {
        self.seconds / self.ended.max(f64::MIN_POSITIVE)
    }
}

/// The averages of one model's demand, in runners.
#[derive(Debug, Clone, Copy, Default)]
struct Averages {
    fast: f64,
    slow: f64,
}

impl Averages {
    fn add(&mut self, work: f64, time: Duration) {
        if time.is_zero() {
            return;
        }
        let rate = work / time.as_secs_f64();
        let weight =
            |span: Duration| 1.0 - (-time.as_secs_f64() / span.as_secs_f64()).exp();
        self.fast += (rate - self.fast) * weight(FAST);
        self.slow += (rate - self.slow) * weight(SLOW);
    }

    /// The demand to plan for.
    fn estimate(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

/// How much callers ask for of each model.
#[derive(Debug)]
pub struct DemandEstimator {
    /// The last count of each daemon, by part and model.
    counts: IndexMap<(MemberId, usize), IndexMap<ModelName, DemandCounts>>,
    /// What was asked for since the last average.
    fresh: IndexMap<ModelName, DemandCounts>,
    stays: IndexMap<ModelName, Stay>,
    averages: IndexMap<ModelName, Averages>,
    /// For how long anything was asked for.
    known: Duration,
    at: Instant,
}

impl DemandEstimator {
    /// Starts with no demand.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: IndexMap::new(),
            fresh: IndexMap::new(),
            stays: IndexMap::new(),
            averages: IndexMap::new(),
            known: Duration::ZERO,
            at: now,
        }
    }

    /// Takes in what callers have asked of a daemon since its start, in one of the parts
    /// in which it tells that; a model is always in the same part.
    pub fn update(
        &mut self,
        from: MemberId,
        part: usize,
        asked: Vec<(ModelName, DemandCounts)>,
    ) {
        let first = !self.counts.contains_key(&(from, part));
        let known = self.counts.entry((from, part)).or_default();
        for (model, asked) in asked {
            let before = known.insert(model.clone(), asked).unwrap_or_default();
            // What was counted before this planner took over is of the past.
            if !first {
                *self.fresh.entry(model).or_default() += asked.since(before);
            }
        }
    }

    /// Takes what was counted since the last call into the averages.
    pub fn advance(&mut self, engine: &Engine, speeds: &EngineTimings, now: Instant) {
        let time = now.saturating_duration_since(self.at);
        self.at = now;
        let fresh = std::mem::take(&mut self.fresh);
        if fresh.values().any(|asked| asked.requests > 0.0) {
            self.known += time;
        }
        for model in engine.models.keys() {
            let asked = fresh.get(model).copied().unwrap_or_default();
            let stay = self.stays.entry(model.clone()).or_default();
            stay.learn(asked, time);
            let work = work(asked, stay.mean(), speeds.token_time(model), engine);
            self.averages.entry(model.clone()).or_default().add(work, time);
        }
    }

    /// Whether what is asked for has been seen for long enough to tell what is not.
    pub fn is_established(&self) -> bool {
        self.known >= KNOWN
    }

    /// The demand to plan for, in runners.
    pub fn estimate(&self, model: &ModelName) -> f64 {
        self.averages.get(model).map_or(0.0, Averages::estimate)
    }
}

/// The time of a runner that requests take, in seconds, if they stay for `stay` seconds
/// and an unread token takes `token`.
fn work(asked: DemandCounts, stay: f64, token: Duration, engine: &Engine) -> f64 {
    let reading = asked.prompt_tokens * token.as_secs_f64() / READ_SHARE;
    let places = asked.requests * stay / f64::from(engine.slots.max(1));
    let memory = asked.kv_tokens * stay / (engine.usable_kv_tokens().max(1) as f64);
    reading.max(places).max(memory)
}
