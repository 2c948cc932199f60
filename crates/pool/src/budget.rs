//! Bounds how often requests are retried.
//!
//! Load pattern: servers of a service reject or fail many requests at once, and each retry
//! adds to the load that made them fail. Without a bound every request is sent as often as
//! its deadline allows. The operators' bound holds for the sum over all daemons, in any
//! window; each daemon keeps to its own share, which needs no messages. The caller counts the
//! daemons such that the shares used within one window add up to the bound.
//!
//! A daemon that has just started does not know how many retries the previous process on
//! its VM made. It has no share of the slack until the caller counts it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The operators' bound on the retries for one service, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, per window.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// Share of the bound that daemons plan with.
///
/// Requests are counted at the server, some milliseconds after they were sent, and a change
/// in the number of daemons may be noticed late.
const PLANNED_SHARE: f64 = 0.8;

/// The decision on a retry, and what decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryGrant {
    /// Whether the request may be retried.
    pub granted: bool,
    /// The daemon's requests in the window.
    pub requests: usize,
    /// The daemon's retries in the window before this one.
    pub used: usize,
    /// The most retries that the daemon may make in the window; the fraction doesn't count.
    pub limit: f64,
}

/// A daemon's share of the retries for one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Records a request for the service.
    ///
    /// This also removes records older than `window`, which would accumulate in memory
    /// while no request of the service is retried.
    pub fn record_request(&mut self, window: Duration, now: Instant) {
        self.remove_expired(window, now);
        self.requests.push_back(now);
    }

    /// Number of requests and retries that are held in memory.
    pub fn tracked(&self) -> usize {
        self.requests.len() + self.retries.len()
    }

    /// Consumes one retry of the budget if one is left.
    ///
    /// All `daemons` share the slack; `None` while this daemon must not use its share.
    pub fn try_consume(
        &mut self,
        bound: RetryBound,
        daemons: Option<usize>,
        now: Instant,
    ) -> RetryGrant {
        self.remove_expired(bound.window, now);
        let share = daemons.map_or(0.0, |daemons| bound.slack / daemons.max(1) as f64);
        let earned = self.requests.len() as f64 * bound.ratio;
        let limit = (earned + share) * PLANNED_SHARE;
        let (requests, used) = (self.requests.len(), self.retries.len());
        let granted = (used as f64) < limit.floor();
        if granted {
            self.retries.push_back(now);
        }
        RetryGrant { granted, requests, used, limit }
    }

    fn remove_expired(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|&at| now.duration_since(at) > window) {
                times.pop_front();
            }
        }
    }
}
