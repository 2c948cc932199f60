//! What all teams have declared together.

use std::time::Duration;

use chestnut_base::{
    AdapterName, CallerName, KindName, ModelName, PoolName, Revision, ServiceName,
    TeamName, Urgency, VersionName,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// All declarations in force at a revision.
///
/// Every name that a declaration refers to is declared, and every model of a
/// pool fits on one of the pool's runners.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The revision.
    pub revision: Revision,
    /// Pools of runners.
    pub pools: IndexMap<PoolName, Pool>,
    /// Models.
    pub models: IndexMap<ModelName, Model>,
    /// Adapters.
    pub adapters: IndexMap<AdapterName, Adapter>,
    /// Plain services.
    pub services: IndexMap<ServiceName, Service>,
    /// Kinds of request.
    pub kinds: IndexMap<KindName, Kind>,
    /// Callers.
    pub callers: IndexMap<CallerName, Caller>,
    /// The names that callers put into `model`, and what they stand for.
    pub routes: IndexMap<String, Route>,
}

/// A pool of like runners; which VMs belong to it, the platform's list says.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The team that declared it.
    pub team: TeamName,
    /// Accelerator memory of one runner for models and adapters, in bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: u64,
    /// Accelerators of one runner.
    pub accelerators: u32,
    /// Streams that one runner batches.
    #[serde(rename = "streams")]
    pub max_streams: u32,
    /// Tokens that one runner's KV cache holds.
    #[serde(rename = "tokens")]
    pub kv_tokens: u64,
    /// The expected time of an engine step, until it is measured.
    #[serde(rename = "step_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub step_time: Duration,
    /// Whether the engines refuse orders that carry an old fence.
    pub fenced: bool,
    /// Loads that the weight store serves at full speed at the same time.
    pub parallel_loads: u32,
    /// Loads a second that the weight store starts.
    pub load_rate: f64,
    /// What one percent of attainment is worth, for the planner.
    pub attainment_weight: f64,
    /// What one move costs, for the planner.
    pub move_weight: f64,
}

/// A model.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The team that declared it.
    pub team: TeamName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The version that requests get.
    pub version: VersionName,
    /// The memory it needs, in bytes.
    #[serde(rename = "bytes")]
    pub memory_bytes: u64,
    /// DifferenceKind long a runner takes to load it.
    #[serde(rename = "cold_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_time: Duration,
    /// The least number of replicas to keep resident; at least 1.
    #[serde(rename = "replicas")]
    pub min_replicas: u32,
}

/// An adapter on top of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// The team that declared it.
    pub team: TeamName,
    /// The model it adapts.
    pub model: ModelName,
    /// The memory it needs on top, in bytes.
    #[serde(rename = "bytes")]
    pub memory_bytes: u64,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The team that declared it.
    pub team: TeamName,
    /// Calls that one server takes at the same time.
    #[serde(rename = "parallel")]
    pub max_parallel: u32,
    /// The kind of calls that name none.
    #[serde(rename = "kind")]
    pub default_kind: Option<KindName>,
}

/// A kind of request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// The team that declared it.
    pub team: TeamName,
    /// DifferenceKind urgent it is.
    pub urgency: Urgency,
    /// The time in which it must be answered in full, unless the caller says less.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// A caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The team that declared it.
    pub team: TeamName,
    /// The SHA-256 of the caller's key, in lower-case hexadecimal digits.
    pub key_sha256: String,
    /// The weight of the caller's share when there is not enough for all.
    pub share: u32,
}

/// What a name in a request's `model` stands for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The team that declared it.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The adapter on top.
    pub adapter: Option<AdapterName>,
    /// The kind of requests that name none.
    #[serde(rename = "kind")]
    pub default_kind: Option<KindName>,
}
