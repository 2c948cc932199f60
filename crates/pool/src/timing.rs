//! Learns the speed of a service's engines from their responses.
//!
//! Runners don't report their speed, and models differ threefold. If prompts are sent
//! faster than the engine prefills them, they pile up there, several are prefilled at a
//! time, and the event gaps of all streams grow. A line fitted to times of first events
//! over prompt lengths gives the time for each token, whatever else a first event takes.
//! Until a few prompts of a model were prefilled, it is expected to be as other daemons
//! have learned, or like other models.
//!
//! The duration of a step is learned from the gaps between events, and the service time
//! from finished requests.
//!
//! Only prompts that found the engine idle are samples, and of those only the ones whose
//! cached parts are known. The first event of a prompt that waited at the engine is late
//! whatever its length, and that of a prompt with more cached parts than known is early;
//! from both, prefill is estimated to be faster than it is, so that more prompts are
//! sent, more of them wait, and the estimate becomes still worse. With samples from all
//! prompts during a rolling restart of the daemons, the event gap was too long in an
//! eighth of the streams; with only these samples, in a twenty-fifth.

use std::time::Duration;

use chestnut_base::ModelName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

/// Prefill time for a token that is assumed at first, in milliseconds.
///
/// It is on the slow side: prompts wait somewhat longer until the first ones have been
/// prefilled.
const INITIAL_TOKEN_MS: f64 = 1.0 / 17.0;

/// Prompt length at which the prefill time for each token is twice that of a short prompt.
///
/// Attention compares each token with all tokens before it; for prompts of 4,000 tokens
/// this makes up an eighth to a fifth of the time.
const DOUBLE_COST_TOKENS: f64 = 25_000.0;

/// Smallest and largest plausible prefill time for a token, in milliseconds.
const TOKEN_MS_RANGE: (f64, f64) = (1.0 / 100.0, 1.0 / 5.0);

/// Duration of a step that is assumed at first.
const INITIAL_STEP_TIME: Duration = Duration::from_millis(10);

/// Smallest and largest step duration that is accepted from another daemon.
const STEP_TIME_RANGE: (Duration, Duration) =
    (Duration::from_micros(200), Duration::from_secs(1));

/// Largest time of a first event besides prefill that is accepted from another daemon, in
/// milliseconds.
const MAX_OVERHEAD_MS: f64 = 60_000.0;

/// Largest mean service time that is accepted from another daemon.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(600);

/// Quantile of the gaps between events that is taken for steps without prefill; in longer
/// gaps the engine has prefilled prompts as well.
const STEP_QUANTILE: f64 = 0.3;

/// Factor on the learned step duration, since steps grow with the number and the length of
/// the running streams.
pub(crate) const STEP_TIME_MARGIN: f64 = 1.2;

/// Learning rate of the step duration: scales its relative change by one gap.
const STEP_GAIN: f64 = 0.02;

/// Shorter gaps are between events that arrived together, and are ignored.
const MIN_EVENT_GAP: Duration = Duration::from_millis(1);

/// Mean service time that is assumed at first.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(3);

/// Weight of one request in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 0.02;

/// Time of a first event besides prefill that is assumed at first, in milliseconds.
///
/// The network round trip and the running step take 15; engines add nothing or up to 80.
/// If the assumption is too short, the engine appears to be behind after each first event,
/// and prompts wait without need: with 0 the slowest hundredth of first events took 5 s
/// instead of 1 s.
const INITIAL_OVERHEAD_MS: f64 = 50.0;

/// Prompt lengths at which an expected timing is added to a regression as samples.
const EXPECTED_AT_TOKENS: [f64; 2] = [200.0, 2200.0];

/// Number of samples that an expectation counts for: the initial assumption, timings of
/// other models, and timings of the same model from other daemons.
const INITIAL_WEIGHT: f64 = 1.0;
const OTHER_MODELS_WEIGHT: f64 = 2.0;
const SHARED_WEIGHT: f64 = 5.0;

/// Smallest number of samples with which a model's timing is shared with other daemons.
const MIN_SHARED_WEIGHT: f64 = 12.0;

/// Relative change of a prefill time that is worth sharing.
///
/// Step and service times have to change by twice as much.
const SHARED_CHANGE: f64 = 0.1;

/// Smallest standard deviation of first event times around the line, in milliseconds.
const MIN_NOISE_MS: f64 = 8.0;

/// Largest number of models that are shared.
const MAX_SHARED_MODELS: usize = 256;

/// Share of a sample's weight that is left when the next one is added.
const SAMPLE_DECAY: f64 = 0.99;

/// A weighted linear regression of first event times over prompt lengths.
///
/// Holds the weighted sums; the oldest samples weigh least.
#[derive(Debug, Clone, Copy)]
struct Regression {
    weight: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    product: f64,
    time_squared: f64,
}

impl Regression {
    /// Starts with an expectation that counts for `weight` samples.
    fn new(expected: PrefillTiming, weight: f64) -> Self {
        let zero = Self {
            weight: 0.0,
            tokens: 0.0,
            time: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
            time_squared: 0.0,
        };
        let add_expected = |line: Self, tokens: f64| {
            line.with(
                tokens,
                tokens * expected.token_ms + expected.overhead_ms,
                weight,
                1.0,
            )
        };
        EXPECTED_AT_TOKENS.into_iter().fold(zero, add_expected)
    }

    fn timing(&self) -> PrefillTiming {
        PrefillTiming { token_ms: self.slope(), overhead_ms: self.intercept() }
    }

    /// Adds a sample after multiplying the weight of earlier ones by `decay`.
    fn with(self, tokens: f64, time: f64, weight: f64, decay: f64) -> Self {
        Self {
            weight: self.weight * decay + weight,
            tokens: self.tokens * decay + weight * tokens,
            time: self.time * decay + weight * time,
            tokens_squared: self.tokens_squared * decay + weight * tokens * tokens,
            product: self.product * decay + weight * tokens * time,
            time_squared: self.time_squared * decay + weight * time * time,
        }
    }

    /// Prefill time for a token, in milliseconds.
    fn slope(&self) -> f64 {
        let (min, max) = TOKEN_MS_RANGE;
        match self.variance() {
            variance if variance > 0.0 => (self.covariance() / variance).clamp(min, max),
            _ => INITIAL_TOKEN_MS,
        }
    }

    /// The slope plus its standard error, in milliseconds.
    fn cautious_slope(&self) -> f64 {
        let (_, max) = TOKEN_MS_RANGE;
        (self.slope() + self.standard_error()).min(max)
    }

    /// Standard error of the slope, in milliseconds.
    fn standard_error(&self) -> f64 {
        let variance = self.variance();
        if variance <= 0.0 {
            return 0.0;
        }
        let mean = self.time / self.weight;
        let time_variance = self.time_squared / self.weight - mean * mean;
        let explained = self.slope() * self.covariance() / (self.weight * self.weight);
        let noise = (time_variance - explained).max(MIN_NOISE_MS * MIN_NOISE_MS);
        (noise * self.weight / variance).sqrt()
    }

    /// Variance of the prompt lengths, times the squared weight.
    fn variance(&self) -> f64 {
        self.tokens_squared * self.weight - self.tokens * self.tokens
    }

    /// Covariance of prompt lengths and times, times the squared weight.
    fn covariance(&self) -> f64 {
        self.product * self.weight - self.tokens * self.time
    }
}

impl Regression {
    /// Time of a first event besides prefill, in milliseconds.
    fn intercept(&self) -> f64 {
        let (tokens, time) = (self.tokens / self.weight, self.time / self.weight);
        (time - tokens * self.slope()).max(0.0)
    }
}

/// How long an engine takes to the first event of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefillTiming {
    /// Prefill time for a token of a short prompt, in milliseconds.
    #[serde(rename = "token")]
    pub token_ms: f64,
    /// Time of a first event besides prefill, in milliseconds.
    #[serde(rename = "base")]
    pub overhead_ms: f64,
}

impl PrefillTiming {
    const INITIAL: Self =
        Self { token_ms: INITIAL_TOKEN_MS, overhead_ms: INITIAL_OVERHEAD_MS };

    /// The nearest plausible timing; the lowest in place of what is no number.
    fn bounded(self) -> Self {
        let bound = |value: f64, (min, max): (f64, f64)| match value.is_nan() {
            true => min,
            false => value.clamp(min, max),
        };
        Self {
            token_ms: bound(self.token_ms, TOKEN_MS_RANGE),
            overhead_ms: bound(self.overhead_ms, (0.0, MAX_OVERHEAD_MS)),
        }
    }

    fn differs_from(self, other: Self) -> bool {
        (self.token_ms - other.token_ms).abs() > SHARED_CHANGE * other.token_ms
    }
}

/// Timings of a service's engines that daemons share, for those that have none of their
/// own.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedTimings {
    /// Prefill timings of the models with enough samples.
    pub models: IndexMap<ModelName, PrefillTiming>,
    /// Duration of a step without prefill.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "step")]
    pub step_time: Duration,
    /// Mean time that requests spend at a runner.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "stay")]
    pub service_time: Duration,
}

impl Default for LearnedTimings {
    fn default() -> Self {
        Self {
            models: IndexMap::new(),
            step_time: INITIAL_STEP_TIME,
            service_time: INITIAL_SERVICE_TIME,
        }
    }
}

impl LearnedTimings {
    /// Whether these differ from earlier ones by enough to be worth sharing.
    pub fn differs_from(&self, before: &Self) -> bool {
        let timing_differs = |now: PrefillTiming, before: Option<&PrefillTiming>| {
            before.is_none_or(|before| now.differs_from(*before))
        };
        let time_differs = |now: Duration, before: Duration| {
            now.abs_diff(before) > before.mul_f64(SHARED_CHANGE * 2.0)
        };
        let times = time_differs(self.step_time, before.step_time)
            || time_differs(self.service_time, before.service_time);
        let mut models = self.models.iter();
        times || models.any(|(model, now)| timing_differs(*now, before.models.get(model)))
    }
}

/// This daemon's estimates of the speed of a service's engines.
#[derive(Debug)]
pub struct EngineTimings {
    /// Models with samples from this daemon.
    models: IndexMap<ModelName, Regression>,
    /// Timings from other daemons.
    shared: IndexMap<ModelName, PrefillTiming>,
    step_time: Duration,
    service_time: Duration,
}

impl Default for EngineTimings {
    fn default() -> Self {
        let (models, shared) = (IndexMap::new(), IndexMap::new());
        Self {
            models,
            shared,
            step_time: INITIAL_STEP_TIME,
            service_time: INITIAL_SERVICE_TIME,
        }
    }
}

impl EngineTimings {
    /// Records that a prompt with this many uncached tokens, which found the engine idle,
    /// had its first event after `time`.
    pub fn record_first_event(&mut self, model: &ModelName, tokens: u32, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        let line =
            self.line(model).with(prefill_effort(tokens), millis, 1.0, SAMPLE_DECAY);
        self.models.insert(model.clone(), line);
    }

    /// Records the gap before an event of `tokens` tokens.
    pub fn record_event_gap(&mut self, gap: Duration, tokens: u32) {
        if gap < MIN_EVENT_GAP {
            return;
        }
        // Converges to this quantile of the gap for each token.
        let is_shorter = gap / tokens.max(1) < self.step_time;
        let gain =
            if is_shorter { STEP_QUANTILE - 1.0 } else { STEP_QUANTILE } * STEP_GAIN;
        self.step_time = self.step_time.mul_f64(1.0 + gain);
    }

    /// Records the time that a request spent at its runner.
    pub fn record_service_time(&mut self, time: Duration) {
        let previous = self.service_time.mul_f64(1.0 - SERVICE_TIME_GAIN);
        self.service_time = previous + time.mul_f64(SERVICE_TIME_GAIN);
    }

    /// Duration of a step without prefill, estimated on the long side.
    pub fn step_time(&self) -> Duration {
        self.step_time.mul_f64(STEP_TIME_MARGIN)
    }

    /// Duration of a step without prefill.
    pub fn mean_step_time(&self) -> Duration {
        self.step_time
    }

    /// Mean time that requests spend at a runner.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Merges timings from another daemon.
    ///
    /// Step and service times are copied only while this daemon has no samples.
    pub fn merge(&mut self, learned: &LearnedTimings) {
        if self.models.is_empty() {
            self.step_time =
                learned.step_time.clamp(STEP_TIME_RANGE.0, STEP_TIME_RANGE.1);
            self.service_time = learned.service_time.min(MAX_SERVICE_TIME);
        }
        let models = learned.models.iter();
        let bounded = models.map(|(model, timing)| (model.clone(), timing.bounded()));
        self.shared.extend(bounded);
    }

    /// Timings learned by this daemon.
    pub fn learned(&self) -> LearnedTimings {
        let models = self.established();
        let models = models.map(|(model, line)| (model.clone(), line.timing()));
        let models = models.take(MAX_SHARED_MODELS).collect();
        LearnedTimings {
            models,
            step_time: self.step_time,
            service_time: self.service_time,
        }
    }

    /// Timings learned by this daemon, completed by those of other daemons.
    pub fn learned_by_all(&self) -> LearnedTimings {
        let mut learned = self.learned();
        for (model, shared) in &self.shared {
            if learned.models.len() < MAX_SHARED_MODELS {
                learned.models.entry(model.clone()).or_insert(*shared);
            }
        }
        learned
    }

    /// Time of a first event besides prefill.
    pub fn first_event_overhead(&self, model: &ModelName) -> Duration {
        Duration::from_secs_f64(self.line(model).intercept() / 1000.0)
    }

    /// Prefill time for one token of a short prompt.
    pub fn token_time(&self, model: &ModelName) -> Duration {
        Duration::from_secs_f64(self.line(model).slope() / 1000.0)
    }

    /// Mean prefill time for a prompt with this many uncached tokens.
    pub fn mean_prefill_time(&self, model: &ModelName, tokens: u32) -> Duration {
        let slope = self.line(model).slope();
        Duration::from_secs_f64(prefill_effort(tokens) * slope / 1000.0)
    }

    /// Prefill time for a prompt with this many uncached tokens, estimated on the long
    /// side: a prompt that is sent too early delays all streams, one that is sent too late
    /// only waits.
    pub fn prefill_time(&self, model: &ModelName, tokens: u32) -> Duration {
        Duration::from_secs_f64(
            prefill_effort(tokens) * self.line(model).cautious_slope() / 1000.0,
        )
    }

    fn line(&self, model: &ModelName) -> Regression {
        self.models.get(model).copied().unwrap_or_else(|| self.expected(model))
    }

    /// The expectation for a model without samples: the timings from other daemons, or
    /// those of the slowest model that is known.
    fn expected(&self, model: &ModelName) -> Regression {
        if let Some(shared) = self.shared.get(model) {
            return Regression::new(*shared, SHARED_WEIGHT);
        }
        let learned = self.established().map(|(_, line)| line.timing());
        let all = learned.chain(self.shared.values().copied());
        match all.max_by(|a, b| a.token_ms.total_cmp(&b.token_ms)) {
            Some(slowest) => Regression::new(slowest, OTHER_MODELS_WEIGHT),
            None => Regression::new(PrefillTiming::INITIAL, INITIAL_WEIGHT),
        }
    }

    /// Models with enough samples to share their timings.
    fn established(&self) -> impl Iterator<Item = (&ModelName, &Regression)> {
        self.models.iter().filter(|(_, line)| line.weight >= MIN_SHARED_WEIGHT)
    }
}

/// Prompt length, scaled so that the prefill time is proportional to it.
fn prefill_effort(tokens: u32) -> f64 {
    let tokens = f64::from(tokens);
    tokens * (1.0 + tokens / DOUBLE_COST_TOKENS)
}
