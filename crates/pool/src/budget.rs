//! How often requests are sent again.
//!
//! Load pattern: servers of a service reject or fail many requests at once, and
//! each repeat adds to the load that made them fail. Without a bound every
//! request arrives as often as its deadline allows. The operators' bound holds for
//! the sum over all daemons, in any window; each daemon keeps to its own share,
//! which needs no message and holds when daemons can't reach each other.
//!
//! A daemon that has just started does not know what the process before it on its VM
//! has spent. All daemons that are killed and start again would spend the slack twice in
//! a window; for as long as a window lasts a new one therefore has only that part of the
//! slack which the one before it did not plan with.

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
#[derive(Debug)]
pub struct RetryBudget {
    /// When the daemon started.
    started: Instant,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the budget of a daemon that started at this time.
    pub fn new(started: Instant) -> Self {
        Self { started, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Takes note of a request for the service.
    ///
    /// What is older than `window` is forgotten here too: a service that fails nothing
    /// has no repeats for years, and would fill the memory with its requests.
    pub fn record_request(&mut self, window: Duration, now: Instant) {
        self.forget(window, now);
        self.requests.push_back(now);
    }

    /// How many requests and repeats are remembered.
    pub fn tracked(&self) -> usize {
        self.requests.len() + self.repeats.len()
    }

    /// Takes a repeat out of the budget, if there is one.
    ///
    /// `daemons` share the slack; while their number is not known there is none.
    pub fn try_take(
        &mut self,
        bound: RetryBound,
        daemons: Option<usize>,
        now: Instant,
    ) -> bool {
        self.forget(bound.window, now);
        let share = daemons.map_or(0.0, |daemons| bound.slack / daemons.max(1) as f64);
        let new = now.saturating_duration_since(self.started) < bound.window;
        let slack = share * if new { 1.0 - SAFETY } else { SAFETY };
        let limit = self.requests.len() as f64 * bound.ratio * SAFETY + slack;
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
