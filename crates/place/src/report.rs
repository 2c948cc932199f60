//! What an engine says it holds.

use chestnut_base::{AdapterName, ModelName, OrderId, VersionName};
use serde::{Deserialize, Serialize};

use crate::asset::Asset;

/// The answer of an engine to `GET /v1/report`.
///
/// Residents and orders are exact at the time of the answer; the load lags.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The start of the engine; a restarted engine has another one.
    pub incarnation: u64,
    /// Grows with each change within an incarnation.
    #[serde(default)]
    pub seq: u64,
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// The memory in use, in bytes.
    #[serde(default)]
    pub used: u64,
    /// Models.
    #[serde(default)]
    pub models: Vec<ModelEntry>,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterEntry>,
    /// Orders that this incarnation has taken up.
    ///
    /// A listed order is not carried out again in this incarnation.
    #[serde(default)]
    pub orders: Vec<OrderEntry>,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
}

/// A model in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// The memory, in bytes.
    pub bytes: u64,
    /// How far it is.
    pub state: AssetState,
}

/// An adapter in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterEntry {
    /// The adapter.
    pub adapter: AdapterName,
    /// The engine's name of the model below, `MODEL@VERSION`.
    pub model: String,
    /// The memory, in bytes.
    pub bytes: u64,
    /// How far it is.
    pub state: AssetState,
}

/// How far a model or an adapter is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AssetState {
    /// It holds memory and can't be used yet.
    Loading,
    /// It can be used.
    Ready,
    /// It still holds memory and can't be used any more.
    Unloading,
}

/// An order in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// The order.
    pub order: OrderId,
    /// What became of it.
    pub state: OrderState,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The engine works on it.
    Running,
    /// The engine has carried it out.
    Done,
    /// The engine has given it up.
    Failed,
}

impl Report {
    /// The state of an asset, if the engine holds any of it.
    pub fn asset_state(&self, asset: &Asset) -> Option<AssetState> {
        self.assets().find(|(held, ..)| held == asset).map(|(_, _, state)| state)
    }

    /// What became of an order, if this incarnation knows it.
    pub fn order_state(&self, id: OrderId) -> Option<OrderState> {
        self.orders.iter().find(|entry| entry.order == id).map(|entry| entry.state)
    }

    /// All models and adapters with their memory and state.
    ///
    /// Adapters on a model whose name can't be read are left out.
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
