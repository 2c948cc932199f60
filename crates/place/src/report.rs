//! Reports of an engine on its memory, assets and orders.

use chestnut_base::{AdapterName, ModelName, OrderId, VersionName};
use serde::{Deserialize, Serialize};

use crate::asset::Asset;

/// The response of an engine to `GET /v1/report`.
///
/// Assets and orders are exact at the time of the response; `running` and `waiting` lag.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies this start of the engine; a restarted engine has another value.
    pub incarnation: u64,
    /// Sequence number of the report; grows with each change within an incarnation.
    #[serde(default)]
    pub seq: u64,
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// The memory in use, in bytes.
    #[serde(default)]
    pub used: u64,
    /// Models that hold memory.
    #[serde(default)]
    pub models: Vec<ModelEntry>,
    /// Adapters that hold memory.
    #[serde(default)]
    pub adapters: Vec<AdapterEntry>,
    /// Orders that this incarnation has received.
    ///
    /// A listed order is not executed again in this incarnation.
    #[serde(default)]
    pub orders: Vec<OrderEntry>,
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of requests waiting at the engine.
    #[serde(default)]
    pub waiting: u32,
}

/// A model in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name without the version.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// The memory that it holds, in bytes.
    pub bytes: u64,
    /// Progress of the load or unload.
    pub state: AssetState,
}

/// An adapter in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterEntry {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// The engine's name of the base model, `MODEL@VERSION`.
    pub model: String,
    /// The memory that it holds, in bytes.
    pub bytes: u64,
    /// Progress of the load or unload.
    pub state: AssetState,
}

/// The state of a model or an adapter at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AssetState {
    /// Holds memory and can't be used yet.
    Loading,
    /// Can be used.
    Ready,
    /// Still holds memory and can't be used any more.
    Unloading,
}

/// An order in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// Number of the order.
    pub order: OrderId,
    /// Outcome so far.
    pub state: OrderState,
}

/// The state of an order at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The engine is executing it.
    Running,
    /// The engine has executed it.
    Done,
    /// The engine could not execute it.
    Failed,
}

impl Report {
    /// The state of an asset; `None` if it holds no memory.
    pub fn asset_state(&self, asset: &Asset) -> Option<AssetState> {
        self.assets().find(|(other, ..)| other == asset).map(|(_, _, state)| state)
    }

    /// The state of an order; `None` if this incarnation has not received it.
    pub fn order_state(&self, id: OrderId) -> Option<OrderState> {
        self.orders.iter().find(|entry| entry.order == id).map(|entry| entry.state)
    }

    /// All models and adapters with their memory in bytes and their state.
    ///
    /// Adapters whose base model name is malformed are left out.
    pub fn assets(&self) -> impl Iterator<Item = (Asset, u64, AssetState)> {
        let models = self.models.iter().map(|entry| {
            let asset = Asset::model(entry.model.clone(), entry.version.clone());
            (asset, entry.bytes, entry.state)
        });
        let adapters = self.adapters.iter().filter_map(|entry| {
            let (model, version) = entry.model.rsplit_once('@')?;
            let model = ModelName::try_from(model).ok()?;
            let version = VersionName::try_from(version).ok()?;
            let asset = Asset::adapter(model, version, entry.adapter.clone());
            Some((asset, entry.bytes, entry.state))
        });
        models.chain(adapters)
    }
}
