//! Which request is refused under overload.
//!
//! Load pattern: overload, and a caller that sends far more than its share. Refusing the
//! newest request keeps the oldest ones, regardless of their length and caller.
//! Instead, the least urgent is refused first, then the request of the caller most over
//! its share, then the longest. With equal urgency and fair callers this is the
//! Moore-Hodgson rule (in deadline order, drop the longest of those up to the first late
//! one), which maximises the requests in time on one machine; `docs/POLICY.md` has the
//! figures for several streams.

use std::cmp::Ordering;

use chestnut_base::Urgency;

/// The share ratio above which a caller's requests are refused first.
///
/// Below it, callers differ through uneven arrivals alone.
pub const SHARE_TOLERANCE: f64 = 1.5;

/// The sort key of a candidate for refusal; the greatest is refused first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SheddingKey {
    /// The priority class.
    pub urgency: Urgency,
    /// The caller's usage relative to its fair share; 1 is fair.
    pub share_ratio: f64,
    /// Estimated seconds of stream time that the request takes.
    pub cost: f64,
    /// Whether the request is slow and slow requests have had less than their guaranteed
    /// fraction of the stream time.
    pub below_floor: bool,
}

impl SheddingKey {
    /// Compares two keys; the greater is refused first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let class = self.class().cmp(&other.class());
        let share = self.share_excess().cmp(&other.share_excess());
        class.then(share).then(self.cost.total_cmp(&other.cost))
    }

    /// Whether the caller's usage exceeds its share by more than the tolerance.
    pub fn exceeds_share(&self) -> bool {
        self.share_ratio > SHARE_TOLERANCE
    }

    /// The class; a slow request below the floor counts as urgent, so that it is refused
    /// last.
    fn class(&self) -> Urgency {
        if self.below_floor { Urgency::Urgent } else { self.urgency }
    }

    /// The share ratio in steps of a half, so that small differences leave the choice to
    /// the cost; 0 within the tolerance.
    fn share_excess(&self) -> u32 {
        if self.exceeds_share() { (self.share_ratio * 2.0).min(1e6) as u32 } else { 0 }
    }
}
