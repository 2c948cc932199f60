//! Ways to divide an account's limit between daemons, for comparison.
//!
//! Daemons use [`Sharing::Slices`]. The other ways need no holder: an equal share for each
//! daemon, or shares by what each was asked for, exchanged between daemons. They are
//! simulated beside it by `chestnutlane-lab accounts`.

use std::time::Instant;

use crate::bucket::Bucket;
use crate::limit::{Limit, SliceLimit, Tolerance};

/// How a limit is divided between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each daemon has the same share.
    Equal,
    /// Each daemon has a share in proportion to its demand, which daemons exchange.
    Demand,
    /// Each slice has a holder, which is asked for each request.
    Slices,
}

impl Sharing {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Equal, Self::Demand, Self::Slices];
}

/// The share of a limit that one daemon grants by itself.
#[derive(Debug, Clone, Copy)]
pub struct LocalShare {
    bucket: Bucket,
    limit: SliceLimit,
}

impl LocalShare {
    /// Creates a share, between 0 and 1, of a limit.
    pub fn new(limit: &Limit, tolerance: &Tolerance, share: f64, now: Instant) -> Self {
        let limit = share_of(limit, tolerance, share);
        Self { bucket: Bucket::new(limit.capacity, now), limit }
    }

    /// Changes the share; what the bucket holds beyond its new capacity is lost.
    pub fn resize(
        &mut self,
        limit: &Limit,
        tolerance: &Tolerance,
        share: f64,
        now: Instant,
    ) {
        self.bucket.fill(&self.limit, now);
        self.limit = share_of(limit, tolerance, share);
        self.bucket.fill(&self.limit, now);
    }

    /// Takes the cost of a request; returns whether the share covers it.
    pub fn take(&mut self, cost: f64, now: Instant) -> bool {
        self.bucket.fill(&self.limit, now);
        self.bucket.take(cost, &self.limit)
    }
}

fn share_of(limit: &Limit, tolerance: &Tolerance, share: f64) -> SliceLimit {
    let slice = limit.slice(tolerance);
    let share = share * f64::from(limit.slice_count());
    SliceLimit {
        rate: slice.rate * share,
        capacity: slice.capacity * share,
        takeover: slice.takeover * share,
        slices: slice.slices,
    }
}
