//! The cache of prompt prefixes and the events it publishes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// How many events are kept; those before are a gap for who asks late.
const EVENTS: usize = 4096;

/// A block that entered or left the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number.
    pub seq: u64,
    /// The chained hash of the prompt up to the block.
    pub block: u64,
    /// The engine's name of the model or adapter.
    pub model: String,
    /// Whether the block entered.
    pub stored: bool,
}

/// What an engine answers to a reader of events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first; their numbers may have gaps.
    pub events: Vec<CacheEvent>,
    /// Where to go on reading.
    pub next: u64,
}

/// The blocks that are cached, the least recently used first.
#[derive(Debug)]
pub struct PrefixCache {
    /// Never more than `room` blocks.
    blocks: IndexSet<(String, u64)>,
    room: usize,
    next: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache with room for so many blocks.
    pub fn new(room: usize) -> Self {
        Self { blocks: IndexSet::new(), room, next: 1, events: VecDeque::new() }
    }

    /// Uses a prompt's blocks and returns how many from its start were cached.
    pub fn touch(&mut self, now: Instant, model: &str, hashes: &[u64]) -> usize {
        let key = |hash: u64| (model.to_owned(), hash);
        let cached =
            hashes.iter().take_while(|&&h| self.blocks.contains(&key(h))).count();
        // The last block first, so that the start of a prompt leaves last.
        for &hash in hashes.iter().rev() {
            let known = self.blocks.shift_remove(&key(hash));
            self.blocks.insert(key(hash));
            if !known {
                self.publish(now, key(hash), true);
            }
        }
        while self.blocks.len() > self.room {
            if let Some(block) = self.blocks.shift_remove_index(0) {
                self.publish(now, block, false);
            }
        }
        cached
    }

    /// Drops all blocks of a model or adapter.
    pub fn drop_model(&mut self, now: Instant, model: &str) {
        let gone: Vec<_> =
            self.blocks.iter().filter(|(name, _)| name == model).cloned().collect();
        for block in gone {
            self.blocks.shift_remove(&block);
            self.publish(now, block, false);
        }
    }

    /// The events from number `since` on that are at least `lag` old.
    ///
    /// One in `gap` is left out if `gap` is not 0.
    pub fn read(&self, now: Instant, since: u64, lag: Duration, gap: u64) -> CacheEvents {
        let ripe = self
            .events
            .iter()
            .take_while(|(at, _)| *at + lag <= now)
            .map(|(_, event)| event);
        let next = ripe.clone().last().map_or(since, |event| event.seq + 1).max(since);
        let shown = |event: &&CacheEvent| {
            event.seq >= since && (gap == 0 || !event.seq.is_multiple_of(gap))
        };
        CacheEvents { events: ripe.filter(shown).cloned().collect(), next }
    }

    fn publish(&mut self, now: Instant, (model, block): (String, u64), stored: bool) {
        let seq = self.next;
        self.next += 1;
        self.events.push_back((now, CacheEvent { seq, block, model, stored }));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
