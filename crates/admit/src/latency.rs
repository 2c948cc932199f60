//! A model of a backend server's speed, fitted to measurements.
//!
//! Load pattern: engines batch, and a step takes longer if prompts are prefilled in it.
//! In a burst of short requests the prompts, not the responses, occupy the engine, and a
//! server may become slow without failing. With only the declared step time a burst would
//! be admitted and then be late as a whole. So step time is fitted against the prompt
//! tokens prefilled in the step, and predicted from the prompts and responses of the
//! requests that run and wait. Weights halve after [`SAMPLE_HALF_LIFE`] samples: for a
//! server that emits 1,000 tokens a second the model adapts within a second, while a
//! single outlier moves the estimate by less than half a percent of its deviation.

use std::time::Duration;

use chestnut_base::Urgency;

use crate::limits::Limits;

/// The number of samples after which the weight of an old one has halved.
const SAMPLE_HALF_LIFE: f64 = 200.0;

/// The window of the moving averages over completed requests, in requests.
const REQUEST_WINDOW: f64 = 30.0;

/// The least and the greatest correction factor of estimated run times.
const CORRECTION_RANGE: (f64, f64) = (0.5, 4.0);

/// The least variance of x, in tokens², at which the fitted slope is used.
///
/// Below it, predictions are the mean.
const MIN_VARIANCE: f64 = 1.0;

/// A linear regression with exponentially decaying weights.
#[derive(Debug, Clone, Copy)]
pub struct DecayingRegression {
    /// The factor by which all weights shrink per sample.
    decay: f64,
    /// The sum of the samples' weights.
    weight: f64,
    /// Weighted sum of x.
    x: f64,
    /// Weighted sum of y.
    y: f64,
    /// Weighted sum of x².
    xx: f64,
    /// Weighted sum of x · y.
    xy: f64,
}

impl DecayingRegression {
    /// Starts from one prior sample that counts as much as `weight` measured ones.
    ///
    /// `half_life` is the number of samples after which a weight has halved.
    pub fn new(half_life: f64, x: f64, y: f64, weight: f64) -> Self {
        Self {
            decay: 0.5_f64.powf(1.0 / half_life),
            weight,
            x: weight * x,
            y: weight * y,
            xx: weight * x * x,
            xy: weight * x * y,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * self.decay + 1.0;
        self.x = self.x * self.decay + x;
        self.y = self.y * self.decay + y;
        self.xx = self.xx * self.decay + x * x;
        self.xy = self.xy * self.decay + x * y;
    }

    /// The predicted value at `x`; the slope is never negative, and the value is at least
    /// a tenth of the mean.
    pub fn predict(&self, x: f64) -> f64 {
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let slope = if variance > MIN_VARIANCE { covariance / variance } else { 0.0 };
        (mean_y + slope.max(0.0) * (x - mean_x)).max(mean_y * 0.1)
    }
}

/// Predicts step, prefill and run times of a backend server.
#[derive(Debug, Clone)]
pub struct LatencyModel {
    /// Seconds per step against the prompt tokens prefilled in it.
    step_time: DecayingRegression,
    /// Seconds to the first token against the length of the prompt in tokens.
    first_token: DecayingRegression,
    /// Mean fraction of the allowed length that responses reach, by urgency.
    length_ratios: [f64; 3],
    /// Mean ratio of actual to estimated run time.
    correction: f64,
}

impl LatencyModel {
    /// Starts from the declared step time, which counts as much as five measured samples.
    pub fn new(limits: &Limits) -> Self {
        let step_time = limits.step_time.as_secs_f64();
        Self {
            step_time: DecayingRegression::new(SAMPLE_HALF_LIFE, 0.0, step_time, 5.0),
            first_token: DecayingRegression::new(SAMPLE_HALF_LIFE, 0.0, step_time, 5.0),
            length_ratios: [1.0; 3],
            correction: 1.0,
        }
    }

    /// Records that a stream produced `count` tokens in `elapsed`, during which the
    /// engine prefilled `prefilled_tokens` tokens of prompts.
    pub fn record_tokens(
        &mut self,
        prefilled_tokens: u64,
        count: u32,
        elapsed: Duration,
    ) {
        if count > 0 {
            let count = f64::from(count);
            self.step_time
                .add(prefilled_tokens as f64 / count, elapsed.as_secs_f64() / count);
        }
    }

    /// Records the time from dispatch to the first token.
    pub fn record_first_token(&mut self, prompt_tokens: u32, elapsed: Duration) {
        self.first_token.add(f64::from(prompt_tokens), elapsed.as_secs_f64());
    }

    /// Records the length of a complete response against the allowed length.
    pub fn record_length(&mut self, urgency: Urgency, generated: u32, allowed: u32) {
        if allowed > 0 {
            let ratio = f64::from(generated.min(allowed)) / f64::from(allowed);
            let mean = &mut self.length_ratios[urgency as usize];
            *mean += (ratio - *mean) / REQUEST_WINDOW;
        }
    }

    /// Records the run time of a complete response against its estimate.
    pub fn record_run_time(&mut self, estimated: Duration, actual: Duration) {
        let estimated = estimated.as_secs_f64();
        if estimated > 0.0 {
            let ratio = self.correction * actual.as_secs_f64() / estimated;
            self.correction += (ratio.clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1)
                - self.correction)
                / REQUEST_WINDOW;
        }
    }

    /// The time of a step in which `prefilled_tokens` tokens of prompts are prefilled.
    pub fn step_time(&self, prefilled_tokens: f64) -> Duration {
        from_seconds(self.step_time.predict(prefilled_tokens))
    }

    /// The time from dispatch to the first token.
    pub fn prefill_time(&self, prompt_tokens: u32) -> Duration {
        from_seconds(self.first_token.predict(f64::from(prompt_tokens)))
    }

    /// The expected length of a response, in tokens.
    pub fn expected_length(&self, urgency: Urgency, allowed: u32) -> f64 {
        f64::from(allowed) * self.length_ratios[urgency as usize]
    }

    /// The time from the dispatch of a request to its end.
    pub fn run_time(
        &self,
        urgency: Urgency,
        prompt_tokens: u32,
        max_output_tokens: u32,
        step_time: Duration,
    ) -> Duration {
        let after_first =
            (self.expected_length(urgency, max_output_tokens) - 1.0).max(0.0);
        (self.prefill_time(prompt_tokens) + step_time.mul_f64(after_first))
            .mul_f64(self.correction)
    }

    /// The time that a running stream still takes after `generated` tokens.
    pub fn remaining_time(
        &self,
        urgency: Urgency,
        allowed: u32,
        generated: u32,
        step_time: Duration,
    ) -> Duration {
        let left = f64::from(allowed.saturating_sub(generated));
        let expected = self.expected_length(urgency, allowed) - f64::from(generated);
        // A stream beyond its expected length may end anywhere up to the allowed one;
        // half of what is left is the mean.
        let remaining = expected.max(left / 2.0).min(left);
        step_time.mul_f64(remaining * self.correction)
    }
}

/// Converts to a duration; zero if the value is negative or not representable.
fn from_seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::ZERO)
}
