//! Orders to model engines, and what engines report.

use chestnut_base::{AdapterName, Fence, ModelName, ServerName, VmName};
use serde::{Deserialize, Serialize};

use crate::server::LoadedModel;

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load a model's newest weights.
    Load(ModelName),
    /// Drop a model, its adapters and what is cached of its prompts.
    Unload(ModelName),
    /// Load an adapter of a model that is there.
    LoadAdapter(ModelName, AdapterName),
    /// Drop an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The only server that may carry it out.
    pub server: ServerName,
    /// What it is to do.
    pub action: OrderAction,
    /// The number of orders that the engine must have accepted before.
    ///
    /// An order whose answer was lost may act seconds later; once another order was
    /// accepted its number no longer fits and it is dropped.
    pub expected_orders: u64,
    /// Who gives the order.
    pub holder: VmName,
    /// The fence of the holder's claim on the engine.
    pub fence: Fence,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is in progress, or the number of orders does not fit.
    Conflict,
    /// A later holder has given orders.
    Fenced,
    /// Another server has the address now.
    Misdirected,
    /// The engine can't carry it out.
    Invalid,
    /// The engine did not take it, for now.
    Busy,
    /// The answer does not tell; the order may act.
    Unknown,
}

impl OrderResponse {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Misdirected => "misdirected",
            Self::Invalid => "invalid",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }
}

/// What an engine reports; some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub active: u32,
    /// Tokens in the KV cache that can't be evicted.
    pub kv_tokens_used: u64,
    /// Adapters on their way.
    pub loading_adapters: Vec<(ModelName, AdapterName)>,
    /// When this run of the server began, in Unix milliseconds.
    pub started_at_ms: Option<u64>,
}
