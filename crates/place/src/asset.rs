//! What occupies a runner's memory.

use std::fmt::{self, Display, Formatter};

use chestnut_base::{AdapterName, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// A thing that a runner loads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Asset {
    /// The model, or the model that the adapter adapts.
    pub model: ModelName,
    /// The model's version.
    pub version: VersionName,
    /// The adapter, if it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

impl Asset {
    /// A version of a model.
    pub fn model(model: ModelName, version: VersionName) -> Self {
        Self { model, version, adapter: None }
    }

    /// An adapter on top of a version of a model.
    pub fn adapter(model: ModelName, version: VersionName, adapter: AdapterName) -> Self {
        Self { model, version, adapter: Some(adapter) }
    }

    /// The version of a model that has to be loaded first; itself for a model.
    pub fn base_model(&self) -> Self {
        Self::model(self.model.clone(), self.version.clone())
    }

    /// Whether this is an adapter on top of `base`.
    pub fn is_adapter_on(&self, base: &Self) -> bool {
        self.adapter.is_some()
            && self.model == base.model
            && self.version == base.version
            && base.adapter.is_none()
    }

    /// The name by which the engine knows the model, without the adapter.
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
