//! One caller's request in the form in which it is queued and routed.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::Digest;
use crate::name::{
    AdapterName, CallerName, KindName, ModelName, ServiceName, TeamName, VersionName,
};

/// How urgent a kind of request is; the more urgent is the lesser.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A person waits at a desk.
    Urgent,
    /// A person waits for the answer and can do something else meanwhile.
    Normal,
    /// Nobody waits.
    Slow,
}

/// The name by which a caller knows its request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The caller.
    pub caller: CallerName,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// What a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A model, with an adapter on top if one is named.
    Model {
        /// The model.
        model: ModelName,
        /// The model's version.
        version: VersionName,
        /// The adapter.
        adapter: Option<AdapterName>,
    },
    /// A plain service.
    Service {
        /// The service.
        name: ServiceName,
    },
}

/// One caller's request as the system queues and routes it.
///
/// The body travels beside it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The caller's name for the request, if it gave one.
    pub id: Option<RequestId>,
    /// Who sent the request.
    pub caller: CallerName,
    /// The team that declared the kind.
    pub team: TeamName,
    /// The kind of request.
    pub kind: KindName,
    /// What the request is sent to.
    pub target: Target,
    /// How urgent the request is.
    pub urgency: Urgency,
    /// How much time is left to answer in full, counted from when this was sent.
    ///
    /// Daemons' clocks differ, so that a point in time would not travel.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub budget: Duration,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether the caller wants the answer as a stream of events.
    pub stream: bool,
    /// The estimated length of the prompt, in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// The greatest length of the answer, in tokens.
    #[serde(rename = "output")]
    pub max_output_tokens: u32,
    /// Chained hashes of the prompt's blocks, for prefix affinity.
    #[serde(rename = "prefix")]
    pub prefix_hashes: Vec<u64>,
    /// A hash of the target and the body.
    pub digest: Digest,
}

impl RequestSpec {
    /// The tokens that the request may occupy on a runner.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}

/// The length of a block of prompt text that engines cache as one, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// The greatest number of blocks of a prompt that are hashed.
pub const MAX_PREFIX_BLOCKS: usize = 32;

/// Chained hashes of a prompt's whole blocks: equal at `i` if all text up to it is.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut last = 0;
    text.as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            last = xxh3_64_with_seed(block, last);
            last
        })
        .collect()
}
