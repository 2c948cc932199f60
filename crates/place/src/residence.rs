//! What is resident where, as entries know it.

use chestnut_base::{AdapterName, ModelName, ServerName, VersionName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// What is resident on each runner.
///
/// It lags behind the ledger, so that the runner's lead checks it again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Residence {
    /// Runners and what they hold.
    pub runners: IndexMap<ServerName, Resident>,
}

/// What a runner holds and may be asked for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Resident {
    /// Models with their versions, loaded and not to be dropped.
    pub models: IndexSet<(ModelName, VersionName)>,
    /// Adapters, loaded and not to be dropped.
    pub adapters: IndexSet<AdapterName>,
}

impl Residence {
    /// The runners that can serve a model with an adapter on top.
    pub fn serving(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> impl Iterator<Item = &ServerName> {
        let model = (model.clone(), version.clone());
        let adapter = adapter.cloned();
        self.runners
            .iter()
            .filter(move |(_, held)| {
                held.models.contains(&model)
                    && adapter.as_ref().is_none_or(|name| held.adapters.contains(name))
            })
            .map(|(name, _)| name)
    }
}
