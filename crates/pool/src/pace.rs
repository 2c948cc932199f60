//! How fast loads from the weight store may begin.
//!
//! Load pattern: demand moves to other models at once, and many replicas are
//! wanted in the same second. The operators bound the loads that begin in any
//! window over all runners; without pacing the first seconds of a shift break the
//! bound, and the loads slow each other down. One planner paces for the pool; one
//! that takes over starts with nothing saved up, so that both together keep to the
//! bound.

use std::time::Instant;

/// Loads that may be saved up.
///
/// The operators allow three beyond the rate in a window; one is left for loads
/// that begin later than they were granted.
const SAVED: f64 = 2.0;

/// How fast loads from the weight store may begin.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    saved: f64,
    at: Instant,
}

impl Pace {
    /// Starts with nothing saved up.
    pub fn new(now: Instant) -> Self {
        Self { saved: 0.0, at: now }
    }

    /// The loads that may begin now, at a rate in loads a second.
    pub fn left(&mut self, rate: f64, now: Instant) -> usize {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        self.saved = (self.saved + gone * rate).min(SAVED);
        self.at = now;
        self.saved as usize
    }

    /// Takes a load out of the budget.
    pub fn take(&mut self) {
        self.saved -= 1.0;
    }
}
