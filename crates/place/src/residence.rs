//! What is resident where, as entries know it.

use chestnut_base::{AdapterName, ModelName, ServerName, VersionName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::ledger::Ledger;

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
    /// The models with their versions on which the adapters were loaded.
    #[serde(default)]
    pub bases: IndexMap<AdapterName, (ModelName, VersionName)>,
}

impl Resident {
    /// What may be used of what a runner's ledger holds.
    pub fn of(ledger: &Ledger) -> Self {
        let mut resident = Self::default();
        for item in ledger.items.iter().filter(|item| ledger.is_usable(&item.asset)) {
            let base = (item.asset.model.clone(), item.asset.version.clone());
            match &item.asset.adapter {
                None => {
                    resident.models.insert(base);
                }
                Some(adapter) => {
                    resident.adapters.insert(adapter.clone());
                    resident.bases.insert(adapter.clone(), base);
                }
            }
        }
        resident
    }

    /// Whether the runner can serve a model with an adapter on top.
    pub fn serves(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let base = (model.clone(), version.clone());
        self.models.contains(&base)
            && adapter.is_none_or(|name| self.bases.get(name) == Some(&base))
    }
}

impl Residence {
    /// The runners that can serve a model with an adapter on top.
    pub fn serving(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> impl Iterator<Item = &ServerName> {
        let (model, version) = (model.clone(), version.clone());
        let adapter = adapter.cloned();
        self.runners
            .iter()
            .filter(move |(_, held)| held.serves(&model, &version, adapter.as_ref()))
            .map(|(name, _)| name)
    }

    /// The version of a model that a request gets: the wanted one if any runner
    /// can serve it, else one that can be served meanwhile.
    ///
    /// While a new version is being loaded, requests go on with the old one.
    pub fn version(
        &self,
        model: &ModelName,
        wanted: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> VersionName {
        if self.serving(model, wanted, adapter).next().is_some() {
            return wanted.clone();
        }
        let held = self.runners.values().flat_map(|held| {
            held.models.iter().filter(move |(name, version)| {
                name == model && held.serves(model, version, adapter)
            })
        });
        held.map(|(_, version)| version).max().unwrap_or(wanted).clone()
    }
}
