//! Paces loads from the weight store.
//!
//! Load pattern: demand shifts to other models at once, and many replicas are wanted in the
//! same second. The operators bound the loads that begin in any window over all runners;
//! without pacing, the first seconds of a shift exceed the bound, and the loads slow each
//! other down. One planner paces for the whole pool; a planner that takes over starts
//! without credit, so that both together keep to the bound.
//!
//! The planner runs a few times a second. The credit that accrues between two runs has to
//! be saved in full: with a store that allows sixteen loads a second and a credit of two at
//! most, half of the allowed loads are lost.

use std::time::{Duration, Instant};

/// Loads that a window may have beyond the rate and the overshoot.
const EXTRA_LOADS: f64 = 3.0;

/// Loads that are left unused in each window, since some begin later than they were
/// granted.
const RESERVED_LOADS: f64 = 1.0;

/// Share of the overshoot that is left unused for the same reason.
const RESERVED_OVERSHOOT_SHARE: f64 = 0.5;

/// The operators' bound on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Loads per second.
    pub rate: f64,
    /// The window in which loads are counted.
    pub window: Duration,
    /// Factor on the rate that the loads of a window may reach; at least 1.
    pub overshoot: f64,
}

impl LoadBound {
    /// Largest credit that may be saved.
    fn max_credit(self) -> f64 {
        let over = self.rate * self.window.as_secs_f64() * (self.overshoot - 1.0);
        EXTRA_LOADS - RESERVED_LOADS + over.max(0.0) * (1.0 - RESERVED_OVERSHOOT_SHARE)
    }
}

/// A token bucket for loads from the weight store.
#[derive(Debug, Clone, Copy)]
pub struct LoadPacer {
    credit: f64,
    updated_at: Instant,
}

impl LoadPacer {
    /// Starts without credit.
    pub fn new(now: Instant) -> Self {
        Self { credit: 0.0, updated_at: now }
    }

    /// Number of loads that may begin now.
    pub fn available(&mut self, bound: LoadBound, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.credit = (self.credit + elapsed * bound.rate).min(bound.max_credit());
        self.updated_at = now;
        self.credit as usize
    }

    /// Consumes the credit for one load, which has to be available.
    pub fn consume(&mut self) {
        self.credit -= 1.0;
    }
}
