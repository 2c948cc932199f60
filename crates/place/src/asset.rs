//! Models and adapters that a runner loads into its memory.

use std::fmt::{self, Display, Formatter};

use chestnut_base::{AdapterName, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// A version of a model, or an adapter on top of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Asset {
    /// The model; for an adapter, its base model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// The adapter; `None` for a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

impl Asset {
    /// Creates the asset of a model version without an adapter.
    pub fn model(model: ModelName, version: VersionName) -> Self {
        Self { model, version, adapter: None }
    }

    /// Creates the asset of an adapter on top of a model version.
    pub fn adapter(model: ModelName, version: VersionName, adapter: AdapterName) -> Self {
        Self { model, version, adapter: Some(adapter) }
    }

    /// The model version that has to be loaded first; a model is its own base.
    pub fn base_model(&self) -> Self {
        Self::model(self.model.clone(), self.version.clone())
    }

    /// Whether this is an adapter on top of the model `base`; false if `base` is an
    /// adapter.
    pub fn is_adapter_on(&self, base: &Self) -> bool {
        self.adapter.is_some()
            && self.model == base.model
            && self.version == base.version
            && base.adapter.is_none()
    }

    /// The model's name at the engine, `MODEL@VERSION`, without the adapter.
    pub fn engine_model_name(&self) -> String {
        format!("{}@{}", self.model, self.version)
    }
}

impl Display for Asset {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, "+{adapter}"),
            None => Ok(()),
        }
    }
}
