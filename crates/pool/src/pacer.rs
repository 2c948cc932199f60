//! How fast loads from the weight store may begin.
//!
//! Load pattern: demand moves to other models at once, and many replicas are
//! wanted in the same second. The operators bound the loads that begin in any
//! window over all runners; without pacing the first seconds of a shift break the
//! bound, and the loads slow each other down. One planner paces for the pool; one
//! that takes over starts with nothing saved up, so that both together keep to the
//! bound.
//!
//! The planner looks a few times a second. What accrues between two looks has to be
//! saved up whole: with a store that allows sixteen loads a second and two saved at
//! most, half of what is allowed is lost.

use std::time::{Duration, Instant};

/// Loads that a window may have beyond the rate and the overshoot.
const EXTRA: f64 = 3.0;

/// Loads that are left unused in each window, for those that begin later than they were
/// granted.
const SPARE: f64 = 1.0;

/// The share of the overshoot that is left unused for the same reason.
const SPARE_SHARE: f64 = 0.5;

/// What operators allow of loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Loads in a second.
    pub rate: f64,
    /// The window in which loads are counted.
    pub window: Duration,
    /// How many times the rate the loads of a window may be, at least 1.
    pub overshoot: f64,
}

impl LoadBound {
    /// The loads that may be saved up.
    fn most_saved(self) -> f64 {
        let over = self.rate * self.window.as_secs_f64() * (self.overshoot - 1.0);
        EXTRA - SPARE + over.max(0.0) * (1.0 - SPARE_SHARE)
    }
}

/// How fast loads from the weight store may begin.
#[derive(Debug, Clone, Copy)]
pub struct LoadPacer {
    saved: f64,
    at: Instant,
}

impl LoadPacer {
    /// Starts with nothing saved up.
    pub fn new(now: Instant) -> Self {
        Self { saved: 0.0, at: now }
    }

    /// The loads that may begin now.
    pub fn available(&mut self, bound: LoadBound, now: Instant) -> usize {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        self.saved = (self.saved + gone * bound.rate).min(bound.most_saved());
        self.at = now;
        self.saved as usize
    }

    /// Takes a load out of the budget.
    pub fn take(&mut self) {
        self.saved -= 1.0;
    }
}
