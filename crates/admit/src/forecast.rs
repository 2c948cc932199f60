//! Estimates when waiting requests start and end.
//!
//! The backend server is modelled as a number of streams and an amount of KV cache;
//! waiting requests start in order, each as soon as a stream and enough cache are free.
//! One pass costs `(running + waiting) · log(streams)` and shows whether a new request
//! would be in time, whether it would push an admitted one past its deadline, and how
//! long the wait is. A formula over the mean backlog is not enough: it can't tell one
//! long stream that ends late from many short ones, which matters when long requests are
//! mixed with short ones.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Capacity that a running request occupies until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reservation {
    /// The estimated end.
    pub end: Instant,
    /// The tokens of KV cache that the request occupies.
    pub cache_tokens: u64,
}

/// The resources that a waiting request needs.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The estimated time from dispatch to end.
    pub run_time: Duration,
    /// The tokens of KV cache that the request occupies.
    pub cache_tokens: u64,
    /// Whether the request may use the streams reserved for urgent requests.
    pub urgent: bool,
}

/// The capacity of the backend server.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Streams in total.
    pub streams: usize,
    /// The number of these streams that are reserved for urgent requests.
    pub urgent_reserve: usize,
    /// Tokens of KV cache.
    pub cache_tokens: u64,
}

impl Capacity {
    /// Whether one more request fits beside those that run.
    ///
    /// An idle server fits any request.
    pub fn fits(
        &self,
        running: usize,
        used_tokens: u64,
        cache_tokens: u64,
        urgent: bool,
    ) -> bool {
        if running == 0 {
            return true;
        }
        let streams =
            if urgent { self.streams } else { self.streams - self.urgent_reserve };
        running < streams && used_tokens + cache_tokens <= self.cache_tokens
    }
}

/// Estimates the start time of each waiting request if they start in the given order.
pub fn estimate_starts(
    capacity: Capacity,
    now: Instant,
    running: impl Iterator<Item = Reservation>,
    waiting: impl Iterator<Item = Demand>,
) -> Vec<Instant> {
    let mut reservations: BinaryHeap<_> = running.map(Reverse).collect();
    let mut used_tokens: u64 =
        reservations.iter().map(|Reverse(held)| held.cache_tokens).sum();
    let mut time = now;
    waiting
        .map(|demand| {
            while !capacity.fits(
                reservations.len(),
                used_tokens,
                demand.cache_tokens,
                demand.urgent,
            ) {
                let Some(Reverse(first)) = reservations.pop() else { break };
                used_tokens -= first.cache_tokens;
                time = time.max(first.end);
            }
            reservations.push(Reverse(Reservation {
                end: time + demand.run_time,
                cache_tokens: demand.cache_tokens,
            }));
            used_tokens += demand.cache_tokens;
            time
        })
        .collect()
}
