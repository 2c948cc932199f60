//! Which backend servers have probably cached which prompt.
//!
//! Load pattern: many requests share the start of their prompt, and an engine
//! that has it cached skips that part. Without affinity each server computes each
//! prefix; with strict affinity a hot prefix floods one server. Here the cached
//! part is only a saving in the estimate, so that a request goes elsewhere as
//! soon as the wait costs more than the prefix saves. The entry remembers what it
//! sent itself: cache events come late and with gaps, and a wrong guess costs one
//! prefill.

use indexmap::IndexMap;

use crate::router::ServerKey;

/// Blocks that are remembered; 48 bytes each, so about 400 KB.
pub const BLOCKS: usize = 8192;

/// Servers that are remembered for a block.
const HOLDERS: usize = 4;

/// The servers that hold a block; the one sent to last stands first.
type Holders = [Option<ServerKey>; HOLDERS];

/// Which servers have probably cached which blocks.
#[derive(Debug, Clone, Default)]
pub struct Prefixes {
    blocks: IndexMap<u64, Holders>,
    /// The place that is given up next when all are taken.
    hand: usize,
}

impl Prefixes {
    /// Notes that a prompt was sent to a server.
    pub fn sent(&mut self, prefix: &[u64], server: ServerKey) {
        for &block in prefix {
            match self.blocks.get_mut(&block) {
                Some(holders) => touch(holders, server),
                None => self.add(block, server),
            }
        }
    }

    /// How many blocks of a prompt each server has; servers with none are left out.
    pub fn held(&self, prefix: &[u64]) -> Vec<(ServerKey, usize)> {
        let mut held: Vec<(ServerKey, usize)> = Vec::new();
        for (index, block) in prefix.iter().enumerate() {
            let Some(holders) = self.blocks.get(block) else { break };
            for server in holders.iter().flatten() {
                match held.iter_mut().find(|(other, _)| other == server) {
                    // Blocks are chained: a gap ends what the engine can use.
                    Some((_, count)) if *count == index => *count += 1,
                    None if index == 0 => held.push((*server, 1)),
                    _ => {}
                }
            }
        }
        held
    }

    /// Forgets what a server had, as after its restart.
    pub fn forget(&mut self, server: ServerKey) {
        for holders in self.blocks.values_mut() {
            for holder in holders {
                if *holder == Some(server) {
                    *holder = None;
                }
            }
        }
    }

    /// The number of blocks that are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn add(&mut self, block: u64, server: ServerKey) {
        if self.blocks.len() >= BLOCKS {
            self.hand = (self.hand + 1) % BLOCKS;
            self.blocks.swap_remove_index(self.hand);
        }
        self.blocks.insert(block, [Some(server), None, None, None]);
    }
}

fn touch(holders: &mut Holders, server: ServerKey) {
    let place = holders.iter().position(|&other| other == Some(server));
    let end = place.unwrap_or(HOLDERS - 1);
    holders[..=end].rotate_right(1);
    holders[0] = Some(server);
}
