//! Simulates an engine with continuous batching and chunked prefill.
//!
//! Each step generates one token per decoding stream, takes longer the more streams run,
//! and also prefills one chunk of the pending prompts. Cached prefixes are not prefilled.

use std::time::Duration;

use super::scenario::DeploymentSpec;
use super::traffic::Request;

/// Prompt tokens that one step prefills at most.
const MAX_CHUNK_TOKENS: u32 = 512;

/// Shared prefixes that the KV cache holds.
const MAX_CACHED_PREFIXES: usize = 16;

/// A running stream.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Index of the request in the traffic.
    pub request: usize,
    /// Prompt tokens that are not prefilled yet; 0 while decoding.
    pub pending_prompt: u32,
    /// Output tokens so far, over all attempts.
    pub generated: u32,
    /// Tokens that were not reported to the lead yet.
    pub unreported: u32,
}

/// Progress of one stream in a step, by the index of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutput {
    /// The first token of the attempt.
    FirstToken(usize),
    /// Further tokens and their number, reported in batches.
    Tokens(usize, u32),
    /// The response is complete; carries the number of unreported tokens.
    Finished(usize, u32),
}

/// Tokens per progress report to the lead.
const REPORT_TOKENS: u32 = 8;

/// A simulated engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Running streams.
    pub streams: Vec<Stream>,
    /// LRU cache of shared prefixes: model, prefix and cached blocks, most recent last.
    prefix_cache: Vec<(usize, u64, u32)>,
    /// Whether a step is scheduled.
    pub is_stepping: bool,
}

impl Engine {
    /// Adds a stream for a request of which earlier attempts generated `generated` tokens.
    pub fn start(&mut self, index: usize, request: &Request, generated: u32) {
        let cached = self.cache_prefix(request).min(request.prefix_blocks)
            * super::traffic::BLOCK_TOKENS;
        let pending_prompt = (request.prompt_tokens - cached + generated).max(1);
        self.streams.push(Stream {
            request: index,
            pending_prompt,
            generated,
            unreported: 0,
        });
    }

    /// Removes a stream and returns its token count; `None` if the request is not running.
    pub fn cancel(&mut self, index: usize) -> Option<u32> {
        let position = self.streams.iter().position(|s| s.request == index)?;
        Some(self.streams.swap_remove(position).generated)
    }

    /// Drops the cache and all streams, as a crash does; returns the streams.
    pub fn reset(&mut self) -> Vec<Stream> {
        self.prefix_cache.clear();
        std::mem::take(&mut self.streams)
    }

    /// Duration of the next step.
    pub fn step_time(&self, spec: &DeploymentSpec) -> Duration {
        let decoding = self.streams.iter().filter(|s| s.pending_prompt == 0).count();
        let pending: u32 = self.streams.iter().map(|s| s.pending_prompt).sum();
        spec.step_time(decoding)
            + spec.prefill_time_per_token * pending.min(MAX_CHUNK_TOKENS)
    }

    /// Completes a step and returns the progress of its streams.
    pub fn step(&mut self, requests: &[Request]) -> Vec<StepOutput> {
        let mut budget = MAX_CHUNK_TOKENS;
        let mut outputs = Vec::new();
        for stream in &mut self.streams {
            if stream.pending_prompt > 0 {
                let tokens = stream.pending_prompt.min(budget);
                stream.pending_prompt -= tokens;
                budget -= tokens;
                if stream.pending_prompt > 0 {
                    continue;
                }
                stream.generated += 1;
                outputs.push(StepOutput::FirstToken(stream.request));
            } else {
                stream.generated += 1;
                stream.unreported += 1;
            }
            if stream.generated >= requests[stream.request].output_tokens {
                outputs.push(StepOutput::Finished(stream.request, stream.unreported));
            } else if stream.unreported == REPORT_TOKENS {
                outputs.push(StepOutput::Tokens(stream.request, REPORT_TOKENS));
                stream.unreported = 0;
            }
        }
        self.streams.retain(|s| s.generated < requests[s.request].output_tokens);
        outputs
    }

    /// Caches the shared prefix of a request; returns how many of its blocks were cached before.
    fn cache_prefix(&mut self, request: &Request) -> u32 {
        let (model, prefix) = (request.model, request.prefix_id);
        let position =
            self.prefix_cache.iter().position(|&(m, p, _)| (m, p) == (model, prefix));
        let cached = position.map_or(0, |position| self.prefix_cache.remove(position).2);
        self.prefix_cache.push((model, prefix, cached.max(request.prefix_blocks)));
        if self.prefix_cache.len() > MAX_CACHED_PREFIXES {
            self.prefix_cache.remove(0);
        }
        cached
    }
}
