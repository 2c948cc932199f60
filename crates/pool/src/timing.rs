//! How fast a service's runners work, learnt from their answers.
//!
//! Runners don't say how fast they are, and models differ threefold. Sent faster than they
//! are read, prompts pile up at the engine, which then reads several at a time and makes
//! all of its streams pause. A line through times of first events over prompt lengths gives
//! the time for each token, whatever else a first event takes. Until a few prompts of a
//! model were read, it is expected to be as others have learnt, or like other models.
//!
//! The time of a step is learnt from the pauses between events, and how long requests stay
//! at a runner from when they end.
//!
//! Only prompts that the engine was free for teach anything, and of those only the ones
//! whose kept parts are known. A prompt that waited at the engine has its first event late
//! whatever its length, and one of which the engine keeps more than is known has it early;
//! both make reading look faster than it is, so that more is sent, more waits, and reading
//! looks faster still. Learnt from all prompts while daemons restarted one after another,
//! an eighth of the streams paused too long; learnt from these a twenty-fifth.

use std::time::Duration;

use chestnut_base::ModelName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

/// The time for a token that is assumed at first, in milliseconds.
///
/// On the slow side: prompts wait somewhat longer until the first ones have been read.
const FIRST_GUESS: f64 = 1.0 / 17.0;

/// The length at which a prompt takes twice the time for each token.
///
/// Each token is compared with all before it; for prompts of 4,000 tokens this makes
/// up an eighth to a fifth of the time.
const DOUBLE_AT: f64 = 25_000.0;

/// The least and the greatest time for a token that is believed, in milliseconds.
const BOUNDS: (f64, f64) = (1.0 / 100.0, 1.0 / 5.0);

/// The time of a step that is assumed at first.
const FIRST_STEP: Duration = Duration::from_millis(10);

/// The shortest and the longest step that another daemon is believed.
const STEPS: (Duration, Duration) = (Duration::from_micros(200), Duration::from_secs(1));

/// The longest mean stay that another daemon is believed.
const LONGEST_STAY: Duration = Duration::from_secs(600);

/// The part of pauses between events that are taken to hold nothing but steps; in the
/// others the engine has read prompts as well.
const BARE_PART: f64 = 0.3;

/// How much longer steps are planned than they are in the mean: they grow with the streams
/// that run and with their length.
const FULL_STEP: f64 = 1.2;

/// By which part a pause moves the step that is believed.
const STEP_GAIN: f64 = 0.02;

/// Shorter pauses are of events that arrived together.
const LEAST_PAUSE: Duration = Duration::from_millis(1);

/// How long a request is assumed to stay at its runner at first.
const FIRST_STAY: Duration = Duration::from_secs(3);

/// By which part a request that ended moves the mean stay that is believed.
const STAY_GAIN: f64 = 0.02;

/// What a first event is assumed to take besides reading at first, in milliseconds.
///
/// The way there and back and the step that runs take 15; engines add nothing or up to
/// 80. Assumed too short, each first event makes the engine look as if it were behind,
/// and prompts wait for nothing: with 0 the slowest hundredth of first events took 5 s
/// instead of one.
const FIRST_BASE: f64 = 50.0;

/// The lengths at which an expectation counts, and how many samples it counts for: the
/// first guess, what was learnt from other models, and what was learnt before of the same.
const EXPECTED_AT: [f64; 2] = [200.0, 2200.0];
const GUESS_WEIGHT: f64 = 1.0;
const OTHERS_WEIGHT: f64 = 2.0;
const KNOWN_WEIGHT: f64 = 5.0;

/// From how many samples on a line is worth telling.
const TOLD_FROM: f64 = 12.0;

/// By how much a time has to change to be worth telling again.
const TOLD_CHANGE: f64 = 0.1;

/// By how much first events vary at least beside their prompts' length, in milliseconds.
const LEAST_NOISE: f64 = 8.0;

/// Models that are told of, at most.
const TOLD_MODELS: usize = 256;

/// How much of a sample's weight is left when the next one comes.
const FADE: f64 = 0.99;

/// A weighted line through samples.
#[derive(Debug, Clone, Copy)]
struct Line {
    weight: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    product: f64,
    time_squared: f64,
}

impl Line {
    /// Starts with what is expected, which counts for so many samples.
    fn new(expected: PrefillTiming, weight: f64) -> Self {
        let zero = Self {
            weight: 0.0,
            tokens: 0.0,
            time: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
            time_squared: 0.0,
        };
        let expect = |line: Self, tokens: f64| {
            line.with(
                tokens,
                tokens * expected.token_ms + expected.overhead_ms,
                weight,
                1.0,
            )
        };
        EXPECTED_AT.into_iter().fold(zero, expect)
    }

    fn reading(&self) -> PrefillTiming {
        PrefillTiming { token_ms: self.slope(), overhead_ms: self.base() }
    }

    fn with(self, tokens: f64, time: f64, weight: f64, fade: f64) -> Self {
        Self {
            weight: self.weight * fade + weight,
            tokens: self.tokens * fade + weight * tokens,
            time: self.time * fade + weight * time,
            tokens_squared: self.tokens_squared * fade + weight * tokens * tokens,
            product: self.product * fade + weight * tokens * time,
            time_squared: self.time_squared * fade + weight * time * time,
        }
    }

    /// The time for a token, in milliseconds.
    fn slope(&self) -> f64 {
        let (least, most) = BOUNDS;
        match self.variance() {
            variance if variance > 0.0 => {
                (self.covariance() / variance).clamp(least, most)
            }
            _ => FIRST_GUESS,
        }
    }

    /// The time for a token that is planned with: longer by its standard error.
    fn cautious(&self) -> f64 {
        let (_, most) = BOUNDS;
        (self.slope() + self.error()).min(most)
    }

    /// The standard error of the time for a token, in milliseconds.
    fn error(&self) -> f64 {
        let variance = self.variance();
        if variance <= 0.0 {
            return 0.0;
        }
        let mean = self.time / self.weight;
        let times = self.time_squared / self.weight - mean * mean;
        let explained = self.slope() * self.covariance() / (self.weight * self.weight);
        let noise = (times - explained).max(LEAST_NOISE * LEAST_NOISE);
        (noise * self.weight / variance).sqrt()
    }

    fn variance(&self) -> f64 {
        self.tokens_squared * self.weight - self.tokens * self.tokens
    }

    fn covariance(&self) -> f64 {
        self.product * self.weight - self.tokens * self.time
    }
}

impl Line {
    /// The time that a first event takes besides reading, in milliseconds.
    fn base(&self) -> f64 {
        let (tokens, time) = (self.tokens / self.weight, self.time / self.weight);
        (time - tokens * self.slope()).max(0.0)
    }
}

/// How fast prompts are read.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefillTiming {
    /// The time for a token, in milliseconds.
    #[serde(rename = "token")]
    pub token_ms: f64,
    /// What a first event takes besides, in milliseconds.
    #[serde(rename = "base")]
    pub overhead_ms: f64,
}

impl PrefillTiming {
    const GUESS: Self = Self { token_ms: FIRST_GUESS, overhead_ms: FIRST_BASE };

    fn differs(self, other: Self) -> bool {
        (self.token_ms - other.token_ms).abs() > TOLD_CHANGE * other.token_ms
    }
}

/// What was learnt of a service's runners, for daemons that have learnt nothing yet.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedTimings {
    /// How fast prompts of each model are read.
    pub models: IndexMap<ModelName, PrefillTiming>,
    /// The time of a step beside what is read in it.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "step")]
    pub step_time: Duration,
    /// How long requests stay at a runner, in the mean.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "stay")]
    pub service_time: Duration,
}

impl Default for LearnedTimings {
    fn default() -> Self {
        Self { models: IndexMap::new(), step_time: FIRST_STEP, service_time: FIRST_STAY }
    }
}

impl LearnedTimings {
    /// Whether this tells something that an earlier account does not.
    pub fn differs_from(&self, before: &Self) -> bool {
        let news = |now: PrefillTiming, before: Option<&PrefillTiming>| {
            before.is_none_or(|before| now.differs(*before))
        };
        let far = |now: Duration, before: Duration| {
            now.abs_diff(before) > before.mul_f64(TOLD_CHANGE * 2.0)
        };
        let times = far(self.step_time, before.step_time)
            || far(self.service_time, before.service_time);
        let mut models = self.models.iter();
        times || models.any(|(model, now)| news(*now, before.models.get(model)))
    }
}

/// How fast runners work.
#[derive(Debug)]
pub struct EngineTimings {
    /// What was learnt here of each model.
    models: IndexMap<ModelName, Line>,
    /// What others have learnt.
    known: IndexMap<ModelName, PrefillTiming>,
    step: Duration,
    stay: Duration,
}

impl Default for EngineTimings {
    fn default() -> Self {
        let (models, known) = (IndexMap::new(), IndexMap::new());
        Self { models, known, step: FIRST_STEP, stay: FIRST_STAY }
    }
}

impl EngineTimings {
    /// Takes in that a prompt of so many unread tokens, which the engine was free for,
    /// had its first event after `time`.
    pub fn record_first_event(&mut self, model: &ModelName, tokens: u32, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        let line = self.line(model).with(effort(tokens), millis, 1.0, FADE);
        self.models.insert(model.clone(), line);
    }

    /// Takes in the pause before an event of `tokens` tokens.
    pub fn record_event_gap(&mut self, pause: Duration, tokens: u32) {
        if pause < LEAST_PAUSE {
            return;
        }
        // Settles where the part of pauses that are shorter is the one that holds nothing
        // but steps.
        let shorter = pause / tokens.max(1) < self.step;
        let gain = if shorter { BARE_PART - 1.0 } else { BARE_PART } * STEP_GAIN;
        self.step = self.step.mul_f64(1.0 + gain);
    }

    /// Takes in how long a request stayed at its runner.
    pub fn record_service_time(&mut self, stay: Duration) {
        let kept = self.stay.mul_f64(1.0 - STAY_GAIN);
        self.stay = kept + stay.mul_f64(STAY_GAIN);
    }

    /// The time of a step beside what is read in it, on the long side.
    pub fn step_time(&self) -> Duration {
        self.step.mul_f64(FULL_STEP)
    }

    /// How long requests stay at a runner, in the mean.
    pub fn service_time(&self) -> Duration {
        self.stay
    }

    /// Takes in what another daemon has learnt.
    pub fn merge(&mut self, learnt: &LearnedTimings) {
        if self.models.is_empty() {
            self.step = learnt.step_time.clamp(STEPS.0, STEPS.1);
            self.stay = learnt.service_time.min(LONGEST_STAY);
        }
        self.known.extend(learnt.models.clone());
    }

    /// What was learnt here.
    pub fn learned(&self) -> LearnedTimings {
        let models = self.well_known();
        let models = models.map(|(model, line)| (model.clone(), line.reading()));
        let models = models.take(TOLD_MODELS).collect();
        LearnedTimings { models, step_time: self.step, service_time: self.stay }
    }

    /// What was learnt here or by others.
    pub fn learned_by_all(&self) -> LearnedTimings {
        let mut learnt = self.learned();
        for (model, known) in &self.known {
            if learnt.models.len() < TOLD_MODELS {
                learnt.models.entry(model.clone()).or_insert(*known);
            }
        }
        learnt
    }

    /// How long a first event takes besides reading.
    pub fn first_event_overhead(&self, model: &ModelName) -> Duration {
        Duration::from_secs_f64(self.line(model).base() / 1000.0)
    }

    /// How long a runner takes to read one token of a short prompt.
    pub fn token_time(&self, model: &ModelName) -> Duration {
        Duration::from_secs_f64(self.line(model).slope() / 1000.0)
    }

    /// How long a runner takes to read tokens, on the long side: prompts that are sent
    /// too soon make all streams pause, those that are sent late only wait.
    pub fn prefill_time(&self, model: &ModelName, tokens: u32) -> Duration {
        Duration::from_secs_f64(effort(tokens) * self.line(model).cautious() / 1000.0)
    }

    fn line(&self, model: &ModelName) -> Line {
        self.models.get(model).copied().unwrap_or_else(|| self.expected(model))
    }

    /// What is expected of a model of which nothing was learnt here: what others have
    /// learnt of it, or that it is read like the slowest one that is known.
    fn expected(&self, model: &ModelName) -> Line {
        if let Some(known) = self.known.get(model) {
            return Line::new(*known, KNOWN_WEIGHT);
        }
        let learnt = self.well_known().map(|(_, line)| line.reading());
        let known = learnt.chain(self.known.values().copied());
        match known.max_by(|a, b| a.token_ms.total_cmp(&b.token_ms)) {
            Some(slowest) => Line::new(slowest, OTHERS_WEIGHT),
            None => Line::new(PrefillTiming::GUESS, GUESS_WEIGHT),
        }
    }

    fn well_known(&self) -> impl Iterator<Item = (&ModelName, &Line)> {
        self.models.iter().filter(|(_, line)| line.weight >= TOLD_FROM)
    }
}

/// The length of a prompt as far as it takes time.
fn effort(tokens: u32) -> f64 {
    let tokens = f64::from(tokens);
    tokens * (1.0 + tokens / DOUBLE_AT)
}
