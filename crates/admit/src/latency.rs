//! How fast a backend server is, as measured.
//!
//! Load pattern: engines batch, and a step takes longer when prompts are computed
//! in it: in a burst of short requests the prompts, not the answers, fill the
//! engine, and one server may slow down without failing. Without the measurement
//! a lead promises by the declared step time, and a burst is admitted and then late
//! as a whole. So steps are fitted against the prompt tokens computed in them, and
//! foreseen from the prompts and answers of those that run and wait. The weights halve after [`MEMORY`] samples: a
//! server that emits 1,000 tokens a second is known again within a second, while
//! single outliers move the estimate by less than half a percent.

use std::time::Duration;

use chestnut_base::Urgency;

use crate::limits::Limits;

/// The number of samples after which an old one counts a half.
const MEMORY: f64 = 200.0;

/// The number of answers after which an old length counts a half.
const LENGTHS: f64 = 30.0;

/// The least and the greatest correction of foreseen times.
const BIAS: (f64, f64) = (0.5, 4.0);

/// The least variance of prompt tokens at which a slope is trusted.
const SPREAD: f64 = 1.0;

/// A line fitted to samples, old ones fading.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    keep: f64,
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    /// Starts from one assumed sample that counts as much as `weight` real ones.
    pub fn new(half: f64, x: f64, y: f64, weight: f64) -> Self {
        Self {
            keep: 0.5_f64.powf(1.0 / half),
            weight,
            x: weight * x,
            y: weight * y,
            xx: weight * x * x,
            xy: weight * x * y,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * self.keep + 1.0;
        self.x = self.x * self.keep + x;
        self.y = self.y * self.keep + y;
        self.xx = self.xx * self.keep + x * x;
        self.xy = self.xy * self.keep + x * y;
    }

    /// The fitted value at `x`; never below a tenth of the mean.
    pub fn at(&self, x: f64) -> f64 {
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let slope = if variance > SPREAD { covariance / variance } else { 0.0 };
        (mean_y + slope.max(0.0) * (x - mean_x)).max(mean_y * 0.1)
    }
}

/// How fast a backend server is.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Seconds of a step against the prompt tokens computed in it.
    step: Line,
    /// Seconds to the first token against the tokens of the prompt.
    first: Line,
    /// The part of the allowed length that answers reach, by urgency.
    lengths: [f64; 3],
    /// How many times as long as foreseen requests have run lately.
    bias: f64,
}

impl Pace {
    /// Starts from what is declared.
    pub fn new(limits: &Limits) -> Self {
        let step = limits.step_time.as_secs_f64();
        Self {
            step: Line::new(MEMORY, 0.0, step, 5.0),
            first: Line::new(MEMORY, 0.0, step, 5.0),
            lengths: [1.0; 3],
            bias: 1.0,
        }
    }

    /// Notes that a stream gave `count` tokens after `took`, in which the engine
    /// computed `prompts` tokens of prompts.
    pub fn tokens(&mut self, prompts: u64, count: u32, took: Duration) {
        if count > 0 {
            let count = f64::from(count);
            self.step.add(prompts as f64 / count, took.as_secs_f64() / count);
        }
    }

    /// Notes how long the first token of a prompt took.
    pub fn first(&mut self, prompt: u32, took: Duration) {
        self.first.add(f64::from(prompt), took.as_secs_f64());
    }

    /// Notes the length of a whole answer against the length allowed.
    pub fn ended(&mut self, urgency: Urgency, got: u32, allowed: u32) {
        if allowed > 0 {
            let part = f64::from(got.min(allowed)) / f64::from(allowed);
            let length = &mut self.lengths[urgency as usize];
            *length += (part - *length) / LENGTHS;
        }
    }

    /// Notes how long a whole answer took against what was foreseen.
    pub fn ran(&mut self, foreseen: Duration, took: Duration) {
        let foreseen = foreseen.as_secs_f64();
        if foreseen > 0.0 {
            let times = self.bias * took.as_secs_f64() / foreseen;
            self.bias += (times.clamp(BIAS.0, BIAS.1) - self.bias) / LENGTHS;
        }
    }

    /// The time of a step that computes `prompts` tokens of prompts.
    pub fn step(&self, prompts: f64) -> Duration {
        seconds(self.step.at(prompts))
    }

    /// The time to the first token of a prompt.
    pub fn prefill(&self, prompt: u32) -> Duration {
        seconds(self.first.at(f64::from(prompt)))
    }

    /// The tokens that an answer is expected to have.
    pub fn expected(&self, urgency: Urgency, allowed: u32) -> f64 {
        f64::from(allowed) * self.lengths[urgency as usize]
    }

    /// The time that a request takes from its dispatch to its end.
    pub fn run(
        &self,
        urgency: Urgency,
        prompt: u32,
        output: u32,
        step: Duration,
    ) -> Duration {
        let rest = (self.expected(urgency, output) - 1.0).max(0.0);
        (self.prefill(prompt) + step.mul_f64(rest)).mul_f64(self.bias)
    }

    /// The time that a running stream still takes after `got` tokens.
    pub fn rest(
        &self,
        urgency: Urgency,
        allowed: u32,
        got: u32,
        step: Duration,
    ) -> Duration {
        let left = f64::from(allowed.saturating_sub(got));
        let expected = self.expected(urgency, allowed) - f64::from(got);
        // A stream that outlived its expected length ends anywhere before the
        // allowed one.
        let rest = expected.max(left / 2.0).min(left);
        step.mul_f64(rest * self.bias)
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::ZERO)
}
