//! Foresees when waiting requests start and end.
//!
//! The backend server is taken as so many streams and so many tokens of cache;
//! waiting requests start in order, each when a stream and its tokens are free.
//! One pass costs `(running + waiting) · log(streams)` and answers three
//! questions: would a new request be in time, would an admitted one be pushed
//! past its deadline, and how long is the wait. A formula over the mean backlog
//! was left out: it can't tell one long stream that ends late from many short
//! ones, which is the case of long jobs among short ones.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// What holds a part of the backend server until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Held {
    /// When it ends.
    pub end: Instant,
    /// The tokens that it occupies.
    pub tokens: u64,
}

/// A waiting request, as far as its start and end go.
#[derive(Debug, Clone, Copy)]
pub struct Item {
    /// The time from its dispatch to its end.
    pub run: Duration,
    /// The tokens that it occupies.
    pub tokens: u64,
    /// Whether it may take the streams that are reserved for urgent requests.
    pub urgent: bool,
}

/// What the backend server has for running streams.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Streams in total.
    pub streams: usize,
    /// Of them, those that only urgent requests may take.
    pub reserve: usize,
    /// Tokens of cache.
    pub tokens: u64,
}

impl Room {
    /// Whether one more request may start beside those that run.
    pub fn takes(&self, running: usize, used: u64, tokens: u64, urgent: bool) -> bool {
        if running == 0 {
            return true;
        }
        let streams = if urgent { self.streams } else { self.streams - self.reserve };
        running < streams && used + tokens <= self.tokens
    }
}

/// The time at which each item starts, if they start in the order given.
pub fn starts(
    room: Room,
    now: Instant,
    running: impl Iterator<Item = Held>,
    items: impl Iterator<Item = Item>,
) -> Vec<Instant> {
    let mut held: BinaryHeap<_> = running.map(Reverse).collect();
    let mut used: u64 = held.iter().map(|Reverse(held)| held.tokens).sum();
    let mut time = now;
    items
        .map(|item| {
            while !room.takes(held.len(), used, item.tokens, item.urgent) {
                let Some(Reverse(first)) = held.pop() else { break };
                used -= first.tokens;
                time = time.max(first.end);
            }
            held.push(Reverse(Held { end: time + item.run, tokens: item.tokens }));
            used += item.tokens;
            time
        })
        .collect()
}
