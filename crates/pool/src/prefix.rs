//! Estimates which prompt prefixes a runner has in its KV cache.
//!
//! An engine does not prefill a part again that it has cached for the same model and
//! adapter, as long as it has all parts before it. Its own reports of the cache are late
//! and incomplete; the prompts that were sent to it show almost the same at no cost, since
//! it evicts the least recently used parts.

use chestnut_edge::{PromptPart, TargetModel};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the KV cache that is assumed to hold parts of finished requests.
///
/// Running requests take the rest.
const CACHED_SHARE: f64 = 0.4;

/// The tokens that a part takes of the KV cache at least.
///
/// Engines keep tokens in blocks. Without it, callers could have any number of parts kept that
/// have no tokens.
const MIN_PART_TOKENS: u32 = 16;

/// Hash of a model and adapter, a part, and all parts before it.
type PrefixHash = u64;

/// An estimate of the prompt prefixes in a runner's KV cache.
///
/// Callers name the tokens of parts, so that sums of them saturate.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// The last part of each prefix.
    parts: IndexMap<PrefixHash, CachedPart>,
    /// The uses of parts, oldest first; all but the last use of each part are ignored.
    uses: VecDeque<(u64, PrefixHash)>,
    /// The number of the last use.
    last_use: u64,
    /// The tokens that the parts take, each [`MIN_PART_TOKENS`] at least.
    taken: u64,
}

/// A part of a prompt in the KV cache.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl CachedPart {
    /// The tokens that it takes of the cache.
    fn taken(self) -> u64 {
        u64::from(self.tokens.max(MIN_PART_TOKENS))
    }
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
            self.remove(hash);
            self.last_use += 1;
            let part = CachedPart { tokens, last_use: self.last_use };
            self.taken += part.taken();
            self.parts.insert(hash, part);
            self.uses.push_back((self.last_use, hash));
        }
        self.evict((capacity as f64 * CACHED_SHARE) as u64);
    }

    /// Removes the least recently used parts until the others take `limit` tokens at most.
    fn evict(&mut self, limit: u64) {
        while self.taken > limit
            && let Some((number, hash)) = self.uses.pop_front()
        {
            if self.is_last_use(number, hash) {
                self.remove(hash);
            }
        }
        // Half of the uses are the last ones, so that a use costs the same on average.
        if self.uses.len() > 2 * self.parts.len() {
            let mut uses = std::mem::take(&mut self.uses);
            uses.retain(|(number, hash)| self.is_last_use(*number, *hash));
            self.uses = uses;
        }
    }

    fn is_last_use(&self, number: u64, hash: PrefixHash) -> bool {
        self.parts.get(&hash).is_some_and(|part| part.last_use == number)
    }

    fn remove(&mut self, hash: PrefixHash) {
        if let Some(part) = self.parts.swap_remove(&hash) {
            self.taken -= part.taken();
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
            if end > tokens {
                self.remove(hash);
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
