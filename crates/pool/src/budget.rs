//! How often requests are sent again.
//!
//! Load pattern: servers of a service reject or fail many requests at once, and
//! each repeat adds to the load that made them fail. Without a bound every
//! request arrives as often as its deadline allows. The operators' bound holds for
//! the sum over all daemons, in any window; each daemon keeps to its own share,
//! which needs no message and holds when daemons can't reach each other.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The operators' bound on repeats, for one service over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// The part of the bound that daemons plan with.
///
/// Arrivals are counted where they arrive, some milliseconds after they were sent,
/// and the number of daemons may be known late.
const SAFETY: f64 = 0.8;

/// A daemon's own share of the repeats for one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Takes note of a request for the service.
    pub fn request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Takes a repeat out of the budget, if there is one; `daemons` share the slack.
    pub fn take(&mut self, bound: RetryBound, daemons: usize, now: Instant) -> bool {
        self.forget(bound.window, now);
        let slack = bound.slack / daemons.max(1) as f64;
        let limit = (self.requests.len() as f64 * bound.ratio + slack) * SAFETY;
        let granted = (self.repeats.len() as f64) < limit.floor();
        if granted {
            self.repeats.push_back(now);
        }
        granted
    }

    fn forget(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|&at| now.duration_since(at) > window) {
                times.pop_front();
            }
        }
    }
}
