//! The engine model that all stand-ins of an engine share: batch, cache and memory,
//! without a protocol and without a clock of its own.

use std::time::{Duration, Instant};

use chestnut_base::prefix_hashes;

use super::batch::{Batch, GenerationRequest, step_time};
use super::cache::PrefixCache;
use super::memory::Memory;

/// The tokens of a cached block; a token is four bytes of text.
const BLOCK_TOKENS: u32 = (chestnut_base::request::PREFIX_BLOCK_BYTES / 4) as u32;

/// What one life of an engine holds and runs.
#[derive(Debug)]
pub struct EngineCore {
    /// The requests.
    pub batch: Batch,
    /// The prompts that are cached.
    pub cache: PrefixCache,
    /// The models and adapters.
    pub memory: Memory,
}

impl EngineCore {
    /// Starts the requests that fit and tells each of them to `start`; returns the
    /// time of the next step, or nothing if no request runs.
    pub fn begin_step(
        &mut self,
        base: Duration,
        now: Instant,
        mut start: impl FnMut(&GenerationRequest),
    ) -> Option<Duration> {
        let mut prefill = 0;
        let cache = &mut self.cache;
        self.batch.admit(|question| {
            prefill += uncached(cache, now, question);
            start(question);
        });
        let running = self.batch.running();
        (running > 0).then(|| step_time(base, running, prefill))
    }

    /// Frees what is to be unloaded and not in use any more; returns its names.
    pub fn free_unloaded(&mut self, now: Instant) -> Vec<String> {
        let batch = &self.batch;
        let freed = self.memory.free_unloaded(|name| batch.uses(name));
        for name in &freed {
            self.cache.drop_model(now, name);
        }
        freed
    }
}

/// The tokens of a question that are not cached; uses its blocks.
fn uncached(cache: &mut PrefixCache, now: Instant, question: &GenerationRequest) -> u32 {
    let hashes = prefix_hashes(&question.prompt);
    let hits = cache.touch(now, &question.model, &hashes) as u32;
    (question.prompt_tokens + question.start_token).saturating_sub(hits * BLOCK_TOKENS)
}
