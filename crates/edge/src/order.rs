//! Orders to model engines, and the reports that engines return.

use chestnut_base::{AdapterName, Fence, ModelName, ServerName, VmName};
use serde::{Deserialize, Serialize};

use crate::server::LoadedModel;

/// What an order makes an engine do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load the newest weights of a model.
    Load(ModelName),
    /// Unload a model with its adapters and the cached KV of its prompts.
    Unload(ModelName),
    /// Load an adapter of a model that is already loaded.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

/// A load or unload command to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The only server that may execute the order.
    pub server: ServerName,
    /// What the engine is to do.
    pub action: OrderAction,
    /// The number of orders that the engine must have accepted so far.
    ///
    /// An order whose response was lost can arrive seconds later. Once the engine has
    /// accepted another order, the number no longer matches and the engine drops the
    /// late one.
    pub expected_orders: u64,
    /// The VM whose daemon holds the claim on the engine.
    pub holder: VmName,
    /// The fence of the holder's claim on the engine.
    pub fence: Fence,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine has started to execute the order.
    Accepted,
    /// The state that the order asks for already holds.
    Holds,
    /// Another order is in progress, or [`Order::expected_orders`] does not match.
    Conflict,
    /// The engine has received an order with a newer fence.
    Fenced,
    /// The address now belongs to another server.
    Misdirected,
    /// The engine can't execute the order.
    Invalid,
    /// The engine rejected the order temporarily.
    Busy,
    /// The response is inconclusive; the order may still take effect.
    Unknown,
}

impl OrderResponse {
    /// The label value in metrics.
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

/// The state that an engine reports, which lags by a few hundred milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders accepted since the server started.
    pub accepted_orders: u64,
    /// The number of requests in the engine's queue.
    pub queued: u32,
    /// The number of running requests.
    pub active: u32,
    /// Tokens in the KV cache that can't be evicted.
    pub kv_tokens_used: u64,
    /// Adapters that are being loaded.
    pub loading_adapters: Vec<(ModelName, AdapterName)>,
    /// When the server process started, in Unix milliseconds.
    pub started_at_ms: Option<u64>,
}
