//! The metadata of a caller's request, used to queue and route it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::Digest;
use crate::name::{
    AdapterName, CallerName, KindName, ModelName, ServiceName, TeamName, VersionName,
};

/// The urgency of a kind of request; orders from most to least urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Interactive: a person can't continue without the response.
    Urgent,
    /// A person waits for the response, but can do other things meanwhile.
    Normal,
    /// Batch: no person waits.
    Slow,
}

/// The id that a caller gives to a request; retries of a request reuse it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The caller, within which keys are unique.
    pub caller: CallerName,
    /// The value of the `Idempotency-Key` header.
    pub key: String,
}

/// The destination of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A model, optionally with an adapter.
    Model {
        /// The base model.
        model: ModelName,
        /// The model's version.
        version: VersionName,
        /// The adapter; `None` for the base model alone.
        adapter: Option<AdapterName>,
    },
    /// A plain service.
    Service {
        /// The service's name.
        name: ServiceName,
    },
}

/// The metadata of a request; the body is passed separately.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The caller's id for the request; `None` if it sent none.
    pub id: Option<RequestId>,
    /// The caller that sent the request.
    pub caller: CallerName,
    /// The team that declared the kind.
    pub team: TeamName,
    /// The kind of request.
    pub kind: KindName,
    /// The destination.
    pub target: Target,
    /// The urgency of the kind.
    pub urgency: Urgency,
    /// The time left for the complete response, counted from when this value was sent.
    ///
    /// It is not an absolute deadline, since the clocks of different daemons differ.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub budget: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller requests the response as a stream of events.
    pub stream: bool,
    /// The estimated length of the prompt, in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// The maximum length of the output, in tokens.
    #[serde(rename = "output")]
    pub max_output_tokens: u32,
    /// Chained hashes of the prompt's blocks, see [`prefix_hashes`]; used to route to a
    /// runner that has the prefix cached.
    #[serde(rename = "prefix")]
    pub prefix_hashes: Vec<u64>,
    /// A hash of the target and the body.
    pub digest: Digest,
}

impl RequestSpec {
    /// The maximum number of KV cache tokens that the request occupies on a runner.
    pub fn max_kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}

/// The length of a block of prompt text that engines cache as a unit, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// The maximum number of blocks of a prompt that are hashed.
pub const MAX_PREFIX_BLOCKS: usize = 32;

/// Hashes a prompt's complete blocks, each hash chained to the one before: two prompts
/// have equal hashes at `i` if their text is equal up to the end of block `i`.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut previous = 0;
    text.as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}
