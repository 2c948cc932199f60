//! Estimates which prompt prefixes a runner has in its KV cache.
//!
//! An engine does not prefill a part again that it has cached for the same model and
//! adapter, as long as it has all parts before it. Its own reports of the cache are late
//! and incomplete; the prompts that were sent to it show almost the same at no cost, since
//! it evicts the least recently used parts.

use chestnut_edge::{PromptPart, TargetModel};
use indexmap::IndexMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the KV cache that is assumed to hold parts of finished requests.
///
/// Running requests take the rest.
const CACHED_SHARE: f64 = 0.4;

/// Hash of a model and adapter, a part, and all parts before it.
type PrefixHash = u64;

/// An estimate of the prompt prefixes in a runner's KV cache.
///
/// Callers name the tokens of parts, so that sums of them saturate.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// The tokens of each prefix's last part, least recently used first.
    parts: IndexMap<PrefixHash, u32>,
    /// Sum of the tokens.
    tokens: u64,
}

impl PrefixCache {
    /// Prompt tokens that the runner need not prefill.
    pub fn cached_tokens(&self, target: &TargetModel, parts: &[PromptPart]) -> u32 {
        let cached = prefix_hashes(target, parts)
            .take_while(|(hash, _)| self.parts.contains_key(hash));
        cached.fold(0, |sum, (_, tokens)| sum.saturating_add(tokens))
    }

    /// Tokens of shared prompt parts that are not in this estimate, so that the runner
    /// may or may not have them cached. The last part is not shared with other requests.
    pub fn uncertain_tokens(&self, target: &TargetModel, parts: &[PromptPart]) -> u32 {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let unknown = prefix_hashes(target, shared)
            .skip_while(|(hash, _)| self.parts.contains_key(hash));
        unknown.fold(0, |sum, (_, tokens)| sum.saturating_add(tokens))
    }

    /// Records that a prompt is sent to a runner whose KV cache holds `capacity` tokens.
    pub fn record_sent(
        &mut self,
        target: &TargetModel,
        parts: &[PromptPart],
        capacity: u64,
    ) {
        for (hash, tokens) in prefix_hashes(target, parts) {
            if let Some(old) = self.parts.shift_remove(&hash) {
                self.tokens -= u64::from(old);
            }
            self.parts.insert(hash, tokens);
            self.tokens += u64::from(tokens);
        }
        let limit = (capacity as f64 * CACHED_SHARE) as u64;
        while self.tokens > limit
            && let Some((_, tokens)) = self.parts.shift_remove_index(0)
        {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Removes the parts of a prompt after the first `tokens` tokens, since the runner does
    /// not get the prompt.
    ///
    /// If another prompt with the same parts was sent meanwhile, prefill is estimated on the
    /// long side until the next one.
    pub fn forget_after(
        &mut self,
        target: &TargetModel,
        parts: &[PromptPart],
        tokens: u32,
    ) {
        let mut end: u32 = 0;
        for (hash, part_tokens) in prefix_hashes(target, parts) {
            end = end.saturating_add(part_tokens);
            if end > tokens
                && let Some(removed) = self.parts.shift_remove(&hash)
            {
                self.tokens -= u64::from(removed);
            }
        }
    }

    /// Removes everything, for a runner that restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The hash of the prefix up to each part, with the tokens of that part.
fn prefix_hashes<'a>(
    target: &TargetModel,
    parts: &'a [PromptPart],
) -> impl Iterator<Item = (PrefixHash, u32)> + 'a {
    let mut hasher = DefaultHasher::new();
    target.hash(&mut hasher);
    parts.iter().map(move |part| {
        part.id.hash(&mut hasher);
        (hasher.finish(), part.tokens)
    })
}
