//! How much of each model callers ask for.
//!
//! Load pattern: a model's demand moves tenfold within an hour, in bursts whose
//! length nobody knows. A single average either follows every burst, and the
//! planner moves models back and forth, or misses the start of a long one. Two
//! are kept: the fast one raises the estimate soon, the slow one keeps a model
//! that has just gone quiet from being dropped at once.

use std::time::Duration;

/// The time in which the fast average forgets half.
///
/// Half of a cold start of about a minute: a burst that is over before a load
/// could end has half faded when it would have helped.
pub const FAST_HALF_LIFE: Duration = Duration::from_secs(30);

/// The time in which the slow average forgets half.
///
/// Callers' bursts come back within minutes; reloading costs up to a minute.
pub const SLOW_HALF_LIFE: Duration = Duration::from_secs(600);

/// The averages of one model's demand, in tokens a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandEstimate {
    fast: f64,
    slow: f64,
    started: bool,
    fast_half: Duration,
    slow_half: Duration,
}

impl Default for DemandEstimate {
    fn default() -> Self {
        Self::with_half_lives(FAST_HALF_LIFE, SLOW_HALF_LIFE)
    }
}

impl DemandEstimate {
    /// Creates averages that forget half in these times.
    pub fn with_half_lives(fast_half: Duration, slow_half: Duration) -> Self {
        Self { fast: 0.0, slow: 0.0, started: false, fast_half, slow_half }
    }

    /// Takes in the tokens that were asked for during `time`.
    ///
    /// The first call sets both averages.
    pub fn record(&mut self, tokens: f64, time: Duration) {
        if time.is_zero() {
            return;
        }
        let rate = tokens / time.as_secs_f64();
        if !self.started {
            (self.fast, self.slow, self.started) = (rate, rate, true);
            return;
        }
        self.fast += (rate - self.fast) * weight(time, self.fast_half);
        self.slow += (rate - self.slow) * weight(time, self.slow_half);
    }

    /// The demand to plan for, in tokens a second.
    pub fn estimate(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

fn weight(time: Duration, half: Duration) -> f64 {
    1.0 - 0.5_f64.powf(time.as_secs_f64() / half.as_secs_f64())
}
