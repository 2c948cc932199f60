//! Prefix affinity: which server probably has the start of a prompt cached, and how much.
//!
//! Load pattern: many requests share the start of their prompt, and an engine that has it
//! cached skips its prefill; a KV cache holds the starts of a few dozen prompts. Without
//! affinity every server gets every start, and they evict each other. If each entry
//! remembered to which server it sent a start, six entries would choose different servers
//! and again fill all caches. So a start is assigned to a server by rendezvous hashing,
//! on which all entries agree without communication. The saved prefill time enters the
//! estimate unweighted, so a popular start spills over to other servers as soon as the
//! wait costs more. The starts of an unreachable server go to the next in rank.
//! `docs/POLICY.md` compares the alternatives.
//!
//! The engines' own cache events are not used: they arrive late and with gaps, and a
//! wrong prediction costs only one prefill.

use indexmap::IndexSet;

/// The most blocks that are retained; at about 24 bytes each, 200 KB.
pub const MAX_BLOCKS: usize = 8192;

/// Blocks of recent prompts, by their hashes.
#[derive(Debug, Clone, Default)]
pub struct RecentBlocks {
    blocks: IndexSet<u64>,
    /// The position of the last eviction; positions are evicted in turn.
    last_evicted: usize,
}

impl RecentBlocks {
    /// Adds the blocks of a prompt, evicting others if the set is full.
    pub fn insert(&mut self, prefix_blocks: &[u64]) {
        for &block in prefix_blocks {
            if self.blocks.len() >= MAX_BLOCKS && !self.blocks.contains(&block) {
                self.last_evicted = (self.last_evicted + 1) % MAX_BLOCKS;
                self.blocks.swap_remove_index(self.last_evicted);
            }
            self.blocks.insert(block);
        }
    }

    /// The number of blocks at the start of a prompt that are in the set.
    pub fn matching_blocks(&self, prefix_blocks: &[u64]) -> usize {
        prefix_blocks.iter().take_while(|&block| self.blocks.contains(block)).count()
    }

    /// The number of blocks in the set; at most [`MAX_BLOCKS`].
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no blocks have been added yet.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// The rendezvous weight of a server for the start of a prompt; the greatest wins.
///
/// `server_hash` is a hash of the server's name, so that all entries agree.
pub fn rendezvous_weight(block: u64, server_hash: u64) -> u64 {
    // The finaliser of SplitMix64, which spreads any difference over all bits.
    let mut x = block ^ server_hash;
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
