//! The merged declarations of all teams.

use std::time::Duration;

use chestnut_account::{ClientAccount, KeyDigest};
use chestnut_base::{
    AdapterName, CallerName, KindName, ModelName, PoolName, Revision, ServiceName,
    TeamName, Urgency, VersionName,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// All declarations in force at a revision.
///
/// Every name that a declaration refers to is declared, and every model fits on
/// a runner of its pool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The newest revision that the declarations include.
    pub revision: Revision,
    /// Pools of runners, by name.
    pub pools: IndexMap<PoolName, Pool>,
    /// Models, by the names that other declarations use.
    pub models: IndexMap<ModelName, Model>,
    /// Adapters, by name.
    pub adapters: IndexMap<AdapterName, Adapter>,
    /// Plain services, by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Kinds of request, by name.
    pub kinds: IndexMap<KindName, Kind>,
    /// Callers, by name.
    pub callers: IndexMap<CallerName, Caller>,
    /// Routes, by the name that callers send in `model`.
    pub routes: IndexMap<String, Route>,
    /// The caller that holds each key; has the keys of all callers.
    #[serde(skip)]
    pub key_holders: IndexMap<KeyDigest, CallerName>,
}

/// A pool of identical runners.
///
/// The platform's list says which VMs belong to it.
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
    /// The maximum number of requests that one runner runs in a batch.
    #[serde(rename = "streams")]
    pub max_streams: u32,
    /// Capacity of one runner's KV cache, in tokens.
    #[serde(rename = "tokens")]
    pub kv_tokens: u64,
    /// The expected duration of an engine step, used until it has been measured.
    #[serde(rename = "step_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub step_time: Duration,
    /// Whether the engines refuse orders with an outdated fence.
    pub fenced: bool,
    /// The maximum number of concurrent loads that the weight store serves at full speed.
    pub parallel_loads: u32,
    /// The maximum number of loads that the weight store can start per second.
    pub load_rate: f64,
    /// The planner's weight of serving one more percent of a runner's throughput in time.
    pub attainment_weight: f64,
    /// The planner's weight of the cost of a move.
    pub move_weight: f64,
}

/// A model that a pool serves.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The team that declared it.
    pub team: TeamName,
    /// The pool whose runners serve it.
    pub pool: PoolName,
    /// The version that serves requests.
    pub version: VersionName,
    /// Accelerator memory that the model needs, in bytes.
    #[serde(rename = "bytes")]
    pub memory_bytes: u64,
    /// How long a runner takes to load the model.
    #[serde(rename = "cold_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_time: Duration,
    /// The least number of replicas to keep resident; at least 1.
    #[serde(rename = "replicas")]
    pub min_replicas: u32,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// The team that declared it.
    pub team: TeamName,
    /// The model it adapts.
    pub model: ModelName,
    /// Accelerator memory that it needs in addition to the model, in bytes.
    #[serde(rename = "bytes")]
    pub memory_bytes: u64,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The team that declared it.
    pub team: TeamName,
    /// The maximum number of requests that one server runs at the same time.
    #[serde(rename = "parallel")]
    pub max_parallel: u32,
    /// The kind of requests that name none.
    #[serde(rename = "kind")]
    pub default_kind: Option<KindName>,
}

/// A kind of request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// The team that declared it.
    pub team: TeamName,
    /// The priority of its requests.
    pub urgency: Urgency,
    /// The time within which a request must be answered in full, unless the
    /// caller asks for less.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
}

/// A client account that may send requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The team that declared it.
    pub team: TeamName,
    /// Its keys, priority and limit.
    #[serde(flatten)]
    pub account: ClientAccount,
}

/// The target of a name that callers send in a request's `model` field.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The team that declared it.
    pub team: TeamName,
    /// The model that serves the requests.
    pub model: ModelName,
    /// The adapter, if the requests use one.
    pub adapter: Option<AdapterName>,
    /// The kind of requests that name none.
    #[serde(rename = "kind")]
    pub default_kind: Option<KindName>,
}
