//! Learns how fast one runner is, compared with others of its service.
//!
//! Load pattern: the runners of a service need between 0.6 and 1.6 times the nominal times,
//! for steps and prefill alike, and all of them get prompts. With one set of timings for the
//! service, prompts are sent to a slow runner faster than it prefills them; 29 to 44 in 100
//! streams on slow runners then have a gap between events over the limit of 300 ms, against 3
//! to 6 in 100 on fast ones.
//!
//! The duration of a step is learned from the gaps between the events of streams, which all
//! daemons report to the runner's holder. A runner has some 3 to 4 streams a second, each
//! with 20 to 40 events, so it is known within a second. Prefill is compared with the times
//! that [`EngineTimings`] expects for a nominal runner, by a line fitted to times of first
//! events, so that whatever else a first event takes is not counted as slow prefill. Samples
//! of it are rare, because the engine must have been idle; until there are some, prefill is
//! expected to be as slow as steps are.
//!
//! The samples of [`EngineTimings`] are divided by the ratio of the runner's steps, which is
//! compared with all runners of the service. A holder has few runners, and without this its
//! timings would become those of its own runners. They are not divided by the ratio of
//! prefill times, which is compared with these timings: both estimates would then drift
//! apart, their product remaining right, until one reaches its bounds.

use std::time::Duration;

use chestnut_base::ModelName;

use crate::timing::{EngineTimings, STEP_TIME_MARGIN};

/// Smallest and largest ratio of a runner's times to nominal ones.
const RATIO_RANGE: (f64, f64) = (0.25, 4.0);

/// Largest factor between a sample and what is expected by earlier ones.
///
/// Samples further off are moved to it, so that a single wrong one has little effect. One
/// among three good ones changes the estimate by a fifth at most.
const MAX_SURPRISE: f64 = 2.0;

/// After how many samples in a row that are faster than [`MAX_SURPRISE`] allows an estimate
/// starts anew.
///
/// A runner that counts as too slow gets few streams, so that its estimate is corrected slowly:
/// in the simulation of `tests/speed.rs`, one that counted as four times too slow had 23 of its
/// usual 193 streams in 30 s. Noise makes samples slower; three in a row that are twice as fast
/// as expected show that the estimate is wrong.
const RESTART_AFTER: u8 = 3;

/// Smallest and largest plausible duration of a step.
const STEP_RANGE: (Duration, Duration) =
    (Duration::from_micros(100), Duration::from_secs(1));

/// Quantile of a stream's gaps that is taken for steps without prefill.
///
/// At a runner that is fully loaded, prompts are prefilled in less than half of the gaps.
const GAP_QUANTILE: f64 = 0.3;

/// Shorter gaps are between events that arrived together, and are ignored.
const MIN_GAP: Duration = Duration::from_millis(1);

/// The number of a stream's first gaps that are evaluated.
const MAX_GAPS: usize = 64;

/// The smallest number of gaps of which a quantile says anything.
const MIN_GAPS: u32 = 5;

/// The number of gaps with which a stream counts fully.
const FULL_GAPS: f64 = 15.0;

/// Number of streams that the expectation for a step counts for.
///
/// A runner has three to four streams a second, and two or three of them have to outweigh
/// the expectation. In trials with the simulation of `tests/speed.rs`, 306 of 11,700 streams
/// had too long a gap with this, 353 with a weight of 1.
const STEP_PRIOR_WEIGHT: f64 = 0.5;

/// Share of a stream's weight that is left when the next one is added.
///
/// The last ten streams count for two thirds, some three seconds at a busy runner, so that
/// one that slows down as it fills is noticed.
const STREAM_DECAY: f64 = 0.9;

/// Prefill times of nominal runners, in milliseconds, at which the expectation is added to
/// the line, and the weight of each.
///
/// They are those of prompts of 200 and 2,200 tokens. The weight is low, because busy
/// runners have few samples, and because steps show less than the difference in speed: slow
/// runners have fewer streams, and steps grow with their number.
const PRIOR_AT_MS: [f64; 2] = [10.0, 110.0];
const PRIOR_WEIGHT: f64 = 0.7;

/// Standard deviation of the times of first events around the line, with which prefill is
/// estimated on the long side.
///
/// A prompt arrives anywhere within a step of 10 to 20 ms, and up to a seventh of it may be
/// cached without the holder's knowledge. In the same trials, 340 of 11,700 streams had too
/// long a gap with 16 ms, 306 with this and 256 with 32 ms; but of those at a usual load of 21
/// streams a second, 42, 44 and 65.
const FIRST_EVENT_NOISE_MS: f64 = 24.0;

/// Share of a first event's weight that is left when the next one is added.
///
/// The expected times change while they are learned, so that old samples mislead.
const PREFILL_DECAY: f64 = 0.93;

/// The duration of a step, measured by the events of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepSample {
    /// The duration of a step without prefill; within [`STEP_RANGE`].
    step: Duration,
    /// The number of gaps that it is based on; at least [`MIN_GAPS`].
    gaps: u32,
}

impl StepSample {
    /// Checks a measurement; `None` if it is implausible or based on too few gaps.
    pub fn new(step: Duration, gaps: u32) -> Option<Self> {
        let (min, max) = STEP_RANGE;
        ((min..=max).contains(&step) && gaps >= MIN_GAPS).then_some(Self { step, gaps })
    }

    /// The duration of a step without prefill.
    pub fn step(self) -> Duration {
        self.step
    }

    /// The number of gaps that it is based on.
    pub fn gaps(self) -> u32 {
        self.gaps
    }

    fn weight(self) -> f64 {
        (f64::from(self.gaps) / FULL_GAPS).min(1.0)
    }
}

/// The gaps between the events of one stream.
#[derive(Debug, Default)]
pub struct StreamGaps {
    /// At most [`MAX_GAPS`].
    gaps: Vec<Duration>,
}

impl StreamGaps {
    /// Records the gap before an event.
    pub fn record(&mut self, gap: Duration) {
        if gap >= MIN_GAP && self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap);
        }
    }

    /// The duration of a step, where each event has `tokens` tokens; `None` if there were
    /// too few gaps.
    pub fn sample(mut self, tokens: u32) -> Option<StepSample> {
        self.gaps.sort_unstable();
        let index = (self.gaps.len() as f64 * GAP_QUANTILE) as usize;
        let step = *self.gaps.get(index)? / tokens.max(1);
        StepSample::new(step, self.gaps.len() as u32)
    }
}

/// Decaying geometric mean of the durations of steps.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MeanStep {
    weight: f64,
    /// Weighted sum of the natural logarithms of seconds.
    log_sum: f64,
}

impl MeanStep {
    /// Adds a stream's sample after multiplying the weight of earlier ones by `decay`.
    pub fn record(&mut self, sample: StepSample, decay: f64) {
        let weight = sample.weight();
        self.weight = self.weight * decay + weight;
        self.log_sum = self.log_sum * decay + weight * sample.step.as_secs_f64().ln();
    }

    /// The mean with an expectation that counts for [`STEP_PRIOR_WEIGHT`] streams; `None`
    /// without samples.
    pub fn pulled_to(self, expected: Duration) -> Option<Duration> {
        let prior = STEP_PRIOR_WEIGHT * expected.as_secs_f64().ln();
        let weight = self.weight + STEP_PRIOR_WEIGHT;
        let mean = || Duration::from_secs_f64(((self.log_sum + prior) / weight).exp());
        (self.weight > 0.0 && !expected.is_zero()).then(mean)
    }

    /// The mean; `None` without samples.
    pub fn mean(self) -> Option<Duration> {
        let mean = || Duration::from_secs_f64((self.log_sum / self.weight).exp());
        (self.weight > 0.0).then(mean)
    }
}

/// Weighted sums of the times of first events over the prefill times that are expected of a
/// nominal runner, both in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct PrefillLine {
    weight: f64,
    expected: f64,
    time: f64,
    expected_squared: f64,
    product: f64,
}

impl PrefillLine {
    fn with(self, expected: f64, time: f64, weight: f64, decay: f64) -> Self {
        Self {
            weight: self.weight * decay + weight,
            expected: self.expected * decay + weight * expected,
            time: self.time * decay + weight * time,
            expected_squared: self.expected_squared * decay
                + weight * expected * expected,
            product: self.product * decay + weight * expected * time,
        }
    }

    /// Adds the line of a runner of this ratio.
    fn with_prior(self, ratio: f64, overhead: f64) -> Self {
        let add = |line: Self, expected: f64| {
            line.with(expected, ratio * (expected + overhead), PRIOR_WEIGHT, 1.0)
        };
        PRIOR_AT_MS.into_iter().fold(self, add)
    }

    /// The ratio of times to expected ones; the prior provides the variance.
    fn slope(self) -> f64 {
        let variance =
            self.expected_squared * self.weight - self.expected * self.expected;
        let covariance = self.product * self.weight - self.expected * self.time;
        clamp_ratio(covariance / variance)
    }

    /// The slope plus its standard error.
    fn cautious_slope(self) -> f64 {
        let spread = self.expected_squared - self.expected * self.expected / self.weight;
        clamp_ratio(self.slope() + FIRST_EVENT_NOISE_MS / spread.sqrt())
    }

    /// The time of a first event besides prefill, in milliseconds.
    fn intercept(self) -> f64 {
        ((self.time - self.slope() * self.expected) / self.weight).max(0.0)
    }
}

/// What the holder of a runner has learned of its speed; without samples, all times are
/// those of the service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerSpeed {
    steps: MeanStep,
    /// The number of samples of steps in a row that were much faster than expected.
    fast_steps: u8,
    /// The mean duration of a step over all runners of the service, as of the last sample.
    nominal_step: Option<Duration>,
    prefill: PrefillLine,
    /// The number of first events in a row that were much faster than expected.
    fast_prefills: u8,
    /// The time of a nominal runner's first event besides prefill, in milliseconds, as of
    /// the last sample.
    nominal_overhead_ms: f64,
}

impl ServerSpeed {
    /// Starts from what this daemon observed before it held the runner's claim.
    pub fn new(steps: MeanStep, nominal_step: Duration) -> Self {
        Self { steps, nominal_step: Some(nominal_step), ..Self::default() }
    }

    /// Records what a stream on the runner measured.
    ///
    /// `nominal_step` is the mean over all runners of the service.
    pub fn record_stream(&mut self, sample: StepSample, nominal_step: Duration) {
        self.nominal_step = Some(nominal_step);
        let shortest = |steps: MeanStep| {
            steps.pulled_to(nominal_step).unwrap_or(nominal_step).div_f64(MAX_SURPRISE)
        };
        if is_restart(&mut self.fast_steps, sample.step < shortest(self.steps)) {
            self.steps = MeanStep::default();
        }
        let min = shortest(self.steps);
        let max = min.mul_f64(MAX_SURPRISE * MAX_SURPRISE);
        // The mean stays within the plausible range; from outside of it, dozens of right samples
        // would not change the ratio.
        let (fastest, slowest) = RATIO_RANGE;
        let step = sample
            .step
            .clamp(min, max)
            .clamp(nominal_step.mul_f64(fastest), nominal_step.mul_f64(slowest));
        self.steps.record(StepSample { step, ..sample }, STREAM_DECAY);
    }

    /// Records that a prompt with this many uncached tokens, which found the engine idle,
    /// had its first event after `time`. Returns that time of a nominal runner.
    pub fn record_first_event(
        &mut self,
        model: &ModelName,
        tokens: u32,
        time: Duration,
        timings: &EngineTimings,
    ) -> Duration {
        let expected = millis(timings.mean_prefill_time(model, tokens));
        let overhead = millis(timings.first_event_overhead(model));
        let usual =
            |speed: &Self| (expected + overhead) * speed.prefill_ratio().unwrap_or(1.0);
        let is_fast = millis(time) < usual(self) / MAX_SURPRISE;
        if is_restart(&mut self.fast_prefills, is_fast) {
            self.prefill = PrefillLine::default();
        }
        let usual = usual(self);
        let sample = millis(time).clamp(usual / MAX_SURPRISE, usual * MAX_SURPRISE);
        self.nominal_overhead_ms = overhead;
        self.prefill = self.prefill.with(expected, sample, 1.0, PREFILL_DECAY);
        time.div_f64(self.step_ratio().unwrap_or(1.0))
    }

    /// The ratio of the runner's steps to those of a nominal one; `None` if unknown.
    pub fn step_ratio(&self) -> Option<f64> {
        let nominal = self.nominal_step?;
        let step = self.steps.pulled_to(nominal)?;
        Some(clamp_ratio(step.div_duration_f64(nominal)))
    }

    /// The ratio of the runner's prefill times to those of a nominal one; `None` if unknown.
    pub fn prefill_ratio(&self) -> Option<f64> {
        if self.prefill.weight == 0.0 {
            return self.step_ratio();
        }
        Some(self.prefill_line(self.nominal_overhead_ms).slope())
    }

    /// The ratio of the runner's times in general; `None` if unknown.
    pub fn ratio(&self) -> Option<f64> {
        let prefill = self.prefill_ratio()?;
        Some((prefill * self.step_ratio().unwrap_or(prefill)).sqrt())
    }

    /// Estimated prefill time for a prompt with this many uncached tokens, on the long side.
    pub fn prefill_time(
        &self,
        model: &ModelName,
        tokens: u32,
        timings: &EngineTimings,
    ) -> Duration {
        let nominal = timings.prefill_time(model, tokens);
        if self.prefill.weight == 0.0 {
            return self.step_ratio().map_or(nominal, |ratio| nominal.mul_f64(ratio));
        }
        let line = self.prefill_line(self.nominal_overhead_ms);
        nominal.mul_f64(line.cautious_slope())
    }

    /// Time of a first event besides prefill.
    pub fn first_event_overhead(
        &self,
        model: &ModelName,
        timings: &EngineTimings,
    ) -> Duration {
        let nominal = timings.first_event_overhead(model);
        if self.prefill.weight == 0.0 {
            return nominal;
        }
        let line = self.prefill_line(millis(nominal));
        Duration::from_secs_f64(line.intercept() / 1000.0)
    }

    /// Duration of a step without prefill, estimated on the long side.
    pub fn step_time(&self, timings: &EngineTimings) -> Duration {
        let expected = timings.step_time();
        let Some(mean) = self.steps.mean() else { return expected };
        let known = MeanStep {
            log_sum: self.steps.weight
                * mean.mul_f64(STEP_TIME_MARGIN).as_secs_f64().ln(),
            ..self.steps
        };
        let (min, max) = RATIO_RANGE;
        let step = known.pulled_to(expected).unwrap_or(expected);
        step.clamp(expected.mul_f64(min), expected.mul_f64(max))
    }

    /// Mean time that requests spend at the runner.
    pub fn service_time(&self, timings: &EngineTimings) -> Duration {
        let nominal = timings.service_time();
        self.step_ratio().map_or(nominal, |ratio| nominal.mul_f64(ratio))
    }

    /// The number of streams that the estimate of a step is based on, with the decay of
    /// older ones.
    pub fn streams(&self) -> f64 {
        self.steps.weight
    }

    /// The samples with the expectation that prefill is as slow as steps are; `overhead` is
    /// that of a nominal runner, in milliseconds.
    fn prefill_line(&self, overhead: f64) -> PrefillLine {
        self.prefill.with_prior(self.step_ratio().unwrap_or(1.0), overhead)
    }
}

/// Limits a ratio to the plausible range.
pub(crate) fn clamp_ratio(ratio: f64) -> f64 {
    let (min, max) = RATIO_RANGE;
    if ratio.is_finite() { ratio.clamp(min, max) } else { 1.0 }
}

/// Counts samples that are much faster than expected; returns whether the estimate starts anew.
fn is_restart(in_a_row: &mut u8, is_fast: bool) -> bool {
    *in_a_row = if is_fast { *in_a_row + 1 } else { 0 };
    let is_due = *in_a_row >= RESTART_AFTER;
    if is_due {
        *in_a_row = 0;
    }
    is_due
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
