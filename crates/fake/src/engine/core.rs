//! The simulation shared by all stand-ins for an engine: batch, prefix cache and memory,
//! without a protocol or a clock.

use std::time::{Duration, Instant};

use chestnut_base::prefix_hashes;

use super::batch::{Batch, GenerationRequest, step_time};
use super::cache::PrefixCache;
use super::memory::Memory;

/// The number of tokens in a cached block; a token is four bytes of text.
const BLOCK_TOKENS: u32 = (chestnut_base::request::PREFIX_BLOCK_BYTES / 4) as u32;

/// The state of an engine, which a crash discards.
#[derive(Debug)]
pub struct EngineCore {
    /// The waiting, running and finished requests.
    pub batch: Batch,
    /// The cached blocks of prompts.
    pub cache: PrefixCache,
    /// The models and adapters in memory.
    pub memory: Memory,
}

impl EngineCore {
    /// Starts the requests that fit and calls `on_start` for each; returns the duration
    /// of the next step, or `None` if no request runs.
    pub fn begin_step(
        &mut self,
        base_step_time: Duration,
        now: Instant,
        mut on_start: impl FnMut(&GenerationRequest),
    ) -> Option<Duration> {
        let mut prefill_tokens = 0;
        let cache = &mut self.cache;
        self.batch.admit(|request| {
            prefill_tokens += uncached_tokens(cache, now, request);
            on_start(request);
        });
        let running = self.batch.running();
        (running > 0).then(|| step_time(base_step_time, running, prefill_tokens))
    }

    /// Frees models and adapters that are unloading and no longer in use; returns their
    /// names.
    pub fn free_unloaded(&mut self, now: Instant) -> Vec<String> {
        let batch = &self.batch;
        let freed = self.memory.free_unloaded(|name| batch.uses(name));
        for name in &freed {
            self.cache.remove_model(now, name);
        }
        freed
    }
}

/// The number of tokens that a request has to prefill; marks its blocks in the cache as
/// used.
fn uncached_tokens(
    cache: &mut PrefixCache,
    now: Instant,
    request: &GenerationRequest,
) -> u32 {
    let hashes = prefix_hashes(&request.prompt);
    let cached_blocks = cache.touch(now, &request.model, &hashes) as u32;
    (request.prompt_tokens + request.start_token)
        .saturating_sub(cached_blocks * BLOCK_TOKENS)
}
