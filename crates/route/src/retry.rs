//! Retry budget and backoff.
//!
//! Load pattern: a pool is down or full, every attempt fails at once, and retries
//! multiply the load that keeps it down. So retries are limited to a share of the
//! traffic: each request earns [`RETRY_RATIO`] of a retry, and at most
//! [`MAX_SAVED_RETRIES`] are saved up. A short failure of one server is covered
//! completely, while with a pool down the attempts stay below `1 + RETRY_RATIO` times
//! the requests. An offer that a lead refused as not run costs one hop and no work;
//! only the number of such offers per request is limited, by [`MAX_REJECTED_OFFERS`].
//!
//! Requests are not hedged: a second copy of a model's response doubles its tokens, and
//! since a lead knows its queue exactly, slow responses are predicted instead.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Offers refused for lack of capacity after which the caller gets the refusal.
///
/// Under load, 6 offers, one to each candidate, would find capacity no more often.
pub const MAX_REJECTED_OFFERS: usize = 3;

/// Retries that one request earns.
pub const RETRY_RATIO: f64 = 0.1;

/// The most retries that are saved up.
pub const MAX_SAVED_RETRIES: f64 = 50.0;

/// The upper bound of the first retry delay.
pub const FIRST_DELAY_LIMIT: Duration = Duration::from_millis(20);

/// The upper bound of any retry delay.
pub const MAX_DELAY: Duration = Duration::from_secs(2);

/// The retries that an entry may still make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// From 0 to [`MAX_SAVED_RETRIES`].
    saved: f64,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub fn new() -> Self {
        Self { saved: MAX_SAVED_RETRIES }
    }

    /// Adds the share of a retry that a new request earns.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let granted = self.saved >= 1.0;
        if granted {
            self.saved -= 1.0;
        }
        granted
    }

    /// The number of whole retries left.
    pub fn remaining(&self) -> u32 {
        self.saved as u32
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Exponential backoff with full jitter for the retries of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    retries: u32,
}

impl Backoff {
    /// Draws the delay before the next retry, uniformly up to a limit that doubles.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let limit = (FIRST_DELAY_LIMIT * (1 << self.retries.min(10))).min(MAX_DELAY);
        self.retries += 1;
        limit.mul_f64(rng.random())
    }

    /// The number of delays drawn so far.
    pub fn retries(&self) -> u32 {
        self.retries
    }
}
