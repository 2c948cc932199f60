//! The order in which waiting requests are dispatched.
//!
//! Load pattern: urgent requests arrive in bursts while slow ones keep the backend server
//! busy. First come, first served makes an urgent request wait behind every slow one that
//! arrived before it. Ordered by deadline, the urgent request goes first because it is
//! due first, and a slow one advances as its own deadline approaches, so it is not
//! starved: the deadline itself provides the ageing. Ordered by class, a request moves up
//! one class after half of its time budget.

use std::cmp::Ordering;
use std::time::Instant;

use chestnut_base::Urgency;

use crate::limits::QueueOrder;

/// The sort key of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueKey {
    /// The priority class.
    pub urgency: Urgency,
    /// The time of arrival.
    pub enqueued_at: Instant,
    /// The time by which the response must be complete.
    pub deadline: Instant,
    /// The sequence number at the controller; unique.
    pub sequence: u64,
}

impl QueueKey {
    /// Compares two keys; the lesser is dispatched first.
    ///
    /// This is a total order at any given time, since sequence numbers are unique.
    pub fn compare(&self, other: &Self, order: QueueOrder, now: Instant) -> Ordering {
        let first = match order {
            QueueOrder::Fifo => Ordering::Equal,
            QueueOrder::Priority => {
                let class = self.aged_class(now).cmp(&other.aged_class(now));
                class.then(self.deadline.cmp(&other.deadline))
            }
            QueueOrder::Deadline => {
                let deadline = self.deadline.cmp(&other.deadline);
                deadline.then(self.urgency.cmp(&other.urgency))
            }
        };
        first.then(self.sequence.cmp(&other.sequence))
    }

    /// The class with ageing: one level up after half of the time budget.
    fn aged_class(&self, now: Instant) -> u8 {
        let waited = now.saturating_duration_since(self.enqueued_at);
        let budget = self.deadline.saturating_duration_since(self.enqueued_at);
        let promotion = u8::from(waited > budget / 2);
        (self.urgency as u8).saturating_sub(promotion)
    }
}
