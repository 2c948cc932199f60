//! The order in which waiting requests are dispatched.
//!
//! Load pattern: urgent requests come in bursts while slow ones keep the backend
//! server busy. First come, first served makes a seat check wait behind every
//! draft that came before it. By deadline, the seat check goes first because it
//! is due first, and a draft moves ahead as its own deadline comes near, so that
//! it is not starved: the deadline itself is the ageing. By class, a request
//! moves up one class after half of its time.

use std::cmp::Ordering;
use std::time::Instant;

use chestnut_base::Urgency;

use crate::limits::Order;

/// What the place of a waiting request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// How urgent it is.
    pub urgency: Urgency,
    /// When it came.
    pub since: Instant,
    /// When it must be done.
    pub deadline: Instant,
    /// Its number at the lead; no two requests have the same.
    pub number: u64,
}

impl Place {
    /// Compares two places; the lesser is dispatched first.
    ///
    /// A total order at any one time, since the numbers differ.
    pub fn compare(&self, other: &Self, order: Order, now: Instant) -> Ordering {
        let first = match order {
            Order::Arrival => Ordering::Equal,
            Order::Class => {
                let class = self.class(now).cmp(&other.class(now));
                class.then(self.deadline.cmp(&other.deadline))
            }
            Order::Deadline => {
                let deadline = self.deadline.cmp(&other.deadline);
                deadline.then(self.urgency.cmp(&other.urgency))
            }
        };
        first.then(self.number.cmp(&other.number))
    }

    /// The class with ageing: one up after half of the time.
    fn class(&self, now: Instant) -> u8 {
        let waited = now.saturating_duration_since(self.since);
        let budget = self.deadline.saturating_duration_since(self.since);
        let aged = u8::from(waited > budget / 2);
        (self.urgency as u8).saturating_sub(aged)
    }
}
