//! Which parts of prompts a runner has read lately.
//!
//! An engine does not read a part again that it keeps for the same model and
//! adapter, as long as it keeps all parts before it. Its own account of what it
//! keeps comes late and with gaps; what was sent to it tells almost the same at no
//! cost, since it drops the parts that were used the longest time ago.

use chestnut_edge::{PromptPart, TargetModel};
use indexmap::IndexMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The share of the KV cache that is taken to hold parts that nothing uses.
///
/// The rest is taken by requests that run.
const KEPT_SHARE: f64 = 0.4;

/// A part together with all parts before it, for a model and adapter.
type Chain = u64;

/// Which parts of prompts a runner has read lately.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// The tokens of each part, the one used the longest time ago first.
    parts: IndexMap<Chain, u32>,
    /// The sum of the tokens.
    tokens: u64,
}

impl PrefixCache {
    /// The prompt tokens that the runner need not read.
    pub fn cached_tokens(&self, target: &TargetModel, parts: &[PromptPart]) -> u32 {
        let known =
            chains(target, parts).take_while(|(chain, _)| self.parts.contains_key(chain));
        known.map(|(_, tokens)| tokens).sum()
    }

    /// The prompt tokens of which it is not known whether the runner keeps them: parts
    /// that requests share and that were not seen here. The last part is a request's own.
    pub fn uncertain_tokens(&self, target: &TargetModel, parts: &[PromptPart]) -> u32 {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let unseen = chains(target, shared)
            .skip_while(|(chain, _)| self.parts.contains_key(chain));
        unseen.map(|(_, tokens)| tokens).sum()
    }

    /// Takes note of a prompt that is sent; `capacity` tokens fit into the cache.
    pub fn record_sent(
        &mut self,
        target: &TargetModel,
        parts: &[PromptPart],
        capacity: u64,
    ) {
        for (chain, tokens) in chains(target, parts) {
            if let Some(old) = self.parts.shift_remove(&chain) {
                self.tokens -= u64::from(old);
            }
            self.parts.insert(chain, tokens);
            self.tokens += u64::from(tokens);
        }
        let limit = (capacity as f64 * KEPT_SHARE) as u64;
        while self.tokens > limit
            && let Some((_, tokens)) = self.parts.shift_remove_index(0)
        {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Forgets everything, as the runner does when it starts again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn chains<'a>(
    target: &TargetModel,
    parts: &'a [PromptPart],
) -> impl Iterator<Item = (Chain, u32)> + 'a {
    let mut hasher = DefaultHasher::new();
    target.hash(&mut hasher);
    parts.iter().map(move |part| {
        part.id.hash(&mut hasher);
        (hasher.finish(), part.tokens)
    })
}
