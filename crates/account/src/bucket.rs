//! A token bucket.

use std::time::{Duration, Instant};

use crate::limit::SliceLimit;

/// A bucket that fills at a rate up to its capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// What it holds; below zero after a charge that exceeded the capacity.
    balance: f64,
    /// The time as of which it holds that.
    updated_at: Instant,
}

impl Bucket {
    /// Creates a bucket that holds `balance`.
    pub fn new(balance: f64, now: Instant) -> Self {
        Self { balance, updated_at: now }
    }

    /// What the bucket holds.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Fills the bucket up to `now`, and cuts it to the capacity, which may have changed.
    pub fn fill(&mut self, limit: &SliceLimit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let filled = self.balance + limit.rate * elapsed.as_secs_f64();
        self.balance = filled.min(limit.capacity);
    }

    /// Takes `cost`; returns whether the bucket held enough.
    ///
    /// A cost beyond the capacity needs a full bucket, which then owes the rest.
    pub fn take(&mut self, cost: f64, limit: &SliceLimit) -> bool {
        let is_covered = self.balance >= cost.min(limit.capacity);
        if is_covered {
            self.balance -= cost;
        }
        is_covered
    }

    /// Returns `cost` that was taken and not used.
    pub fn give_back(&mut self, cost: f64, limit: &SliceLimit) {
        self.balance = (self.balance + cost).min(limit.capacity);
    }

    /// How long until the bucket covers `cost`.
    pub fn time_until(&self, cost: f64, limit: &SliceLimit) -> Duration {
        let missing = (cost.min(limit.capacity) - self.balance).max(0.0);
        Duration::try_from_secs_f64(missing / limit.rate).unwrap_or(Duration::MAX)
    }
}
