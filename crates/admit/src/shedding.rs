//! Whose request goes when there is not room for all.
//!
//! Load pattern: overload, and a caller that sends far more than its share.
//! Refusing whoever comes last keeps what came first, however long it is and
//! whoever sent it. Here the least urgent goes first, then the request of the
//! caller most over its share, then the longest. With equal urgency and fair
//! callers this is Moore and Hodgson's rule (by deadline, drop the longest of
//! those up to the first late one), which gives the most requests in time on one
//! machine; the figures for several streams are in `docs/POLICY.md`.

use std::cmp::Ordering;

use chestnut_base::Urgency;

/// How many times its share a caller may have before it is refused first.
///
/// Below it, uneven arrivals alone make callers differ.
pub const TOLERANCE: f64 = 1.5;

/// How dear it is to keep a request; the dearest goes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Price {
    /// How urgent it is.
    pub urgency: Urgency,
    /// How often its share the caller has had.
    pub excess: f64,
    /// Seconds of stream time that it takes.
    pub cost: f64,
    /// Whether slow requests have had less than the part kept for them.
    pub owed: bool,
}

impl Price {
    /// Compares two prices; the greater goes first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let class = self.class().cmp(&other.class());
        let share = self.over().cmp(&other.over());
        class.then(share).then(self.cost.total_cmp(&other.cost))
    }

    /// Whether the caller is so far over its share that this decides.
    pub fn is_hot(&self) -> bool {
        self.excess > TOLERANCE
    }

    fn class(&self) -> Urgency {
        if self.owed { Urgency::Urgent } else { self.urgency }
    }

    /// The excess in steps of half a share, so that small differences leave the
    /// choice to the cost.
    fn over(&self) -> u32 {
        if self.is_hot() { (self.excess * 2.0).min(1e6) as u32 } else { 0 }
    }
}
