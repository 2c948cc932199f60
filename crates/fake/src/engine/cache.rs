//! The prefix cache and the events that it publishes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// The number of events retained; a reader that falls further behind sees a gap.
const MAX_EVENTS: usize = 4096;

/// A block was stored in the cache or evicted from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event, from 1.
    pub seq: u64,
    /// The chained hash of the prompt up to the block.
    pub block: u64,
    /// The engine's name of the model or adapter.
    pub model: String,
    /// Whether the block was stored; false if it was evicted.
    pub stored: bool,
}

/// An engine's response to a reader of cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first; their sequence numbers may have gaps.
    pub events: Vec<CacheEvent>,
    /// The sequence number from which to continue reading.
    pub next: u64,
}

/// An LRU cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    /// Model and hash of each block, least recently used first; at most `capacity`.
    blocks: IndexSet<(String, u64)>,
    capacity: usize,
    /// The sequence number of the next event.
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in blocks.
    pub fn new(capacity: usize) -> Self {
        Self { blocks: IndexSet::new(), capacity, next_seq: 1, events: VecDeque::new() }
    }

    /// Marks a prompt's blocks as used, storing missing ones; returns how many
    /// consecutive blocks from its start were cached.
    pub fn touch(&mut self, now: Instant, model: &str, hashes: &[u64]) -> usize {
        let key = |hash: u64| (model.to_owned(), hash);
        let cached =
            hashes.iter().take_while(|&&h| self.blocks.contains(&key(h))).count();
        // In reverse order, so that the start of a prompt is evicted last.
        for &hash in hashes.iter().rev() {
            let was_cached = self.blocks.shift_remove(&key(hash));
            self.blocks.insert(key(hash));
            if !was_cached {
                self.publish(now, key(hash), true);
            }
        }
        while self.blocks.len() > self.capacity {
            if let Some(block) = self.blocks.shift_remove_index(0) {
                self.publish(now, block, false);
            }
        }
        cached
    }

    /// Evicts all blocks of a model or adapter.
    pub fn remove_model(&mut self, now: Instant, model: &str) {
        let evicted: Vec<_> =
            self.blocks.iter().filter(|(name, _)| name == model).cloned().collect();
        for block in evicted {
            self.blocks.shift_remove(&block);
            self.publish(now, block, false);
        }
    }

    /// The events from sequence number `since` that are at least `lag` old.
    ///
    /// Events whose sequence number is a multiple of `gap` are omitted if `gap` is not 0.
    pub fn read_events(
        &self,
        now: Instant,
        since: u64,
        lag: Duration,
        gap: u64,
    ) -> CacheEvents {
        let visible = self
            .events
            .iter()
            .take_while(|(published_at, _)| *published_at + lag <= now)
            .map(|(_, event)| event);
        let next = visible.clone().last().map_or(since, |event| event.seq + 1).max(since);
        let is_selected = |event: &&CacheEvent| {
            event.seq >= since && (gap == 0 || !event.seq.is_multiple_of(gap))
        };
        CacheEvents { events: visible.filter(is_selected).cloned().collect(), next }
    }

    fn publish(&mut self, now: Instant, (model, block): (String, u64), stored: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.events.push_back((now, CacheEvent { seq, block, model, stored }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
