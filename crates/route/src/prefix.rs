//! How much of a prompt engines have probably cached, and where.
//!
//! Load pattern: many requests share the start of their prompt, and an engine that
//! has it cached skips that part; caches hold the starts of a few dozen prompts.
//! Without affinity every server is sent every start, and each pushes the others
//! out. If each entry remembers where it sent what, six entries choose different
//! servers and all caches fill up again. So a start belongs to a server by
//! rendezvous hashing, which all entries agree on without a word, and the saving
//! counts in the estimate as what it is, so that a hot start spills to other
//! servers as soon as the wait costs more. A server that is lost leaves its starts
//! to the next in rank. Figures of the ways tried are in `docs/POLICY.md`.
//!
//! The engines' own cache events are not used: they come late and with gaps, and
//! a wrong guess costs one prefill.

use indexmap::IndexSet;

/// Blocks that are remembered; about 24 bytes each, so 200 KB.
pub const BLOCKS: usize = 8192;

/// Blocks that were part of a prompt before.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    blocks: IndexSet<u64>,
    /// The place that is given up next when all are taken.
    hand: usize,
}

impl Seen {
    /// Notes the blocks of a prompt.
    pub fn note(&mut self, prefix: &[u64]) {
        for &block in prefix {
            if self.blocks.len() >= BLOCKS && !self.blocks.contains(&block) {
                self.hand = (self.hand + 1) % BLOCKS;
                self.blocks.swap_remove_index(self.hand);
            }
            self.blocks.insert(block);
        }
    }

    /// How many blocks of a prompt's start were part of a prompt before.
    pub fn depth(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|&block| self.blocks.contains(block)).count()
    }

    /// The number of blocks that are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// The rank of a server for a prompt's start; the greatest wins.
///
/// `server` is a hash of the server's name, so that all entries agree.
pub fn rank(block: u64, server: u64) -> u64 {
    // The finaliser of SplitMix64, which spreads any difference over all bits.
    let mut x = block ^ server;
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
