//! Models and adapters that each runner can serve, as entries see them.

use std::sync::Arc;

use chestnut_base::{AdapterName, ModelName, ServerName, VersionName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::ledger::Ledger;

/// The assets that each runner can serve.
///
/// It lags behind the ledgers, so the runner's holder checks each request again.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Residency {
    /// Assets by runner; shared with earlier and later states, since a move changes one
    /// runner of thousands.
    runners: IndexMap<ServerName, Arc<ResidentAssets>>,
    /// Indices into `runners` of those that hold each model in any version.
    ///
    /// Every request looks up the runners of its model; without this index it would scan
    /// all runners.
    runners_by_model: IndexMap<ModelName, Vec<usize>>,
}

/// The assets of a runner that requests may use.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ResidentAssets {
    /// Models with their versions that are loaded and not being dropped.
    pub models: IndexSet<(ModelName, VersionName)>,
    /// Adapters that are loaded and not being dropped.
    pub adapters: IndexSet<AdapterName>,
    /// For each adapter, the model and version on which it was loaded.
    #[serde(default)]
    pub bases: IndexMap<AdapterName, (ModelName, VersionName)>,
}

impl ResidentAssets {
    /// The assets in a runner's ledger that requests may use.
    pub fn from_ledger(ledger: &Ledger) -> Self {
        let mut resident = Self::default();
        for reservation in ledger
            .reservations
            .iter()
            .filter(|reservation| ledger.is_usable(&reservation.asset))
        {
            let base =
                (reservation.asset.model.clone(), reservation.asset.version.clone());
            match &reservation.asset.adapter {
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

    /// Whether the runner can serve a model version, with the adapter on top if any.
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

impl Residency {
    /// Creates the index from the assets of each runner.
    pub fn new(runners: IndexMap<ServerName, Arc<ResidentAssets>>) -> Self {
        let mut runners_by_model: IndexMap<ModelName, Vec<usize>> = IndexMap::new();
        for (index, resident) in runners.values().enumerate() {
            for (model, _) in &resident.models {
                match runners_by_model.get_mut(model) {
                    // A runner may hold two versions of a model.
                    Some(indices) if indices.last() == Some(&index) => {}
                    Some(indices) => indices.push(index),
                    None => drop(runners_by_model.insert(model.clone(), vec![index])),
                }
            }
        }
        Self { runners, runners_by_model }
    }

    /// The assets of each runner.
    pub fn runners(&self) -> &IndexMap<ServerName, Arc<ResidentAssets>> {
        &self.runners
    }

    /// Whether a runner can serve a model version, with the adapter on top if any.
    pub fn serves(
        &self,
        runner: &ServerName,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let resident = self.runners.get(runner);
        resident.is_some_and(|resident| resident.serves(model, version, adapter))
    }

    /// The runners that hold a model in any version, with their assets.
    fn runners_holding(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&ServerName, &ResidentAssets)> + use<'_> {
        let indices = self.runners_by_model.get(model).map_or(&[][..], Vec::as_slice);
        indices.iter().filter_map(|&index| {
            let (name, resident) = self.runners.get_index(index)?;
            Some((name, &**resident))
        })
    }

    /// The runners that can serve a model version, with the adapter on top if any.
    pub fn serving(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> impl Iterator<Item = &ServerName> {
        let runners = self.runners_holding(model);
        let (model, version) = (model.clone(), version.clone());
        let adapter = adapter.cloned();
        runners
            .filter(move |(_, resident)| {
                resident.serves(&model, &version, adapter.as_ref())
            })
            .map(|(name, _)| name)
    }

    /// The version of a model that a request uses: `declared` if any runner can serve it,
    /// else the greatest one that can be served, else `declared`.
    ///
    /// While a new version is being loaded, requests continue to use the old one.
    pub fn servable_version(
        &self,
        model: &ModelName,
        declared: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> VersionName {
        if self.serving(model, declared, adapter).next().is_some() {
            return declared.clone();
        }
        let resident = self.runners_holding(model).flat_map(|(_, resident)| {
            resident.models.iter().filter(move |(name, version)| {
                name == model && resident.serves(model, version, adapter)
            })
        });
        resident.map(|(_, version)| version).max().unwrap_or(declared).clone()
    }
}
