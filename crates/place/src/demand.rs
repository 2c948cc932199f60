//! Estimates of the demand for a model.
//!
//! A model's demand changes tenfold within an hour, in bursts of unknown length. With a
//! single moving average the planner either follows every burst and moves models back and
//! forth, or misses the start of a long one. Two exponential moving averages are used:
//! the fast one raises the estimate soon, the slow one keeps a model whose requests have
//! just stopped from being dropped at once.

use std::time::Duration;

/// Half-life of the fast average.
///
/// Half of a cold start, which takes about a minute: a burst that ends halfway through a
/// load has decayed by half when the load completes.
pub const FAST_HALF_LIFE: Duration = Duration::from_secs(30);

/// Half-life of the slow average.
///
/// Bursts recur within minutes, and reloading a model takes up to a minute.
pub const SLOW_HALF_LIFE: Duration = Duration::from_secs(600);

/// Moving averages of one model's demand, in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandEstimate {
    fast: f64,
    slow: f64,
    has_sample: bool,
    fast_half_life: Duration,
    slow_half_life: Duration,
}

impl Default for DemandEstimate {
    fn default() -> Self {
        Self::with_half_lives(FAST_HALF_LIFE, SLOW_HALF_LIFE)
    }
}

impl DemandEstimate {
    /// Creates an estimate of zero whose averages decay with these half-lives.
    pub fn with_half_lives(fast_half_life: Duration, slow_half_life: Duration) -> Self {
        Self { fast: 0.0, slow: 0.0, has_sample: false, fast_half_life, slow_half_life }
    }

    /// Records the tokens that were requested during the last `interval`.
    ///
    /// The first sample sets both averages; an empty interval is ignored.
    pub fn record(&mut self, tokens: f64, interval: Duration) {
        if interval.is_zero() {
            return;
        }
        let rate = tokens / interval.as_secs_f64();
        if !self.has_sample {
            (self.fast, self.slow, self.has_sample) = (rate, rate, true);
            return;
        }
        self.fast += (rate - self.fast) * sample_weight(interval, self.fast_half_life);
        self.slow += (rate - self.slow) * sample_weight(interval, self.slow_half_life);
    }

    /// The demand to plan for: the greater of both averages, in tokens per second.
    pub fn estimate(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

fn sample_weight(interval: Duration, half_life: Duration) -> f64 {
    1.0 - 0.5_f64.powf(interval.as_secs_f64() / half_life.as_secs_f64())
}
