//! Whether and when to try again.
//!
//! Load pattern: a pool is down or full, every attempt fails at once, and retries
//! multiply the load that keeps it down. Retries are therefore a share of the
//! traffic: each request earns [`SHARE`] of a retry, and at most [`SAVED`] are
//! saved up, so that a short failure of one server is covered whole while with a
//! pool down the attempts stay below `1 + SHARE` times the requests. An offer that
//! a lead refused as not run costs one hop and no work; it is bounded by the
//! number of tries alone, [`MAX_REJECTED_OFFERS`].
//!
//! Hedging is not done: a second copy of a model's answer doubles its tokens, and
//! with a lead that knows its queue exactly the slow case is foreseen instead.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Offers that are refused for want of room before the caller is told.
///
/// Six, as many as there are candidates, found no more room under load.
pub const MAX_REJECTED_OFFERS: usize = 3;

/// Retries that one request earns.
pub const SHARE: f64 = 0.1;

/// Retries that are saved up at most.
pub const SAVED: f64 = 50.0;

/// The longest pause before the first retry.
pub const FIRST: Duration = Duration::from_millis(20);

/// The longest pause before any retry.
pub const LAST: Duration = Duration::from_secs(2);

/// The retries that an entry may still make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Between 0 and [`SAVED`].
    saved: f64,
}

impl RetryBudget {
    /// Starts with all that can be saved.
    pub fn new() -> Self {
        Self { saved: SAVED }
    }

    /// Earns a request's share.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + SHARE).min(SAVED);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let granted = self.saved >= 1.0;
        if granted {
            self.saved -= 1.0;
        }
        granted
    }

    /// Retries that are left.
    pub fn remaining(&self) -> u32 {
        self.saved as u32
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// The pauses before a request's retries: drawn evenly up to a limit that doubles.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    retries: u32,
}

impl Backoff {
    /// The pause before the next retry.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let limit = (FIRST * (1 << self.retries.min(10))).min(LAST);
        self.retries += 1;
        limit.mul_f64(rng.random())
    }

    /// Retries so far.
    pub fn retries(&self) -> u32 {
        self.retries
    }
}
