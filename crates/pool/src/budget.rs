//! Bounds how often requests are retried.
//!
//! Load pattern: servers of a service reject or fail many requests at once, and each retry
//! adds to the load that made them fail. Without a bound every request is sent as often as
//! its deadline allows. The operators' bound holds for the sum over all daemons, in any
//! window: a part of the retries for each request, and a slack. Each daemon keeps to its own
//! part, which needs no messages.
//!
//! The slack is shared. The caller says which part of it this daemon may use, such that the
//! parts used within one window add up to the slack.
//!
//! A request earns a part of a retry at the daemon that it was sent to. What it has earned is
//! spent once and expires soon, so that a window has little more than its own requests have
//! earned, whichever daemons they were sent to and whether these still run.

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

impl RetryBound {
    /// How long after its grant a retry may be sent without another decision.
    pub fn max_grant_age(&self) -> Duration {
        self.window.mul_f64(MAX_GRANT_WINDOWS)
    }
}

/// Fraction of the retries allowed for each request that it earns.
///
/// The retries of a window may have been earned up to [`EARNED_WINDOWS`] before it.
const EARNED_FRACTION: f64 = 0.8;

/// How long what a request has earned may be spent, in windows.
const EARNED_WINDOWS: f64 = 0.25;

/// How long what was taken from the slack counts, in windows.
///
/// A retry reaches its server later than it is sent by the time for which its connection may
/// leave it unacknowledged.
const TAKEN_WINDOWS: f64 = 1.15;

/// How long after its grant a retry may be sent without another decision, in windows.
const MAX_GRANT_WINDOWS: f64 = 0.025;

const _: () = assert!(EARNED_FRACTION * (1.0 + EARNED_WINDOWS) <= 1.0);

/// A daemon's part of the retries for one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// What requests have earned and is not spent, in retries, oldest first.
    earned: VecDeque<(Instant, f64)>,
    /// What was taken from the slack, in retries, oldest first.
    taken: VecDeque<(Instant, f64)>,
}

/// The decision on a retry, and what decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryGrant {
    /// Whether the request may be retried.
    pub granted: bool,
    /// When it was decided.
    pub at: Instant,
    /// What it took from the slack, in retries.
    pub taken: f64,
    /// What requests had earned, in retries.
    pub earned: f64,
    /// What was left of this daemon's part of the slack, in retries.
    pub slack: f64,
}

impl RetryBudget {
    /// Records a request for the service.
    ///
    /// This also removes what has expired, which would accumulate in memory while no request
    /// of the service is retried.
    pub fn record_request(&mut self, bound: RetryBound, now: Instant) {
        self.remove_expired(bound, now);
        self.earned.push_back((now, bound.ratio * EARNED_FRACTION));
    }

    /// Number of records that are held in memory.
    pub fn tracked(&self) -> usize {
        self.earned.len() + self.taken.len()
    }

    /// The retries that are left; `part` is the fraction of the slack that this daemon may
    /// use.
    pub fn left(&mut self, bound: RetryBound, part: f64, now: Instant) -> f64 {
        self.remove_expired(bound, now);
        let sum = |records: &VecDeque<(Instant, f64)>| -> f64 {
            records.iter().map(|(_, part)| part).sum()
        };
        sum(&self.earned) + (bound.slack * part - sum(&self.taken)).max(0.0)
    }

    /// Takes one retry from the budget if one is left.
    ///
    /// `part` is the fraction of the slack that this daemon may use.
    pub fn try_consume(
        &mut self,
        bound: RetryBound,
        part: f64,
        now: Instant,
    ) -> RetryGrant {
        self.remove_expired(bound, now);
        let earned = self.earned.iter().map(|(_, part)| part).sum();
        let taken: f64 = self.taken.iter().map(|(_, part)| part).sum();
        let slack = (bound.slack * part - taken).max(0.0);
        let granted = earned + slack >= 1.0;
        let taken = if granted { self.spend_earned(1.0) } else { 0.0 };
        if taken > 0.0 {
            self.taken.push_back((now, taken));
        }
        RetryGrant { granted, at: now, taken, earned, slack }
    }

    /// Decides again on a granted retry that is about to be sent.
    ///
    /// Retries that were granted one after the other and waited for the same server would
    /// all count in the window in which they are sent.
    pub fn renew(
        &mut self,
        grant: RetryGrant,
        bound: RetryBound,
        part: f64,
        now: Instant,
    ) -> RetryGrant {
        if now < grant.at + bound.max_grant_age() {
            return grant;
        }
        let is_own = |record: &(Instant, f64)| *record == (grant.at, grant.taken);
        if let Some(index) = self.taken.iter().position(is_own) {
            self.taken.remove(index);
        }
        self.try_consume(bound, part, now)
    }

    /// Spends what requests have earned, oldest first; returns what is missing to `amount`.
    fn spend_earned(&mut self, mut amount: f64) -> f64 {
        while let Some((_, part)) = self.earned.front_mut() {
            if *part > amount {
                *part -= amount;
                return 0.0;
            }
            amount -= *part;
            self.earned.pop_front();
        }
        amount
    }

    fn remove_expired(&mut self, bound: RetryBound, now: Instant) {
        let expired = |record: Option<&(Instant, f64)>, after| {
            record.is_some_and(|(at, _)| now.duration_since(*at) > after)
        };
        while expired(self.earned.front(), bound.window.mul_f64(EARNED_WINDOWS)) {
            self.earned.pop_front();
        }
        while expired(self.taken.front(), bound.window.mul_f64(TAKEN_WINDOWS)) {
            self.taken.pop_front();
        }
    }
}
